//! A deterministic simulation of control machines and routers with disks. Links lose, delay, duplicate and reorder
//! messages and can be cut in one direction; invariants are checked from outside. Time is simulated, and all randomness
//! comes from the seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_configuration::{
    Action, Decision, Document, Edit, Event, Machine, Message, Name, Notice, PersistedState, Plan,
    Subscriber, Tenths, Verdict, Version, wire,
};

pub const SECOND: Tenths = 10_000;
/// Bytes of the IP, TCP and link headers, counted with each message.
pub const FRAME: usize = 60;
/// Number of regions; node `n` is in region `n % REGIONS`.
pub const REGIONS: usize = 4;

/// Index of a machine or router in the world; machines come first.
pub type Node = usize;

pub enum Process {
    Machine(Box<Machine>),
    Router(Box<Subscriber>),
}

/// One machine or router: its process, its disk and what the checks know of it.
pub struct NodeState {
    pub name: Name,
    pub process: Option<Process>,
    /// The process does nothing before this time.
    pub paused_until: Tenths,
    pub started: Tenths,
    wake: Option<Tenths>,
    /// The disk of a machine.
    pub kept: Option<PersistedState>,
    /// How long this machine's disk takes for a write; the process does nothing else meanwhile.
    pub write_time: Tenths,
    /// [`Machine::persisted_records`] at the last write.
    written_records: u64,
    /// The disk of a router: the last saved version and document.
    pub saved: Option<(Version, Document)>,
    /// Whether this router saves its document to disk.
    pub persists: bool,
    /// The highest version that was in force here.
    pub in_force: Version,
    /// The highest version in force that this router has reported to a running machine.
    pub reported: Version,
    /// Whether the router has served since its last start.
    has_served: bool,
}

/// A message in flight.
pub struct InFlight {
    from: Node,
    to: Node,
    bytes: Vec<u8>,
}

pub struct World {
    pub now: Tenths,
    pub plan: Plan,
    pub machines: usize,
    pub keepers: usize,
    pub nodes: Vec<NodeState>,
    names: BTreeMap<Name, Node>,
    in_flight: BTreeMap<(Tenths, u64), InFlight>,
    wake_times: BTreeSet<(Tenths, Node)>,
    sent_count: u64,
    pub rng: WyRand,
    /// Percentage of messages lost.
    pub loss_percent: u32,
    /// Percentage of messages duplicated.
    pub duplicate_percent: u32,
    /// Links cut in one direction, from the first node to the second.
    pub cut_links: BTreeSet<(Node, Node)>,
    /// Network partition: no message passes between nodes of different groups.
    pub group_of: Option<fn(Node) -> usize>,
    /// Whether a sender to a dead process is notified that its connection is refused.
    pub refuses_connections: bool,
    /// Modifies messages sent to routers.
    pub tamper: Option<fn(&mut Message)>,
    /// Whether bytes are counted.
    pub count_bytes: bool,
    /// Bytes to and from routers, by router and second.
    pub router_bytes: BTreeMap<(Node, Tenths), u64>,
    /// Bytes between machines.
    pub machine_bytes: u64,
    /// Number of messages sent, by kind.
    pub messages_by_kind: BTreeMap<&'static str, u64>,
    pub events: Vec<(Tenths, Node, Event)>,
    pub notices: Vec<(Tenths, Node, Notice)>,
    pub verdicts: Vec<(Tenths, Node, Verdict)>,
    /// When a version was first in force at a router.
    pub applied: BTreeMap<(Version, Node), Tenths>,
    /// The digest of the document of each version that any node has held, released or applied.
    digests: BTreeMap<Version, u64>,
    /// The newest version released anywhere.
    pub newest_released: Version,
    /// Whether the invariants are checked.
    pub check: bool,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

pub fn edit(name: &str, value: &str) -> Edit {
    Edit { name: name.into(), value: Some(value.into()) }
}

pub fn message_kind(message: &Message) -> &'static str {
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

fn validate(document: &Document) -> Result<(), String> {
    match document.get("limit") {
        Some(limit) if limit.parse::<u32>().is_err() => {
            Err(format!("limit: expected a number, not {limit:?}"))
        }
        _ => Ok(()),
    }
}

impl World {
    /// A world of machines, the first `keepers` of which are keepers, and routers. No process runs yet.
    pub fn new(machines: usize, keepers: usize, routers: usize, seed: u64) -> World {
        let names = (0..machines).map(|at| name(&format!("m{at:02}")));
        let names = names.chain((0..routers).map(|at| name(&format!("r{at:04}"))));
        let node = |name: Name| NodeState {
            name,
            process: None,
            paused_until: 0,
            started: 0,
            wake: None,
            kept: None,
            write_time: 0,
            written_records: 0,
            saved: None,
            persists: true,
            in_force: Version::NONE,
            reported: Version::NONE,
            has_served: false,
        };
        let nodes: Vec<NodeState> = names.map(node).collect();
        let names = nodes.iter().enumerate().map(|(at, node)| (node.name.clone(), at)).collect();
        World {
            now: 1_000_000,
            plan: Plan::default(),
            machines,
            keepers,
            nodes,
            names,
            in_flight: BTreeMap::new(),
            wake_times: BTreeSet::new(),
            sent_count: 0,
            rng: WyRand::new_seed(seed),
            loss_percent: 0,
            duplicate_percent: 0,
            cut_links: BTreeSet::new(),
            group_of: None,
            refuses_connections: true,
            tamper: None,
            count_bytes: false,
            router_bytes: BTreeMap::new(),
            machine_bytes: 0,
            messages_by_kind: BTreeMap::new(),
            events: Vec::new(),
            notices: Vec::new(),
            verdicts: Vec::new(),
            applied: BTreeMap::new(),
            digests: BTreeMap::new(),
            newest_released: Version::NONE,
            check: true,
        }
    }

