//! A small world: machines and routers with disks, links that lose, delay, double, overtake and are cut one way, and a
//! checker that looks on from outside. Time is told, all chance comes from the seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_configuration::{
    Action, Decision, Document, Edit, Event, Machine, Message, Name, Notice, PersistedState, Plan,
    Subscriber, Tenths, Verdict, Version, wire,
};

pub const SECOND: Tenths = 10_000;
/// Headers of IP, TCP and the link, counted with each message.
pub const FRAME: usize = 60;
pub const REGIONS: usize = 4;

/// Machine or router: machines come first.
pub type Node = usize;

pub enum Process {
    Machine(Box<Machine>),
    Router(Box<Subscriber>),
}

pub struct Place {
    pub name: Name,
    pub process: Option<Process>,
    pub stopped_until: Tenths,
    pub started: Tenths,
    wake: Option<Tenths>,
    /// A machine's disk.
    pub kept: Option<PersistedState>,
    /// A router's disk.
    pub file: Option<(Version, Document)>,
    /// A router that keeps.
    pub keeps: bool,
    /// The highest version that was in force, or of which a machine was told.
    pub in_force: Version,
    pub told: Version,
    served: bool,
}

pub struct Sent {
    from: Node,
    to: Node,
    bytes: Vec<u8>,
}

pub struct World {
    pub now: Tenths,
    pub plan: Plan,
    pub machines: usize,
    pub keepers: usize,
    pub places: Vec<Place>,
    names: BTreeMap<Name, Node>,
    net: BTreeMap<(Tenths, u64), Sent>,
    wakes: BTreeSet<(Tenths, Node)>,
    sent: u64,
    pub chance: WyRand,
    /// Lost, and doubled, of a hundred.
    pub lost: u32,
    pub doubled: u32,
    /// One way.
    pub cut: BTreeSet<(Node, Node)>,
    /// Nothing passes between nodes of different groups.
    pub groups: Option<fn(Node) -> usize>,
    /// A dead machine's address says so.
    pub answers: bool,
    /// Changes what goes from a machine to a router.
    pub tamper: Option<fn(&mut Message)>,
    /// Bytes to and from routers, by router and second, when asked for.
    pub count: bool,
    pub bytes: BTreeMap<(Node, Tenths), u64>,
    /// Bytes between machines, counted with the others.
    pub between: u64,
    pub kinds: BTreeMap<&'static str, u64>,
    pub events: Vec<(Tenths, Node, Event)>,
    pub notices: Vec<(Tenths, Node, Notice)>,
    pub verdicts: Vec<(Tenths, Node, Verdict)>,
    /// When a version was in force at a router first.
    pub applied: BTreeMap<(Version, Node), Tenths>,
    /// The digest under each version that was ever held or released anywhere.
    digests: BTreeMap<Version, u64>,
    pub newest: Version,
    pub check: bool,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a good name")
}

pub fn edit(name: &str, value: &str) -> Edit {
    Edit { name: name.into(), value: Some(value.into()) }
}

pub fn kind(message: &Message) -> &'static str {
    match message {
        Message::Subscribe { .. } => "ask",
        Message::Status { .. } => "told",
        Message::Unsubscribe { .. } => "bye",
        Message::Changes { .. } => "changes",
        Message::SnapshotPart { .. } => "whole",
        Message::Beat { .. } => "beat",
        Message::Redirect { .. } => "away",
        Message::ChangesPart { .. } => "long",
        Message::Report { .. } => "report",
        _ => "vote",
    }
}

fn good(document: &Document) -> Result<(), String> {
    match document.get("limit") {
        Some(limit) if limit.parse::<u32>().is_err() => {
            Err(format!("limit: expected a number, not {limit:?}"))
        }
        _ => Ok(()),
    }
}

impl World {
    /// Machines, the first `keepers` of them keepers, and routers; nobody has started.
    pub fn new(machines: usize, keepers: usize, routers: usize, seed: u64) -> World {
        let names = (0..machines).map(|at| name(&format!("m{at:02}")));
        let names = names.chain((0..routers).map(|at| name(&format!("r{at:04}"))));
        let place = |name: Name| Place {
            name,
            process: None,
            stopped_until: 0,
            started: 0,
            wake: None,
            kept: None,
            file: None,
            keeps: true,
            in_force: Version::NONE,
            told: Version::NONE,
            served: false,
        };
        let places: Vec<Place> = names.map(place).collect();
        let names = places.iter().enumerate().map(|(at, place)| (place.name.clone(), at)).collect();
        World {
            now: 1_000_000,
            plan: Plan::default(),
            machines,
            keepers,
            places,
            names,
            net: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sent: 0,
            chance: WyRand::new_seed(seed),
            lost: 0,
            doubled: 0,
            cut: BTreeSet::new(),
            groups: None,
            answers: true,
            tamper: None,
            count: false,
            bytes: BTreeMap::new(),
            between: 0,
            kinds: BTreeMap::new(),
            events: Vec::new(),
            notices: Vec::new(),
            verdicts: Vec::new(),
            applied: BTreeMap::new(),
            digests: BTreeMap::new(),
            newest: Version::NONE,
            check: true,
        }
    }

