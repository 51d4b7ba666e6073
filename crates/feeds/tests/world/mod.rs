//! A fleet in one process: gateways on stores by memory, desks, primaries, and a network and clock of the seed's
//! making. Everything that happens follows from the plan and the seed.

pub mod auditor;

use auditor::Auditor;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use vetchkeel_feeds::*;
use vetchkeel_store::{Medium, MemoryMedium, Store};

/// What a run is made of. Times in tenths of a millisecond.
#[derive(Clone, Debug)]
pub struct Plan {
    pub gateways: u32,
    pub desks: u64,
    pub feeds: u32,
    /// Bulletins a second, all feeds together.
    pub rate: u64,
    pub length: Tenths,
    /// Quiet time at the end, in which all desks come to have everything.
    pub quiet: Tenths,
    /// One way between two parties.
    pub latency: (Tenths, Tenths),
    /// Messages of 1,000 that are lost, doubled, or late by up to 300 ms.
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    /// Troubles drawn over the length.
    pub troubles: u32,
    /// Entries that a primary keeps.
    pub keep: usize,
    pub terms: Terms,
}

impl Plan {
    /// Small, with every trouble there is.
    pub fn troubled() -> Plan {
        let terms = Terms {
            window: 96,
            shelf: 400,
            settle: 500 * MILLISECOND,
            rebalance: 500 * MILLISECOND,
            room: 64,
            admissions: 200,
            ..Terms::default()
        };
        Plan {
            gateways: 4,
            desks: 12,
            feeds: 3,
            rate: 90,
            length: 20 * SECOND,
            quiet: 25 * SECOND,
            latency: (2, 40),
            lost: 20,
            doubled: 20,
            late: 10,
            troubles: 8,
            keep: 2_000,
            terms,
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { from: Party, to: Party, message: Message, incarnation: u32 },
    Wake(u32),
    WakeDesk(u64),
    Publish(u32),
    Places,
    Trouble,
    Start(u32),
    Heal(u64),
    Elect(u32),
    Calm,
}

struct Host {
    gateway: Option<Gateway>,
    store: Box<dyn Store>,
    medium: MemoryMedium,
    incarnation: u32,
    paused_until: Tenths,
    /// The next so many decisions are carried out, then it crashes.
    crash_after: Option<u32>,
    wakes: Option<Tenths>,
    drained: bool,
}

struct DeskHost {
    desk: Desk,
    feed: u32,
    wakes: Tenths,
    /// A slow desk needs so long for a message, and is busy until then.
    slow: Tenths,
    busy: Tenths,
}

/// What a move cost its subscription.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    /// When the last gateway ended its part, or died.
    pub ended: Tenths,
    /// When the next one may push.
    pub begun: Tenths,
}

pub struct World {
    pub plan: Plan,
    pub now: Tenths,
    pub auditor: Auditor,
    chance: WyRand,
    events: BTreeMap<(Tenths, u64), Event>,
    sequence: u64,
    hosts: Vec<Host>,
    desks: BTreeMap<u64, DeskHost>,
    primaries: BTreeMap<u32, Origin>,
    /// A deposed primary that goes on, and the gateways that still turn to it.
    deposed: BTreeMap<u32, (Origin, BTreeSet<u32>)>,
    cut: BTreeSet<(Party, Party)>,
    bulletins: u64,
    calm: bool,
    pub messages: u64,
    /// Delay of each bulletin, from written to taken, and when it was taken.
    pub delays: BTreeMap<u64, Vec<(Tenths, Tenths)>>,
    written: BTreeMap<u64, Tenths>,
    pub pauses: BTreeMap<u64, Pause>,
    pub measure: bool,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        assert_eq!(plan.terms.wrong(), None);
        World::unchecked(plan, seed)
    }