    /// A world in which all processes run, there is a writer, and all nodes have converged on one version.
    pub fn new_converged(machines: usize, keepers: usize, routers: usize, seed: u64) -> World {
        let mut world = World::new(machines, keepers, routers, seed);
        world.start_all();
        let took = world.run_until(60 * SECOND, World::has_converged);
        assert!(took.is_some(), "seed {seed}: not converged on one version after the start");
        world
    }

    pub fn start_all(&mut self) {
        for at in 0..self.nodes.len() {
            self.start(at);
        }
    }

    pub fn routers(&self) -> std::ops::Range<Node> {
        self.machines..self.nodes.len()
    }

    pub fn is_router(&self, at: Node) -> bool {
        at >= self.machines
    }

    fn machine_names(&self) -> Vec<Name> {
        self.nodes[..self.machines].iter().map(|node| node.name.clone()).collect()
    }

    pub fn start(&mut self, at: Node) {
        let seed = self.rng.generate::<u64>();
        let (now, plan, machines) = (self.now, self.plan, self.machine_names());
        let keepers = machines[..self.keepers].to_vec();
        let router = self.is_router(at);
        let node = &mut self.nodes[at];
        node.started = now;
        node.written_records = 0;
        node.has_served = false;
        let me = node.name.clone();
        let process = if router {
            let kept = node.saved.clone();
            let start = now as u64;
            let subscriber = Subscriber::new(plan, me, start, kept, machines, now, seed);
            Process::Router(Box::new(subscriber.expect("a valid plan")))
        } else {
            let kept = node.kept.clone();
            let machine = Machine::new(plan, me, machines, keepers, kept, validate, now, seed);
            Process::Machine(Box::new(machine.expect("a valid plan")))
        };
        node.process = Some(process);
        self.run_node(at);
    }

    /// Ends the process; its disk keeps its content.
    pub fn kill(&mut self, at: Node) {
        self.nodes[at].process = None;
        self.set_wake(at, None);
    }

    /// Ends the process and erases its disk.
    pub fn wipe(&mut self, at: Node) {
        self.kill(at);
        self.nodes[at].kept = None;
        self.nodes[at].saved = None;
    }

    /// Pauses the process for the given time.
    pub fn pause(&mut self, at: Node, length: Tenths) {
        let until = self.now + length;
        self.nodes[at].paused_until = until;
        self.set_wake(at, Some(until));
    }

    pub fn machine(&self, at: Node) -> Option<&Machine> {
        match &self.nodes[at].process {
            Some(Process::Machine(machine)) => Some(machine),
            _ => None,
        }
    }