    /// All started, a writer there, and everybody at one version.
    pub fn whole(machines: usize, keepers: usize, routers: usize, seed: u64) -> World {
        let mut world = World::new(machines, keepers, routers, seed);
        world.start_all();
        let took = world.run_until(60 * SECOND, World::agreed);
        assert!(took.is_some(), "seed {seed}: not at one version at the start");
        world
    }

    pub fn start_all(&mut self) {
        for at in 0..self.places.len() {
            self.start(at);
        }
    }

    pub fn routers(&self) -> std::ops::Range<Node> {
        self.machines..self.places.len()
    }

    pub fn is_router(&self, at: Node) -> bool {
        at >= self.machines
    }

    fn machine_names(&self) -> Vec<Name> {
        self.places[..self.machines].iter().map(|place| place.name.clone()).collect()
    }

    pub fn start(&mut self, at: Node) {
        let seed = self.chance.generate::<u64>();
        let (now, plan, machines) = (self.now, self.plan, self.machine_names());
        let keepers = machines[..self.keepers].to_vec();
        let router = self.is_router(at);
        let place = &mut self.places[at];
        place.started = now;
        place.served = false;
        let me = place.name.clone();
        let process = if router {
            let kept = place.file.clone();
            let start = now as u64;
            let subscriber = Subscriber::new(plan, me, start, kept, machines, now, seed);
            Process::Router(Box::new(subscriber.expect("a good plan")))
        } else {
            let kept = place.kept.clone();
            let machine = Machine::new(plan, me, machines, keepers, kept, good, now, seed);
            Process::Machine(Box::new(machine.expect("a good plan")))
        };
        place.process = Some(process);
        self.pull(at);
    }

    /// Its process ends; its disk stays.
    pub fn kill(&mut self, at: Node) {
        self.places[at].process = None;
        self.sleep(at, None);
    }

    /// Its disk is lost with it.
    pub fn wipe(&mut self, at: Node) {
        self.kill(at);
        self.places[at].kept = None;
        self.places[at].file = None;
    }

    /// It does nothing for so long.
    pub fn stop(&mut self, at: Node, length: Tenths) {
        let until = self.now + length;
        self.places[at].stopped_until = until;
        self.sleep(at, Some(until));
    }

    pub fn machine(&self, at: Node) -> Option<&Machine> {
        match &self.places[at].process {
            Some(Process::Machine(machine)) => Some(machine),
            _ => None,
        }
    }

    pub fn router(&self, at: Node) -> Option<&Subscriber> {
        match &self.places[at].process {
            Some(Process::Router(router)) => Some(router),
            _ => None,
        }
    }

    pub fn node(&self, name: &Name) -> Node {
        self.names[name]
    }

    /// The writer of the highest epoch.
    pub fn writer(&self) -> Option<Node> {
        let writes = |at: &Node| self.machine(*at).and_then(Machine::writer_epoch);
        (0..self.machines).filter(|at| writes(at).is_some()).max_by_key(writes)
    }

    /// Publishes at the given one.
    pub fn publish_at(
        &mut self,
        at: Node,
        edits: Vec<Edit>,
    ) -> Result<(), vetchkeel_configuration::PublishError> {
        let now = self.now;
        let Some(Process::Machine(machine)) = &mut self.places[at].process else {
            return Err(vetchkeel_configuration::PublishError::NotWriter(None));
        };
        let done = machine.publish(now, edits);
        self.pull(at);
        done
    }

    /// Publishes at the writer; false if there is none, or it refuses.
    pub fn publish(&mut self, name: &str, value: &str) -> bool {
        let Some(writer) = self.writer().filter(|at| self.places[*at].stopped_until <= self.now) else {
            return false;
        };
        self.publish_at(writer, vec![edit(name, value)]).is_ok()
    }

    pub fn run(&mut self, length: Tenths) {
        self.run_until(length, |_| false);
    }