    /// Without looking whether the terms are safe.
    pub fn unchecked(plan: Plan, seed: u64) -> World {
        let mut world = World {
            now: 0,
            auditor: Auditor::default(),
            chance: WyRand::new_seed(seed),
            events: BTreeMap::new(),
            sequence: 0,
            hosts: Vec::new(),
            desks: BTreeMap::new(),
            primaries: BTreeMap::new(),
            deposed: BTreeMap::new(),
            cut: BTreeSet::new(),
            bulletins: 0,
            calm: false,
            messages: 0,
            delays: BTreeMap::new(),
            written: BTreeMap::new(),
            pauses: BTreeMap::new(),
            measure: false,
            plan,
        };
        for feed in 0..world.plan.feeds {
            world.primaries.insert(feed, Origin::new(FeedId(feed), world.plan.keep));
            world.auditor.begins(feed, 1, 0, 0);
            let at = world.draw(0, SECOND);
            world.at(at, Event::Publish(feed));
        }
        for id in 0..world.plan.gateways {
            let mut medium = MemoryMedium::new(1 << 26);
            let store = medium.open().expect("opens");
            let host = Host {
                gateway: None,
                store,
                medium,
                incarnation: 0,
                paused_until: 0,
                crash_after: None,
                wakes: None,
                drained: false,
            };
            world.hosts.push(host);
            world.start(id);
        }
        let places = world.known();
        for id in 0..world.plan.desks {
            let feed = (id % u64::from(world.plan.feeds)) as u32;
            let token = Token { feed: FeedId(feed), epoch: 0, at: Point::NEW };
            let begins = world.draw(0, SECOND);
            let desk = Desk::new(begins, SubId(id), world.plan.terms.clone(), token, &places);
            world.desks.insert(id, DeskHost { desk, feed, wakes: begins, slow: 0, busy: 0 });
            world.at(begins, Event::WakeDesk(id));
        }
        world.at(0, Event::Places);
        for _ in 0..world.plan.troubles {
            let at = world.draw(2 * SECOND, world.plan.length);
            world.at(at, Event::Trouble);
        }
        world.at(world.plan.length, Event::Calm);
        world
    }

    fn draw(&mut self, from: i64, to: i64) -> i64 {
        if to <= from { from } else { from + self.chance.generate_range(0..(to - from) as u64) as i64 }
    }