    pub fn router(&self, at: Node) -> Option<&Subscriber> {
        match &self.nodes[at].process {
            Some(Process::Router(router)) => Some(router),
            _ => None,
        }
    }

    pub fn node(&self, name: &Name) -> Node {
        self.names[name]
    }

    /// The machine that is the writer of the highest epoch, if any.
    pub fn writer(&self) -> Option<Node> {
        let writes = |at: &Node| self.machine(*at).and_then(Machine::writer_epoch);
        (0..self.machines).filter(|at| writes(at).is_some()).max_by_key(writes)
    }

    /// Publishes at the given machine, whether or not it is the writer.
    pub fn publish_at(
        &mut self,
        at: Node,
        edits: Vec<Edit>,
    ) -> Result<(), vetchkeel_configuration::PublishError> {
        let now = self.now;
        let Some(Process::Machine(machine)) = &mut self.nodes[at].process else {
            return Err(vetchkeel_configuration::PublishError::NotWriter(None));
        };
        let done = machine.publish(now, edits);
        self.run_node(at);
        done
    }

    /// Publishes at the writer. Returns false if there is none, or if it is paused or refuses.
    pub fn publish(&mut self, name: &str, value: &str) -> bool {
        let Some(writer) = self.writer().filter(|at| self.nodes[*at].paused_until <= self.now) else {
            return false;
        };
        self.publish_at(writer, vec![edit(name, value)]).is_ok()
    }

    pub fn run(&mut self, length: Tenths) {
        self.run_until(length, |_| false);
    }

