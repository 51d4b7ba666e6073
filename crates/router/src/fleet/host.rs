//! The thread that runs the membership protocol on the link's sockets. All decisions are made by the membership crate.

use super::file::{FleetSettings, MAX_NAMED_ROUTERS};
use super::view::{FleetUpdate, View};
use super::worker::ThreadSide;
use crate::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use vetchkeel::Tenths;
use vetchkeel_link::{
    Bounds, Channel, Event, Kinds, Name as LinkName, Protocols, SendError, Sender, Sockets, Transport, Waker,
};
use vetchkeel_membership::wire::{LONGEST, decode, encode};
use vetchkeel_membership::{Body, Change, Decision, Instance, MOST_INSTANCES, Membership, Message, Start};

/// The link's message kind for membership messages.
const MEMBERSHIP: u16 = 1;
/// Maximum datagram size in bytes: the longest membership message, and room for the link's envelope.
const MAX_DATAGRAM_BYTES: usize = LONGEST + 200;
/// Maximum events processed before decisions are pulled, so that a flood of messages does not starve the membership.
const MAX_EVENTS_PER_TURN: usize = 4_096;
/// The longest sleep of the thread, and so the longest interval between its heartbeats.
const MAX_SLEEP: Tenths = 2_000;
/// How often the full view is sent, in addition to its changes.
const FULL_VIEW_INTERVAL: Tenths = 600_000;
/// Maximum number of addresses whose names are known. At the maximum only those of the view and of the seeds are kept.
/// Danger: if it were no larger than the view and the seeds together, the map would be rebuilt at each message.
const MAX_NAMED_ADDRESSES: usize = 2 * (MOST_INSTANCES + MAX_NAMED_ROUTERS);

/// A request from the loop.
pub enum Request {
    /// Announce the departure and end the thread.
    Leave,
}

/// The state of the fleet thread.
pub struct Host {
    clock: Clock,
    sockets: Sockets,
    membership: Membership,
    settings: FleetSettings,
    /// The last known name of the router at each address. Needed because the link sends to names.
    names_by_address: BTreeMap<SocketAddr, LinkName>,
    /// Routers that are registered with the link.
    link_peers: BTreeSet<LinkName>,
    /// Whether a change was lost because the ring was full. The full view is then sent as soon as there is room.
    full_view_due: bool,
    next_full_view_at: Tenths,
}

fn link_name(name: &vetchkeel_membership::Name) -> Option<LinkName> {
    LinkName::new(name.as_str())
}

impl Host {
    /// Binds the address. The error is one line.
    pub fn bind(
        name: vetchkeel_membership::Name,
        settings: FleetSettings,
        seed: u64,
    ) -> Result<Host, String> {
        let clock = Clock::new();
        let now = clock.now();
        let start = Start { at: (now / 10) as u64, count: 0 };
        // A restarted process must not repeat the random numbers of an earlier one.
        let seed = seed ^ start.at.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let sender = Sender {
            name: link_name(&name).ok_or_else(|| format!("expected a valid link name, found '{name}'"))?,
            incarnation: start.at,
        };
        let bounds = Bounds { datagram: MAX_DATAGRAM_BYTES, ..Bounds::default() };
        let kinds = Kinds::new(&[(MEMBERSHIP, "membership")]);
        let sockets = Sockets::bind(sender, kinds, bounds, settings.address, Protocols::Udp, seed)
            .map_err(|e| format!("expected to listen on {}: {e}", settings.address))?;
        let me = Instance { name, start, address: settings.address, zone: settings.zone.clone() };
        let seeds: Vec<SocketAddr> = settings.seeds.values().copied().collect();
        let membership =
            Membership::new(settings.plan, me, &seeds, now, seed).map_err(|bad| bad.to_string())?;
        let names_by_address =
            settings.seeds.iter().filter_map(|(name, at)| Some((*at, link_name(name)?))).collect();
        let link_peers = BTreeSet::new();
        Ok(Host {
            clock,
            sockets,
            membership,
            settings,
            names_by_address,
            link_peers,
            full_view_due: false,
            next_full_view_at: now + FULL_VIEW_INTERVAL,
        })
    }

    pub fn waker(&self) -> Waker {
        self.sockets.waker()
    }

    /// Runs until the loop requests the end or has ended.
    pub fn run(
        mut self,
        thread_side: &mut ThreadSide<FleetUpdate, Request>,
        wake: &dyn Fn(),
    ) -> Result<(), String> {
        loop {
            thread_side.heartbeat.record();
            let leaving = thread_side.requests.is_abandoned() || thread_side.requests.pop().is_ok();
            self.receive();
            if leaving {
                self.membership.leave();
            }
            if self.run_decisions(thread_side) {
                wake();
            }
            if leaving {
                return Ok(());
            }
            let now = self.clock.now();
            let due = [self.membership.wake_at(), self.sockets.wake_at()].into_iter().flatten().min();
            let sleep = due.map_or(MAX_SLEEP, |at| at.saturating_sub(now).clamp(0, MAX_SLEEP));
            let sleep = Duration::from_micros(sleep as u64 * 100);
            self.sockets.wait(sleep).map_err(|e| format!("cannot wait on its sockets: {e}"))?;
        }
    }