    fn at(&mut self, at: Tenths, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    fn places(&self) -> Vec<Place> {
        let room = self.plan.terms.room as u32;
        let alive = (0..).zip(&self.hosts).filter(|(_, h)| h.gateway.is_some() && h.paused_until <= self.now);
        alive
            .map(|(id, h)| {
                let held = h.gateway.as_ref().map_or(0, |g| g.held() as u32);
                Place { id: GatewayId(id), room, held, draining: h.drained }
            })
            .collect()
    }

    /// What desks know: all gateways there may be, alive or not.
    fn known(&self) -> Vec<Place> {
        let room = self.plan.terms.room as u32;
        (0..self.plan.gateways)
            .map(|id| Place { id: GatewayId(id), room, held: 0, draining: false })
            .collect()
    }

    // Troubles, also for those who measure.

    pub fn start(&mut self, id: u32) {
        let (now, terms) = (self.now, self.plan.terms.clone());
        let host = &mut self.hosts[id as usize];
        if host.gateway.is_some() {
            return;
        }
        host.store = host.medium.open().expect("opens");
        let (shelves, records) = shelf::restore(host.store.as_ref()).expect("readable");
        host.gateway = Some(Gateway::new(now, GatewayId(id), terms, u64::from(id), shelves, records));
        host.incarnation += 1;
        (host.wakes, host.drained) = (None, false);
        self.run(id);
    }

    pub fn kill(&mut self, id: u32) {
        let host = &mut self.hosts[id as usize];
        (host.gateway, host.crash_after, host.paused_until) = (None, None, 0);
        if self.measure {
            let now = self.now;
            let held = self.desks.iter().filter(|(_, d)| d.desk.gateway() == Some(GatewayId(id)));
            let ended: Vec<u64> = held.map(|(id, _)| *id).collect();
            self.pauses.extend(ended.into_iter().map(|d| (d, Pause { ended: now, begun: 0 })));
        }
    }

    pub fn drain(&mut self, id: u32, within: Tenths) {
        let (now, host) = (self.now, &mut self.hosts[id as usize]);
        host.drained = true;
        if let Some(gateway) = host.gateway.as_mut() {
            gateway.drain(now, now + within);
        }
        let places = self.places();
        self.tell_places(&places);
        self.run(id);
    }

    pub fn held(&self, id: u32) -> usize {
        self.hosts[id as usize].gateway.as_ref().map_or(0, Gateway::held)
    }

    /// From now on a desk needs so long for each message.
    pub fn slow(&mut self, desk: u64, each: Tenths) {
        let host = self.desks.get_mut(&desk).expect("there");
        (host.slow, host.busy) = (each, 0);
    }

    pub fn gateway_of(&self, desk: u64) -> Option<GatewayId> {
        self.desks[&desk].desk.gateway()
    }

    pub fn counts(&self, id: u32) -> Counts {
        self.hosts[id as usize].gateway.as_ref().map(Gateway::counts).unwrap_or_default()
    }

    fn trouble(&mut self) {
        let id = self.draw(0, i64::from(self.plan.gateways)) as u32;
        let back = self.now + self.draw(50 * MILLISECOND, 6 * SECOND);
        let feed = self.draw(0, i64::from(self.plan.feeds)) as u32;
        match self.draw(0, 11) {
            0 => {
                self.kill(id);
                self.at(back, Event::Start(id));
            }
            // Between one decision and the next.
            1 | 2 => {
                self.hosts[id as usize].crash_after = Some(self.chance.generate_range(0..40));
                self.at(back, Event::Start(id));
            }
            3 | 4 => {
                self.hosts[id as usize].paused_until = self.now + self.draw(100 * MILLISECOND, 10 * SECOND)
            }
            5 | 6 => {
                self.drain(id, 3 * SECOND);
                let leaves = self.now + 4 * SECOND;
                self.at(leaves, Event::Start(id));
            }
            7 => {
                // One way or both, between a gateway and a part of everybody else.
                let both = self.chance.generate::<bool>();
                let me = Party::Gateway(GatewayId(id));
                let gateways = (0..self.plan.gateways).map(|g| Party::Gateway(GatewayId(g)));
                let desks = (0..self.plan.desks).map(|d| Party::Desk(SubId(d)));
                let feeds = (0..self.plan.feeds).map(|f| Party::Primary(FeedId(f)));
                let all: Vec<Party> = gateways.chain(desks).chain(feeds).collect();
                for other in all {
                    if self.chance.generate::<bool>() {
                        self.cut.insert((me, other));
                        if both {
                            self.cut.insert((other, me));
                        }
                    }
                }
                self.at(back, Event::Heal(0));
            }
            8 => self.at(self.now, Event::Elect(feed)),
            9 => {
                let desk = self.draw(0, self.plan.desks as i64) as u64;
                self.desks.get_mut(&desk).expect("there").slow = 400 * MILLISECOND;
                self.at(back, Event::Heal(1 + desk));
            }
            _ => {
                // A desk that stops, and comes back with its token.
                let id = self.draw(0, self.plan.desks as i64) as u64;
                let (places, terms) = (self.known(), self.plan.terms.clone());
                let host = self.desks.get_mut(&id).expect("there");
                host.desk = Desk::new(back, SubId(id), terms, host.desk.token(), &places);
                host.wakes = back;
                self.at(back, Event::WakeDesk(id));
            }
        }
    }

    /// A new primary that has lost the last few, and may number anew.
    pub fn elect(&mut self, feed: u32) {
        let old = self.primaries[&feed].clone();
        let (lost, jump) = (self.draw(0, 6) as u64, self.draw(0, 3));
        let start = old.lineage().eras().last().expect("one").start;
        let kept = Point { position: old.next().position.saturating_sub(lost).max(start), ..old.next() };
        let number = match jump {
            0 => kept.position,
            1 => 0,
            _ => kept.position + 1_000,
        };
        let epoch = old.next().epoch + 1;
        let new = old.succeeded(epoch, kept, number).expect("newer");
        let ordinal = self.auditor.ordinal(feed, kept.epoch, kept.position);
        self.auditor.begins(feed, epoch, ordinal, number);
        self.primaries.insert(feed, new);
        let still: BTreeSet<u32> =
            (0..self.plan.gateways).filter(|_| self.chance.generate::<bool>()).collect();
        self.deposed.insert(feed, (old, still));
        let ends = self.now + self.draw(0, 2 * SECOND);
        self.at(ends, Event::Heal(u64::MAX - u64::from(feed)));
    }

    fn calm(&mut self) {
        self.calm = true;
        self.cut.clear();
        self.deposed.clear();
        for id in 0..self.plan.gateways {
            (self.hosts[id as usize].crash_after, self.hosts[id as usize].paused_until) = (None, 0);
            if self.hosts[id as usize].drained {
                self.kill(id);
            }
            self.start(id);
            self.run(id);
        }
        self.desks.values_mut().for_each(|d| d.slow = 0);
    }

    // The run.

    pub fn run_until(&mut self, until: Tenths) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.event(event);
        }
        self.now = until;
    }

    /// Runs it all; the auditor's word at the end.
    pub fn play(&mut self) {
        self.run_until(self.plan.length + self.plan.quiet);
        let desks: Vec<(u64, u32)> = self.desks.iter().map(|(id, d)| (*id, d.feed)).collect();
        for (id, feed) in desks {
            let epoch = self.primaries[&feed].lineage().epoch();
            self.auditor.ends(id, feed, epoch);
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message, incarnation } => self.deliver(from, to, message, incarnation),
            Event::Wake(id) => {
                // One that was overtaken by an earlier one is void.
                let host = &mut self.hosts[id as usize];
                if host.wakes == Some(self.now) {
                    host.wakes = None;
                    self.run(id);
                }
            }
            Event::WakeDesk(id) => {
                if self.desks[&id].wakes <= self.now {
                    self.run_desk(id, None);
                }
            }
            Event::Publish(feed) => self.publish(feed),
            Event::Places => {
                let places = self.places();
                self.tell_places(&places);
                self.at(self.now + 200 * MILLISECOND, Event::Places);
            }
            Event::Trouble => self.trouble(),
            Event::Start(id) => {
                if self.hosts[id as usize].drained {
                    self.kill(id);
                }
                self.start(id);
            }
            Event::Heal(0) => self.cut.clear(),
            Event::Heal(feed) if feed > u64::MAX / 2 => {
                drop(self.deposed.remove(&((u64::MAX - feed) as u32)))
            }
            Event::Heal(desk) => self.desks.get_mut(&(desk - 1)).expect("there").slow = 0,
            Event::Elect(feed) => self.elect(feed),
            Event::Calm => self.calm(),
        }
    }

    fn tell_places(&mut self, places: &[Place]) {
        let now = self.now;
        for id in 0..self.plan.gateways {
            let host = &mut self.hosts[id as usize];
            if host.paused_until <= now
                && let Some(gateway) = host.gateway.as_mut()
            {
                gateway.on_places(now, places);
                self.run(id);
            }
        }
    }

    fn publish(&mut self, feed: u32) {
        let (now, id) = (self.now, self.bulletins);
        self.bulletins += 1;
        let payload: Arc<[u8]> = Arc::from(id.to_le_bytes().as_slice());
        if let Some((deposed, _)) = self.deposed.get_mut(&feed)
            && self.chance.generate::<bool>()
        {
            let at = deposed.publish(now, payload);
            self.auditor.writes(feed, at.epoch, at.position, id);
        } else {
            let at = self.primaries.get_mut(&feed).expect("there").publish(now, payload);
            self.auditor.writes(feed, at.epoch, at.position, id);
            self.written.insert(id, now);
        }
        self.run_primary(feed);
        let mean = SECOND * i64::from(self.plan.feeds) / self.plan.rate as i64;
        let next = self.now + self.draw(1, 2 * mean);
        // The last few seconds are silent, so that there is an end to have.
        if next < self.plan.length + self.plan.quiet / 5 {
            self.at(next, Event::Publish(feed));
        }
    }

    fn run_primary(&mut self, feed: u32) {
        let from = Party::Primary(FeedId(feed));
        while let Some((to, message)) = self.primaries.get_mut(&feed).and_then(Origin::next_decision) {
            self.send(from, to, message, 0);
        }
        while let Some((to, message)) = self.deposed.get_mut(&feed).and_then(|(o, _)| o.next_decision()) {
            self.send(from, to, message, 0);
        }
    }

    fn send(&mut self, from: Party, to: Party, message: Message, extra: Tenths) {
        self.messages += 1;
        if let (Party::Desk(desk), Message::Resume { epoch, .. }) = (from, &message) {
            self.auditor.resumes(desk.0, *epoch);
        }
        if self.cut.contains(&(from, to)) {
            return;
        }
        let faults = !self.calm;
        let copies = match self.chance.generate_range(0..1_000_u32) {
            _ if !faults => 1,
            n if n < self.plan.lost => 0,
            n if n < self.plan.lost + self.plan.doubled => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let (low, high) = self.plan.latency;
            let mut at = self.now + extra + self.draw(low, high);
            if faults && self.chance.generate_range(0..1_000_u32) < self.plan.late {
                at += self.draw(0, 300 * MILLISECOND);
            }
            let message = message.clone();
            self.at(at, Event::Deliver { from, to, message, incarnation: 0 });
        }
    }

    fn deliver(&mut self, from: Party, to: Party, message: Message, incarnation: u32) {
        match to {
            Party::Gateway(id) => {
                let host = &mut self.hosts[id.0 as usize];
                if host.paused_until > self.now {
                    let at = host.paused_until;
                    self.at(at, Event::Deliver { from, to, message, incarnation });
                } else if let Some(gateway) = host.gateway.as_mut() {
                    gateway.on_message(self.now, from, message);
                    self.run(id.0);
                }
            }
            Party::Primary(feed) => {
                let Party::Gateway(gateway) = from else { return };
                let deposed = self.deposed.get_mut(&feed.0).filter(|(_, still)| still.contains(&gateway.0));
                let primary = match deposed {
                    Some((origin, _)) => origin,
                    None => self.primaries.get_mut(&feed.0).expect("there"),
                };
                primary.on_message(self.now, gateway, &message);
                self.run_primary(feed.0);
            }
            Party::Desk(desk) => {
                let Party::Gateway(gateway) = from else { return };
                let now = self.now;
                let host = self.desks.get_mut(&desk.0).expect("there");
                if host.slow > 0 && incarnation == 0 {
                    host.busy = host.busy.max(now) + host.slow;
                    let at = host.busy;
                    self.at(at, Event::Deliver { from, to, message, incarnation: 1 });
                    return;
                }
                let under = match &message {
                    Message::Push { epoch, .. } => Some((*epoch, gateway)),
                    _ => None,
                };
                host.desk.on_message(now, gateway, message);
                self.run_desk(desk.0, under);
            }
        }
    }

    fn run_desk(&mut self, id: u64, under: Option<(u64, GatewayId)>) {
        let now = self.now;
        while let Some(decision) = self.desks.get_mut(&id).and_then(|d| d.desk.next_decision(now)) {
            match decision {
                DeskDecision::Send { to, message } => {
                    self.send(Party::Desk(SubId(id)), Party::Gateway(to), message, 0);
                }
                DeskDecision::Take(item) => {
                    if let Some((epoch, _)) = under {
                        self.auditor.under(id, epoch);
                    }
                    self.took(id, item);
                }
                DeskDecision::Record(_) => {}
            }
        }
        let desk = self.desks.get_mut(&id).expect("there");
        let wake = desk.desk.wake_at().max(now + 1);
        if wake < desk.wakes || desk.wakes <= now {
            desk.wakes = wake;
            self.at(wake, Event::WakeDesk(id));
        }
    }

    fn took(&mut self, id: u64, item: Item) {
        let (feed, now) = (self.desks[&id].feed, self.now);
        let (after, next) = (item.after, item.next);
        match item.what {
            What::Begin => self.auditor.took_begin(id, feed, next.epoch, next.position),
            What::Bulletin(payload) => {
                let bulletin = u64::from_le_bytes(payload[..].try_into().expect("eight bytes"));
                self.auditor.took(id, feed, after.epoch, after.position, bulletin);
                if self.measure
                    && let Some(written) = self.written.get(&bulletin)
                {
                    self.delays.entry(id).or_default().push((now, now - written));
                }
            }
            What::Turn { retracted } => {
                let lost = retracted.iter().map(|r| r.to - r.from).sum();
                self.auditor.took_turn(id, feed, next.epoch, next.position, lost);
            }
            What::Gap => {
                let first = self.primaries[&feed].first();
                let kept = self.auditor.ordinal(feed, first.epoch, first.position);
                self.auditor.took_gap(id, feed, next.epoch, next.position, kept);
            }
        }
    }

    /// Pulls all decisions and carries them out in their order; a crash cuts them anywhere, a pause delays what was
    /// chosen before it.
    fn run(&mut self, id: u32) {
        let now = self.now;
        let host = &mut self.hosts[id as usize];
        if host.paused_until > now {
            let at = host.paused_until;
            if host.wakes != Some(at) {
                host.wakes = Some(at);
                self.at(at, Event::Wake(id));
            }
            return;
        }
        let mut keeping: Vec<Decision> = Vec::new();
        loop {
            let host = &mut self.hosts[id as usize];
            let Some(decision) = host.gateway.as_mut().and_then(|g| g.next_decision(now)) else { break };
            if host.crash_after == Some(0) {
                // What was pulled and not yet kept is lost with it.
                self.kill(id);
                return;
            }
            host.crash_after = host.crash_after.map(|n| n - 1);
            match decision {
                Decision::Send { to, message } => {
                    // One batch for all that is to be kept before this.
                    shelf::keep(host.store.as_mut(), &keeping).expect("kept");
                    keeping.clear();
                    self.sent(id, to, message);
                }
                Decision::Read { feed, from, peer } => {
                    shelf::keep(host.store.as_mut(), &keeping).expect("kept");
                    keeping.clear();
                    let found = shelf::read(host.store.as_ref(), feed, from).expect("readable");
                    host.gateway.as_mut().expect("runs").on_shelf(now, feed, from, peer, &found);
                }
                other => keeping.push(other),
            }
        }
        let host = &mut self.hosts[id as usize];
        shelf::keep(host.store.as_mut(), &keeping).expect("kept");
        if let Some(wake) = host.gateway.as_ref().and_then(Gateway::wake_at) {
            let wake = wake.max(now + 1);
            if host.wakes.is_none_or(|w| wake < w || w <= now) {
                host.wakes = Some(wake);
                self.at(wake, Event::Wake(id));
            }
        }
    }

    fn sent(&mut self, id: u32, to: Party, message: Message) {
        match (&message, to) {
            (Message::Push { sub, epoch, items, .. }, _) if !items.is_empty() => {
                self.auditor.pushes(sub.0, id, *epoch);
            }
            (Message::Go { sub, .. }, _) if self.measure => {
                let ended = self.now;
                self.pauses.entry(sub.0).or_insert(Pause { ended, begun: 0 });
            }
            _ => {}
        }
        if self.measure
            && let Party::Desk(sub) = to
            && let Message::Push { .. } = message
            && let Some(pause) = self.pauses.get_mut(&sub.0).filter(|p| p.begun == 0)
        {
            let gateway = self.hosts[id as usize].gateway.as_ref().expect("runs");
            if gateway.owns(self.now, sub).is_some() {
                pause.begun = self.now;
            }
        }
        // A pause between choosing and sending: what was chosen goes out after it.
        let late = !self.calm && self.plan.troubles > 0 && self.chance.generate_range(0..100_000_u32) == 0;
        let extra = if late { self.draw(SECOND, 10 * SECOND) } else { 0 };
        self.send(Party::Gateway(GatewayId(id)), to, message, extra);
    }
}