    /// Runs until `done`, tested at most every 10 ms, holds. Returns the time taken, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Tenths, done: impl Fn(&World) -> bool) -> Option<Tenths> {
        let (from, end) = (self.now, self.now + limit);
        let mut last_test = self.now - 100;
        loop {
            let message = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wake_times.first().map(|(at, _)| *at);
            let next = message.into_iter().chain(wake).min().unwrap_or(end).max(self.now);
            if next >= last_test + 100 {
                last_test = next;
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
            } else if let Some((_, at)) = self.wake_times.first().copied() {
                self.run_node(at);
            } else {
                return None;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(((_, number), sent)) = self.in_flight.pop_first() else { return };
        let InFlight { from, to, bytes } = sent;
        let node = &mut self.nodes[to];
        if node.process.is_some() && self.now < node.paused_until {
            // Messages to a paused process wait in its socket buffer, which is limited.
            let until = node.paused_until;
            if self.in_flight.range((until, 0)..(until, u64::MAX)).count() < 2_000 {
                self.in_flight.insert((until, number), InFlight { from, to, bytes });
            }
            return;
        }
        let (now, name) = (self.now, self.nodes[from].name.clone());
        let message = wire::decode(&bytes).expect("a sent message can be decoded");
        if let Message::Status { in_force, .. } = &message
            && is_running(&self.nodes[to])
        {
            self.nodes[from].reported = self.nodes[from].reported.max(*in_force);
        }
        let refused = self.refuses_connections && !self.is_cut(to, from);
        match &mut self.nodes[to].process {
            Some(Process::Machine(machine)) => machine.handle_message(now, &name, message),
            Some(Process::Router(router)) => router.handle_message(now, &name, message),
            None if refused => return self.notify_refused(from, to),
            None => return,
        }
        if self.nodes[to].write_time > 0 {
            // All messages that came during a write are handled before the next one is ordered.
            return self.set_wake(to, Some(now));
        }
        self.run_node(to);
    }

    /// Notifies node `to` that its connection to the dead node `dead` is refused.
    fn notify_refused(&mut self, to: Node, dead: Node) {
        let (now, name) = (self.now, self.nodes[dead].name.clone());
        if now < self.nodes[to].paused_until {
            return;
        }
        match &mut self.nodes[to].process {
            Some(Process::Machine(machine)) => machine.connection_lost(now, &name),
            Some(Process::Router(router)) => router.connection_lost(now, &name),
            None => return,
        }
        self.run_node(to);
    }

    fn run_node(&mut self, at: Node) {
        if self.now < self.nodes[at].paused_until {
            return self.set_wake(at, Some(self.nodes[at].paused_until));
        }
        let Some(mut process) = self.nodes[at].process.take() else { return self.set_wake(at, None) };
        let wake = match &mut process {
            Process::Machine(machine) => {
                while self.nodes[at].paused_until <= self.now
                    && let Some(order) = machine.next_decision(self.now)
                {
                    self.execute_order(at, machine, order);
                }
                match self.nodes[at].paused_until {
                    until if until > self.now => Some(until),
                    _ => machine.wake_at(),
                }
            }
            Process::Router(router) => {
                while let Some(decision) = router.next_decision(self.now) {
                    self.execute_decision(at, router, decision);
                }
                self.check_serving(at, router);
                router.wake_at()
            }
        };
        assert!(
            wake.is_none_or(|wake| wake > self.now),
            "node {at} wants to wake at {wake:?}, which is not in the future"
        );
        self.nodes[at].process = Some(process);
        self.set_wake(at, wake);
    }

    fn execute_order(&mut self, at: Node, machine: &Machine, order: Action) {
        match order {
            Action::Persist(record) => {
                let plan = self.plan;
                let node = &mut self.nodes[at];
                if node.write_time == 0 {
                    return node.kept.get_or_insert_default().apply(&record, &plan);
                }
                let records = machine.persisted_records();
                if node.written_records != records {
                    node.written_records = records;
                    node.kept = Some(machine.persisted().clone());
                    node.paused_until = self.now + node.write_time;
                }
            }
            Action::Send { to, message } => {
                if let Message::Accept { tail, .. } = &message {
                    tail.iter().for_each(|change| self.check_digest(change.version, change.digest));
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
                    self.check_digest(version, machine.document().digest());
                    self.check_durability(version);
                    self.newest_released = self.newest_released.max(version);
                }
                self.events.push((self.now, at, event));
            }
        }
    }

    fn execute_decision(&mut self, at: Node, router: &mut Subscriber, decision: Decision) {
        match decision {
            Decision::Send { to, message } => {
                let to = self.names[&to];
                self.send(at, to, message);
            }
            Decision::Apply { version, document } => {
                self.check_digest(version, document.digest());
                let me = self.nodes[at].name.clone();
                if document.get("poison").is_some_and(|of| of == "all" || of == me.as_str()) {
                    return router.refused(self.now, version, "poison".into());
                }
                let node = &mut self.nodes[at];
                if self.check {
                    assert!(
                        version >= node.in_force || !node.persists,
                        "router {me} goes back to version {version}"
                    );
                    assert!(version > router.in_force(), "router {me} goes back to version {version}");
                }
                node.in_force = version;
                if node.persists {
                    node.saved = Some((version, document));
                }
                self.applied.entry((version, at)).or_insert(self.now);
                router.applied(self.now, version);
            }
            Decision::Notify(notice) => self.notices.push((self.now, at, notice)),
        }
    }

    fn set_wake(&mut self, at: Node, until: Option<Tenths>) {
        if let Some(old) = self.nodes[at].wake.take() {
            self.wake_times.remove(&(old, at));
        }
        if let Some(until) = until {
            self.wake_times.insert((until, at));
        }
        self.nodes[at].wake = until;
    }

    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cut_links.contains(&(from, to)) || self.group_of.is_some_and(|of| of(from) != of(to))
    }

    fn send(&mut self, from: Node, to: Node, mut message: Message) {
        if let Some(tamper) = self.tamper
            && self.is_router(to)
        {
            tamper(&mut message);
        }
        let bytes = wire::encode(&message).expect("the message is within the size limit");
        *self.messages_by_kind.entry(message_kind(&message)).or_default() += 1;
        if self.count_bytes {
            let router = from.max(to);
            if self.is_router(router) {
                let second = self.now / SECOND;
                *self.router_bytes.entry((router, second)).or_default() += (bytes.len() + FRAME) as u64;
            } else {
                self.machine_bytes += (bytes.len() + FRAME) as u64;
            }
        }
        if self.is_cut(from, to) {
            return;
        }
        let copies = match self.rng.generate_range(0..100u32) {
            roll if roll < self.loss_percent => 0,
            roll if roll >= 100 - self.duplicate_percent => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // The delay is 0.5 to 2 ms within a region and 10 to 40 ms between two, so messages may be reordered.
            let base = if from % REGIONS == to % REGIONS { 5 } else { 100 };
            let delay = base + self.rng.generate_range(0..3 * base as u64) as Tenths;
            self.sent_count += 1;
            self.in_flight
                .insert((self.now + delay, self.sent_count), InFlight { from, to, bytes: bytes.clone() });
        }
    }

