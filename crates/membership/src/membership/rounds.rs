//! What is done when its time has come: probes, ends of suspicions, news, comparisons, and trying those that are gone.

use std::net::SocketAddr;

use nanorand::Rng;

use super::{MOST_ERRANDS, MOST_LATE, Membership};
use crate::claim::{Claim, Standing};
use crate::probe::{Errand, Probe};
use crate::wire::Body;
use crate::{Name, Tenths};

/// Time between two rounds of news while there is any, and how many are told in each.
const NEWS_EVERY: Tenths = 2_000;
const NEWS_TO: usize = 3;
/// Time between telling two of what is said against them.
const TELL_EVERY: Tenths = 100;
/// Shortest time to wait for an answer: below it a sleeping scheduler looks like a death.
const LEAST_PATIENCE: Tenths = 300;

impl Membership {
    /// Does one thing that is due. False if there is none.
    pub(super) fn do_next(&mut self, now: Tenths) -> bool {
        if let Some((at, name)) = self.ends.first().cloned()
            && at <= now
        {
            self.ends.pop_first();
            self.end_suspicion(now, &name);
            return true;
        }
        if self.probe.as_ref().is_some_and(|probe| probe.due() <= now) {
            self.go_on_probing(now);
            return true;
        }
        if let Some(number) = self.due_errand(now) {
            self.regret(now, number);
            return true;
        }
        if self.next_probe <= now && self.probe.is_none() {
            self.next_probe = now + self.pace();
            self.begin_probe(now);
            return true;
        }
        if self.next_news <= now && !self.rumours.is_empty() {
            self.next_news = now + NEWS_EVERY;
            for to in self.some(NEWS_TO) {
                self.put(to, Body::News, Vec::new(), true);
            }
            return true;
        }
        if self.next_tell <= now && !self.slandered.is_empty() {
            self.next_tell = now + TELL_EVERY;
            self.tell_slandered(now);
            return true;
        }
        if self.next_reach <= now {
            self.next_reach = now + self.jitter(self.plan.reach);
            self.reach();
            return true;
        }
        if self.next_compare <= now {
            self.next_compare = now + self.jitter(self.plan.compare);
            if let Some(to) = self.some(1).pop() {
                let digest = Some(self.digest());
                self.put(to, Body::Compare { digest, after: None }, Vec::new(), true);
            }
            return true;
        }
        if self.next_forget <= now {
            self.next_forget = now + self.plan.reach;
            let old = now - self.plan.forget;
            self.peers.retain(|_, peer| peer.is_there() || peer.since > old);
            return true;
        }
        false
    }

    /// The period of an instance that doubts itself is longer.
    pub(super) fn pace(&self) -> Tenths {
        self.plan.period * self.doubt.stretch()
    }

    /// The longest that is waited for an answer of anybody who is there.
    pub(super) fn slowest(&self) -> Tenths {
        let there = self.peers.values().filter(|peer| peer.is_there());
        there.filter_map(|peer| peer.trip.patience()).max().unwrap_or(LEAST_PATIENCE).min(self.plan.period)
    }

    /// How long to wait for `name` itself before helpers are asked.
    fn patience(&self, name: &Name) -> Tenths {
        let measured = self.peers.get(name).and_then(|peer| peer.trip.patience());
        measured
            .unwrap_or(self.plan.period / 4)
            .clamp(LEAST_PATIENCE.min(self.plan.period / 4), self.plan.period / 2)
            * self.doubt.stretch()
    }

    fn begin_probe(&mut self, now: Tenths) {
        let peers = &self.peers;
        let there = |name: &Name| peers.get(name).is_some_and(|peer| peer.is_there());
        let Some(name) = self.order.next(peers.keys(), there, &mut self.chance) else { return };
        let Some(peer) = self.peers.get(&name) else { return };
        let (address, start) = (peer.claim.instance.address, peer.claim.instance.start);
        // One that is suspected hears so first.
        let first = if peer.is_alive() { Vec::new() } else { vec![peer.claim.clone()] };
        let number = self.next_number();
        self.probe = Some(Probe {
            number,
            peer: name.clone(),
            start,
            sent: now,
            helpers_at: Some(now + self.patience(&name)),
            ends: now + self.pace() - 1,
            answered: false,
            helpers: 0,
            regrets: 0,
        });
        self.put(address, Body::Ping { number, to: name }, first, true);
    }