    /// Processes all waiting events before any decision. After the process was stopped, waiting messages are older than the
    /// timers that are due.
    fn receive(&mut self) {
        let now = self.clock.now();
        for _ in 0..MAX_EVENTS_PER_TURN {
            match self.sockets.poll(now) {
                None => return,
                Some(Event::Datagram { kind: MEMBERSHIP, body, .. }) => match decode(&body) {
                    Ok(message) => {
                        self.learn_names(&message);
                        self.membership.handle_message(now, &message);
                    }
                    Err(why) => crate::log!("fleet: a message was rejected: {why}"),
                },
                Some(Event::Rejected { from, why }) => {
                    let from = from.map_or_else(|| "an unknown sender".to_owned(), |name| name.to_string());
                    crate::log!("fleet: a message from {from} was rejected: {why}");
                }
                Some(_) => {}
            }
        }
    }

    /// Records which names belong to which addresses in a received message.
    fn learn_names(&mut self, message: &Message) {
        if message.fleet != self.settings.plan.fleet {
            return;
        }
        if self.names_by_address.len() >= MAX_NAMED_ADDRESSES {
            let seen = self.membership.view().map(|s| (s.instance.address, link_name(&s.instance.name)));
            let seeds = self.settings.seeds.iter().map(|(name, at)| (*at, link_name(name)));
            self.names_by_address = seen.chain(seeds).filter_map(|(at, name)| Some((at, name?))).collect();
        }
        let mut known = |name: &vetchkeel_membership::Name, at: SocketAddr| {
            self.names_by_address.extend(link_name(name).map(|name| (at, name)));
        };
        message.claims.iter().for_each(|claim| known(&claim.instance.name, claim.instance.address));
        if let Body::PingReq { to, address, .. } = &message.body {
            known(to, *address);
        }
        known(&message.from.name, message.from.address);
    }

    /// Executes the membership's decisions. Returns true if the loop is to be woken.
    fn run_decisions(&mut self, thread_side: &mut ThreadSide<FleetUpdate, Request>) -> bool {
        let now = self.clock.now();
        let mut wake = false;
        while let Some(decision) = self.membership.next_decision(now) {
            match decision {
                Decision::Send { to, message } => self.send(now, to, &message),
                // The full view follows and includes later changes.
                Decision::Tell(Change::ChangesDropped(_)) => self.full_view_due = true,
                Decision::Tell(_) if self.full_view_due => {}
                Decision::Tell(change) => {
                    self.full_view_due = thread_side.updates.push(FleetUpdate::Change(change)).is_err();
                    wake = true;
                }
            }
        }
        if self.full_view_due || now >= self.next_full_view_at {
            let view = View::full(self.membership.view(), self.membership.local_health().score());
            self.full_view_due = thread_side.updates.push(FleetUpdate::Full(Box::new(view))).is_err();
            self.next_full_view_at = now + FULL_VIEW_INTERVAL;
            wake = true;
        }
        wake
    }

    fn send(&mut self, now: Tenths, to: SocketAddr, message: &Message) {
        let target = match &message.body {
            Body::Ping { to, .. } => link_name(to),
            _ => None,
        };
        // An address without a known name cannot be sent to. The message is lost, as a datagram may be.
        let Some(name) = target.or_else(|| self.names_by_address.get(&to).cloned()) else { return };
        let via = self.settings.via.iter().find(|(other, _)| other.as_str() == name.as_str());
        let address = via.map_or(to, |(_, at)| *at);
        let Ok(body) = encode(message) else { return };
        if let Err(SendError::TooMany { .. }) = self.sockets.add_peer(now, &name, address) {
            self.make_room(now);
        }
        if self.sockets.add_peer(now, &name, address).is_ok() {
            self.link_peers.insert(name.clone());
        }
        if let Err(why) = self.sockets.send(now, &name, Channel::Datagram, MEMBERSHIP, &body) {
            crate::log!("fleet: a message to {name} was not sent: {why}");
        }
    }

    /// Removes from the link all routers that the membership has removed or considers gone. They are registered again when
    /// something is sent to them. Danger: a fleet whose routers restart under new names fills the link with names that the
    /// view no longer has.
    fn make_room(&mut self, now: Tenths) {
        let present = self.membership.view().filter(|s| s.liveness.is_present());
        let present: BTreeSet<LinkName> = present.filter_map(|s| link_name(&s.instance.name)).collect();
        let (kept, gone) =
            std::mem::take(&mut self.link_peers).into_iter().partition(|name| present.contains(name));
        self.link_peers = kept;
        let gone: BTreeSet<LinkName> = gone;
        gone.iter().for_each(|name| self.sockets.remove_peer(now, name));
    }
}

#[cfg(test)]
mod tests;