    /// Runs until it is so, looked at every 10 ms, at most so long; the time it took.
    pub fn run_until(&mut self, most: Tenths, done: impl Fn(&World) -> bool) -> Option<Tenths> {
        let (from, end) = (self.now, self.now + most);
        let mut asked = self.now - 100;
        loop {
            let message = self.net.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = message.into_iter().chain(wake).min().unwrap_or(end).max(self.now);
            if next >= asked + 100 {
                asked = next;
                if done(self) {
                    return Some(self.now - from);
                }
            }
            if next > end {
                self.now = end;
                return None;
            }
            self.now = next;
            if message.is_some_and(|at| at <= next) {
                self.deliver();
            } else if let Some((_, at)) = self.wakes.first().copied() {
                self.pull(at);
            } else {
                return None;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(((_, number), sent)) = self.net.pop_first() else { return };
        let Sent { from, to, bytes } = sent;
        let place = &mut self.places[to];
        if place.process.is_some() && self.now < place.stopped_until {
            // It waits in the socket, which holds so many.
            let until = place.stopped_until;
            if self.net.range((until, 0)..(until, u64::MAX)).count() < 2_000 {
                self.net.insert((until, number), Sent { from, to, bytes });
            }
            return;
        }
        let (now, name) = (self.now, self.places[from].name.clone());
        let message = wire::decode(&bytes).expect("what was sent can be read");
        if let Message::Status { in_force, .. } = &message
            && place_lives(&self.places[to])
        {
            self.places[from].told = self.places[from].told.max(*in_force);
        }
        let refused = self.answers && !self.is_cut(to, from);
        match &mut self.places[to].process {
            Some(Process::Machine(machine)) => machine.handle_message(now, &name, message),
            Some(Process::Router(router)) => router.handle_message(now, &name, message),
            None if refused => return self.refuse(from, to),
            None => return,
        }
        self.pull(to);
    }

    /// The address of a dead one says so.
    fn refuse(&mut self, to: Node, dead: Node) {
        let (now, name) = (self.now, self.places[dead].name.clone());
        if now < self.places[to].stopped_until {
            return;
        }
        match &mut self.places[to].process {
            Some(Process::Machine(machine)) => machine.connection_lost(now, &name),
            Some(Process::Router(router)) => router.connection_lost(now, &name),
            None => return,
        }
        self.pull(to);
    }

    fn pull(&mut self, at: Node) {
        if self.now < self.places[at].stopped_until {
            return self.sleep(at, Some(self.places[at].stopped_until));
        }
        let Some(mut process) = self.places[at].process.take() else { return self.sleep(at, None) };
        let wake = match &mut process {
            Process::Machine(machine) => {
                while let Some(order) = machine.next_decision(self.now) {
                    self.carry_out(at, machine, order);
                }
                machine.wake_at()
            }
            Process::Router(router) => {
                while let Some(decision) = router.next_decision(self.now) {
                    self.do_as_told(at, router, decision);
                }
                self.check_serving(at, router);
                router.wake_at()
            }
        };
        assert!(wake.is_none_or(|wake| wake > self.now), "{at} wakes at {wake:?} and has nothing to do");
        self.places[at].process = Some(process);
        self.sleep(at, wake);
    }

    fn carry_out(&mut self, at: Node, machine: &Machine, order: Action) {
        match order {
            Action::Persist(record) => {
                let plan = self.plan;
                self.places[at].kept.get_or_insert_default().apply(&record, &plan);
            }
            Action::Send { to, message } => {
                if let Message::Accept { tail, .. } = &message {
                    tail.iter().for_each(|change| self.see(change.version, change.digest));
                }
                let to = self.names[&to];
                self.send(at, to, message);
            }
            Action::Verdict(verdict) => {
                self.check_verdict(&verdict);
                self.verdicts.push((self.now, at, verdict));
            }
            Action::Notify(event) => {
                if let Event::Released(version) = event
                    && version == machine.version()
                {
                    self.see(version, machine.document().digest());
                    self.check_held(version);
                    self.newest = self.newest.max(version);
                }
                self.events.push((self.now, at, event));
            }
        }
    }

    fn do_as_told(&mut self, at: Node, router: &mut Subscriber, decision: Decision) {
        match decision {
            Decision::Send { to, message } => {
                let to = self.names[&to];
                self.send(at, to, message);
            }
            Decision::Apply { version, document } => {
                self.see(version, document.digest());
                let me = self.places[at].name.clone();
                if document.get("poison").is_some_and(|of| of == "all" || of == me.as_str()) {
                    return router.refused(self.now, version, "poison".into());
                }
                let place = &mut self.places[at];
                if self.check {
                    assert!(version >= place.in_force || !place.keeps, "{me} goes back to {version}");
                    assert!(version > router.in_force(), "{me} goes back to {version}");
                }
                place.in_force = version;
                if place.keeps {
                    place.file = Some((version, document));
                }
                self.applied.entry((version, at)).or_insert(self.now);
                router.applied(self.now, version);
            }
            Decision::Notify(notice) => self.notices.push((self.now, at, notice)),
        }
    }

    fn sleep(&mut self, at: Node, until: Option<Tenths>) {
        if let Some(old) = self.places[at].wake.take() {
            self.wakes.remove(&(old, at));
        }
        if let Some(until) = until {
            self.wakes.insert((until, at));
        }
        self.places[at].wake = until;
    }

    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut.contains(&(from, to)) || self.groups.is_some_and(|of| of(from) != of(to))
    }

    fn send(&mut self, from: Node, to: Node, mut message: Message) {
        if let Some(tamper) = self.tamper
            && self.is_router(to)
        {
            tamper(&mut message);
        }
        let bytes = wire::encode(&message).expect("it fits");
        *self.kinds.entry(kind(&message)).or_default() += 1;
        if self.count {
            let router = from.max(to);
            if self.is_router(router) {
                let second = self.now / SECOND;
                *self.bytes.entry((router, second)).or_default() += (bytes.len() + FRAME) as u64;
            } else {
                self.between += (bytes.len() + FRAME) as u64;
            }
        }
        if self.is_cut(from, to) {
            return;
        }
        let copies = match self.chance.generate_range(0..100u32) {
            roll if roll < self.lost => 0,
            roll if roll >= 100 - self.doubled => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // Half to 1 ms within a region, 10 to 40 ms between two: one sent later may come sooner.
            let base = if from % REGIONS == to % REGIONS { 5 } else { 100 };
            let late = base + self.chance.generate_range(0..3 * base as u64) as Tenths;
            self.sent += 1;
            self.net.insert((self.now + late, self.sent), Sent { from, to, bytes: bytes.clone() });
        }
    }

    /// No two documents under one version.
    fn see(&mut self, version: Version, digest: u64) {
        let known = *self.digests.entry(version).or_insert(digest);
        assert!(!self.check || known == digest, "two documents under {version}");
    }

    /// What is released is on the disks of a majority of keepers.
    fn check_held(&self, version: Version) {
        // Later a disk may have been lost.
        if !self.check || version <= self.newest {
            return;
        }
        let holds = |place: &&Place| place.kept.as_ref().is_some_and(|kept| kept.holds(version));
        let holders = self.places[..self.keepers].iter().filter(holds).count();
        assert!(holders > self.keepers / 2, "{version} is released and on {holders} disks");
    }

    /// A router that serves after a start does so under no older version than it had been told before, or had told.
    fn check_serving(&mut self, at: Node, router: &Subscriber) {
        let place = &mut self.places[at];
        if !self.check || place.served || !router.may_serve(self.now) {
            return;
        }
        place.served = true;
        let (version, told) = (router.in_force(), place.told);
        assert!(version >= told, "{} serves under {version}, and had told {told}", place.name);
    }

    /// A verdict of everywhere is true, and otherwise who is not at it is named.
    fn check_verdict(&self, verdict: &Verdict) {
        if !self.check {
            return;
        }
        for at in self.routers() {
            let place = &self.places[at];
            let old = place.process.is_some() && self.now - place.started > 30 * SECOND;
            if !old || place.told == Version::NONE || place.in_force >= verdict.version {
                continue;
            }
            let named = verdict.behind.contains(&place.name)
                || verdict.silent.contains(&place.name)
                || verdict.refused.iter().any(|(name, _)| *name == place.name);
            assert!(!verdict.everywhere && named, "{} is at {}: {verdict:?}", place.name, place.in_force);
        }
    }

    pub fn live_routers(&self) -> impl Iterator<Item = (Node, &Subscriber)> {
        self.routers().filter_map(|at| self.router(at).map(|router| (at, router)))
    }

    /// Is every live router, and every live machine, at the newest released version, and does one write?
    pub fn agreed(&self) -> bool {
        let newest = self.newest;
        newest > Version::NONE
            && self.writer().is_some()
            && (0..self.machines).filter_map(|at| self.machine(at)).all(|machine| machine.version() == newest)
            && self
                .live_routers()
                .all(|(_, router)| router.in_force() == newest && router.may_serve(self.now))
    }

    /// Is this in force at all routers that run?
    pub fn everywhere(&self, name: &str, value: &str) -> bool {
        let running = |at: &Node| self.places[*at].stopped_until <= self.now;
        let mut documents = BTreeMap::new();
        for machine in (0..self.machines).filter_map(|at| self.machine(at)) {
            documents.insert(machine.version(), machine.document());
        }
        self.live_routers().filter(|(at, _)| running(at)).all(|(_, router)| {
            documents.get(&router.in_force()).is_some_and(|document| document.get(name) == Some(value))
        })
    }

    /// Every machine cut off from every other node, by the rule.
    pub fn part(&mut self, groups: fn(Node) -> usize) {
        self.groups = Some(groups);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.groups = None;
        self.lost = 0;
        self.doubled = 0;
        for at in 0..self.places.len() {
            if self.now < self.places[at].stopped_until {
                self.places[at].stopped_until = self.now;
                self.sleep(at, Some(self.now));
            }
            if self.places[at].process.is_none() {
                self.start(at);
            }
        }
    }
}

fn place_lives(place: &Place) -> bool {
    place.process.is_some()
}