    fn go_on_probing(&mut self, now: Tenths) {
        let Some(mut probe) = self.probe.take() else { return };
        if probe.answered || now >= probe.ends {
            return if probe.answered { self.trusting() } else { self.failed(now, probe) };
        }
        probe.helpers_at = None;
        if let Some(address) = self.peers.get(&probe.peer).map(|peer| peer.claim.instance.address) {
            for to in self.helpers(&probe.peer) {
                probe.helpers += 1;
                let body = Body::Errand { number: probe.number, to: probe.peer.clone(), address };
                self.put(to, body, Vec::new(), true);
            }
        }
        self.probe = Some(probe);
    }

    /// Nobody got an answer in time.
    fn failed(&mut self, now: Tenths, probe: Probe) {
        // Helpers that are silent too point at this instance, not at the one that was probed.
        self.doubting(if probe.helpers == 0 { 1 } else { (probe.helpers - probe.regrets).max(0) });
        if self.late.len() == MOST_LATE {
            self.late.pop_front();
        }
        self.late.push_back((probe.number, probe.peer.clone(), probe.sent));
        let Some(peer) = self.peers.get(&probe.peer) else { return };
        if peer.claim.instance.start != probe.start || !peer.is_there() {
            return;
        }
        let standing = Standing::Suspect(self.me.name.clone());
        let claim = Claim { standing, ..peer.claim.clone() };
        if peer.is_alive() {
            self.suspect(now, &claim, self.me.name.clone(), false);
        } else {
            self.learn(now, &claim, false);
        }
    }

    /// An answer, to this instance's probe or to an errand.
    pub(super) fn answered(&mut self, now: Tenths, number: u64, from: &Name) {
        if let Some(errand) = self.errands.remove(&number) {
            return self.put(errand.from, Body::Ack { number: errand.number }, Vec::new(), true);
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            let direct = *from == probe.peer;
            let sent = probe.sent;
            probe.answered = true;
            if let Some(peer) = self.peers.get_mut(from).filter(|_| direct) {
                peer.trip.measured(now - sent);
            }
            return;
        }
        // A late answer teaches patience.
        if let Some(at) = self.late.iter().position(|(late, name, _)| *late == number && name == from)
            && let Some((_, name, sent)) = self.late.remove(at)
            && let Some(peer) = self.peers.get_mut(&name)
        {
            peer.trip.measured(now - sent);
        }
    }

    /// Another instance wants `to` asked.
    pub(super) fn run_errand(
        &mut self,
        now: Tenths,
        from: SocketAddr,
        number: u64,
        to: &Name,
        address: SocketAddr,
    ) {
        if *to == self.me.name {
            return self.put(from, Body::Ack { number }, Vec::new(), true);
        }
        if self.errands.len() >= MOST_ERRANDS {
            return self.put(from, Body::Regret { number }, Vec::new(), false);
        }
        let mine = self.next_number();
        // Soon enough to be back before the one who asked gives up.
        let regret_at = Some(now + self.patience(to).min(self.plan.period / 4));
        self.errands.insert(mine, Errand { from, number, regret_at, ends: now + self.plan.period * 2 });
        let first = self.peers.get(to).filter(|peer| !peer.is_alive()).map(|peer| peer.claim.clone());
        self.put(address, Body::Ping { number: mine, to: to.clone() }, first.into_iter().collect(), true);
    }

    fn due_errand(&self, now: Tenths) -> Option<u64> {
        let due = |errand: &Errand| errand.regret_at.unwrap_or(errand.ends) <= now;
        self.errands.iter().find(|(_, errand)| due(errand)).map(|(number, _)| *number)
    }