    /// Checks that a version never has two different documents.
    fn check_digest(&mut self, version: Version, digest: u64) {
        let known = *self.digests.entry(version).or_insert(digest);
        assert!(!self.check || known == digest, "version {version} has two different documents");
    }

    /// Checks that a released version is on the disks of a majority of keepers.
    fn check_durability(&self, version: Version) {
        // Checked at the first release only: a disk may be lost later.
        if !self.check || version <= self.newest_released {
            return;
        }
        let holds = |node: &&NodeState| node.kept.as_ref().is_some_and(|kept| kept.holds(version));
        let holders = self.nodes[..self.keepers].iter().filter(holds).count();
        assert!(
            holders > self.keepers / 2,
            "version {version} is released, but only on {holders} disks of keepers"
        );
    }

    /// Checks that a restarted router does not serve a version older than one that it reported before the restart.
    fn check_serving(&mut self, at: Node, router: &Subscriber) {
        let node = &mut self.nodes[at];
        if !self.check || node.has_served || !router.may_serve(self.now) {
            return;
        }
        node.has_served = true;
        let (version, reported) = (router.in_force(), node.reported);
        assert!(
            version >= reported,
            "{} serves version {version} but has reported {reported} before",
            node.name
        );
    }

    /// Checks that a verdict of `everywhere` is true, and that any other verdict names each router below the version.
    /// Routers that are not running, started at most 30 s ago or have reported nothing are left out.
    fn check_verdict(&self, verdict: &Verdict) {
        if !self.check {
            return;
        }
        for at in self.routers() {
            let node = &self.nodes[at];
            let old = node.process.is_some() && self.now - node.started > 30 * SECOND;
            if !old || node.reported == Version::NONE || node.in_force >= verdict.version {
                continue;
            }
            let named = verdict.behind.contains(&node.name)
                || verdict.silent.contains(&node.name)
                || verdict.refused.iter().any(|(name, _)| *name == node.name);
            assert!(
                !verdict.everywhere && named,
                "router {} is at {}, which contradicts {verdict:?}",
                node.name,
                node.in_force
            );
        }
    }

    pub fn live_routers(&self) -> impl Iterator<Item = (Node, &Subscriber)> {
        self.routers().filter_map(|at| self.router(at).map(|router| (at, router)))
    }

    /// Whether there is a writer and all running machines and routers are at the newest released version.
    pub fn has_converged(&self) -> bool {
        let newest = self.newest_released;
        newest > Version::NONE
            && self.writer().is_some()
            && (0..self.machines).filter_map(|at| self.machine(at)).all(|machine| machine.version() == newest)
            && self
                .live_routers()
                .all(|(_, router)| router.in_force() == newest && router.may_serve(self.now))
    }

    /// Whether this value is in force at all routers that run and are not paused.
    pub fn in_force_everywhere(&self, name: &str, value: &str) -> bool {
        let running = |at: &Node| self.nodes[*at].paused_until <= self.now;
        let mut documents = BTreeMap::new();
        for machine in (0..self.machines).filter_map(|at| self.machine(at)) {
            documents.insert(machine.version(), machine.document());
        }
        self.live_routers().filter(|(at, _)| running(at)).all(|(_, router)| {
            documents.get(&router.in_force()).is_some_and(|document| document.get(name) == Some(value))
        })
    }

    /// Partitions the network into groups: no message passes between nodes of different groups.
    pub fn partition(&mut self, group_of: fn(Node) -> usize) {
        self.group_of = Some(group_of);
    }

    /// Repairs all links, resumes paused processes and starts those that do not run.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.group_of = None;
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        for at in 0..self.nodes.len() {
            if self.now < self.nodes[at].paused_until {
                self.nodes[at].paused_until = self.now;
                self.set_wake(at, Some(self.now));
            }
            if self.nodes[at].process.is_none() {
                self.start(at);
            }
        }
    }
}

fn is_running(node: &NodeState) -> bool {
    node.process.is_some()
}