    fn regret(&mut self, now: Tenths, number: u64) {
        let Some(errand) = self.errands.get_mut(&number) else { return };
        if errand.regret_at.take().is_some() {
            let (to, body) = (errand.from, Body::Regret { number: errand.number });
            self.put(to, body, Vec::new(), false);
        }
        self.errands.retain(|_, errand| errand.regret_at.is_some() || now < errand.ends);
    }

    /// Helpers: one of the zone of the one that is probed, one of another zone than this instance's, the rest by chance.
    /// So a cut between two zones shows as one.
    fn helpers(&mut self, about: &Name) -> Vec<SocketAddr> {
        let zone = self.peers.get(about).and_then(|peer| peer.claim.instance.zone.clone());
        let mine = self.me.zone.clone();
        let mut able: Vec<_> =
            self.peers.values().filter(|peer| peer.is_alive()).map(|peer| &peer.claim.instance).collect();
        able.retain(|instance| instance.name != *about);
        self.chance.shuffle(&mut able);
        let near = able.iter().position(|instance| instance.zone.is_some() && instance.zone == zone);
        if let Some(at) = near {
            able.swap(0, at);
        }
        let rest = usize::from(near.is_some()).min(able.len());
        if let Some(at) =
            able[rest..].iter().position(|instance| instance.zone.is_some() && instance.zone != mine)
        {
            able.swap(rest, rest + at);
        }
        able.iter().take(self.plan.helpers).map(|instance| instance.address).collect()
    }

    /// A suspicion was not answered in time.
    fn end_suspicion(&mut self, now: Tenths, name: &Name) {
        let Some(peer) = self.peers.get(name) else { return };
        if let Standing::Suspect(by) = &peer.claim.standing {
            let standing = Standing::Dead(by.clone());
            let claim = Claim { standing, ..peer.claim.clone() };
            self.take(now, &claim, None);
        }
    }

    /// Tells one what is said against it, so that it can answer with a higher incarnation.
    fn tell_slandered(&mut self, now: Tenths) {
        let Some((name, claim)) = self.slandered.pop_first() else { return };
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.told_at = Some(now);
        }
        let number = self.next_number();
        self.put(claim.instance.address, Body::Ping { number, to: name }, vec![claim], true);
    }

    /// Tries one that is gone, or a seed that is not known: partitions heal, and a fleet that began in parts joins.
    fn reach(&mut self) {
        let there = |address: &SocketAddr| {
            self.peers.values().any(|peer| peer.is_there() && peer.claim.instance.address == *address)
        };
        let mut away: Vec<(SocketAddr, Option<Claim>)> =
            self.seeds.iter().filter(|seed| !there(seed)).map(|seed| (*seed, None)).collect();
        let dead = self.peers.values().filter(|peer| matches!(peer.claim.standing, Standing::Dead(_)));
        away.extend(dead.map(|peer| (peer.claim.instance.address, Some(peer.claim.clone()))));
        if away.is_empty() {
            return;
        }
        let alone = !self.peers.values().any(|peer| peer.is_there());
        // Alone, it asks three at a time; else one.
        for _ in 0..if alone { away.len().min(3) } else { 1 } {
            let (to, claim) = away.swap_remove(self.chance.generate_range(0..away.len()));
            let digest = Some(self.digest());
            self.put(to, Body::Compare { digest, after: None }, claim.into_iter().collect(), true);
        }
        if alone {
            self.next_reach = self.next_reach.min(self.at + self.plan.period);
        }
    }

    /// Some of those who are there, by chance.
    fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut there: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_there())
            .map(|peer| peer.claim.instance.address)
            .collect();
        let count = count.min(there.len());
        for at in 0..count {
            let other = self.chance.generate_range(at..there.len());
            there.swap(at, other);
        }
        there.truncate(count);
        there
    }

    /// `of`, an eighth more or less, so that a fleet that began at once does not go on in step.
    fn jitter(&mut self, of: Tenths) -> Tenths {
        of - of / 8 + self.chance.generate_range(0..=(of / 4).max(1) as u64) as Tenths
    }
}
