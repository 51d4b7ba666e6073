//! Control machines, the routers' side of the configuration, and whoever publishes.

use super::hollow::Hollow;
use super::streams::HEADERS;
use super::{Happening, Role, World};
use crate::arrivals::Arrivals;
use crate::schedule::What;
use crate::tally::{Duty, Traffic};
use crate::{SECOND, Tenths};
use std::collections::{BTreeMap, VecDeque};
use vetchkeel_configuration::{
    Action, Decision, Document, Edit, Event, Machine, Message, Name, Notice, PersistedState, Plan, Verdict,
    Version, wire,
};

/// A change is in force everywhere after this.
pub(super) const CHANGE_ALLOWED: Tenths = 14 * SECOND;
/// Whoever publishes tries again after this, and publishes anew what was taken and not released by then.
const TRY_AGAIN: Tenths = 1_000;
const ANEW: Tenths = 5 * SECOND;
/// The value that carries a change's number, and the one that a broken change spoils.
const MARK: &str = "scale.mark";
const SPOILT: &str = "request_classes.0.aim_ms";
const SOUND: &str = "600.0";

/// A control machine and what it met.
pub(super) struct Control {
    pub(super) name: Name,
    machine: Option<Machine>,
    kept: Option<PersistedState>,
    pub(super) stopped: bool,
    inbox: VecDeque<(usize, u64, Vec<u8>)>,
    pub(super) sent: Traffic,
    pub(super) heard: Traffic,
    pub(super) opened: u64,
    pub(super) most_open: usize,
}

/// What the configuration went through.
pub(super) struct Configuration {
    pub(super) plan: Plan,
    pub(super) changes: Arrivals,
    /// Refusals of broken changes, by event.
    pub(super) refused: BTreeMap<usize, Arrivals>,
    /// The broken change that each event made.
    broken: BTreeMap<u64, usize>,
    numbers: u64,
    unreleased: VecDeque<Publish>,
    offered: usize,
    offered_at: Tenths,
    /// What each router kept at its end.
    kept: BTreeMap<usize, (Version, Document)>,
    digests: BTreeMap<Version, u64>,
    pub(super) counted: Counted,
}

/// Counts that tell of breaches and of work.
#[derive(Clone, Debug, Default)]
pub(super) struct Counted {
    pub(super) writers: u64,
    pub(super) verdicts: u64,
    pub(super) everywhere: u64,
    /// Verdicts that said "everywhere" while a router that ran had an older version in force.
    pub(super) wrongly_everywhere: u64,
    pub(super) two_under_one: u64,
    pub(super) broken_in_force: u64,
    pub(super) refused: u64,
    pub(super) silences: u64,
    pub(super) bases_gone: u64,
    pub(super) published_anew: u64,
    pub(super) sent_elsewhere: u64,
    pub(super) uncounted: u64,
    pub(super) unread: u64,
}

struct Publish {
    number: u64,
    edits: Vec<Edit>,
}

fn edit(name: impl Into<String>, value: impl Into<String>) -> Edit {
    Edit { name: name.into(), value: Some(value.into()) }
}

/// The document at the start: settings of a router, and customers until there are `names` of them.
fn first_edits(names: usize, value_bytes: usize) -> Vec<Edit> {
    let mut told = crate::told::told(0, 1);
    told.remove("me");
    told.remove("balancers");
    let customers = names.saturating_sub(told.len() + 2) / 2;
    told.insert("projects.count".into(), customers.to_string());
    for customer in 0..customers {
        told.insert(format!("projects.{customer}.name"), customer_name(customer, 0, value_bytes));
        told.insert(format!("projects.{customer}.share"), (1.0 / customers as f64).to_string());
    }
    told.into_iter().map(|(name, value)| edit(name, value)).collect()
}

fn customer_name(customer: usize, number: u64, value_bytes: usize) -> String {
    let text = format!("customer-{customer}-{number}-");
    let fill = "abcdefghijklmnopqrstuvwxyz".chars().cycle().skip(customer);
    text.chars().chain(fill).take(value_bytes).collect()
}

impl Configuration {
    pub(super) fn new(routers: usize, machines: usize) -> Configuration {
        // With few machines each must have room for its part and for that of one that is gone.
        let usual = Plan::default();
        let places = usual.places.max(2 * routers.div_ceil(machines.max(1))).min(65_536);
        let plan = Plan { places, names: usual.names.max(2 * routers), ..usual };
        Configuration {
            plan,
            changes: Arrivals::new(routers, CHANGE_ALLOWED),
            refused: BTreeMap::new(),
            broken: BTreeMap::new(),
            numbers: 0,
            unreleased: VecDeque::new(),
            offered: 0,
            offered_at: 0,
            kept: BTreeMap::new(),
            digests: BTreeMap::new(),
            counted: Counted::default(),
        }
    }
}

/// The routers' part of it.
pub(super) struct Side {
    pub(super) subscriber: vetchkeel_configuration::Subscriber,
    document: Document,
}

impl Control {
    pub(super) fn new(number: usize) -> Control {
        Control {
            name: machine_name(number),
            machine: None,
            kept: None,
            stopped: false,
            inbox: VecDeque::new(),
            sent: Traffic::default(),
            heard: Traffic::default(),
            opened: 0,
            most_open: 0,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.machine.is_some()
    }
}

impl World<'_> {
    pub(super) fn is_up(&self, node: usize) -> bool {
        match node.checked_sub(self.routers.len()) {
            None => self.routers[node].is_some(),
            Some(machine) => self.machines[machine].is_up(),
        }
    }

    fn node_name(&self, node: usize) -> Name {
        match node.checked_sub(self.routers.len()) {
            None => named(super::router_name(node).as_str()),
            Some(machine) => machine_name(machine),
        }
    }

    fn node_of(&self, name: &Name) -> Option<usize> {
        let (kind, number) = name.as_str().rsplit_once('-')?;
        let number: usize = number.parse().ok()?;
        if kind == "router" { Some(number) } else { Some(self.routers.len() + number - 1) }
    }

    pub(super) fn stream_counted(&mut self, from: usize, to: usize) {
        for node in [from, to] {
            if let Some(machine) = node.checked_sub(self.routers.len()) {
                let open = self.streams.of(node);
                let control = &mut self.machines[machine];
                control.opened += u64::from(node == to);
                control.most_open = control.most_open.max(open);
            }
        }
    }

    // ---- control machines ----

    pub(super) fn start_machine(&mut self, number: usize) -> Result<(), String> {
        if self.machines[number].is_up() {
            return Ok(());
        }
        let control = self.schedule.control;
        let machines: Vec<Name> = (0..control.machines).map(machine_name).collect();
        let keepers = machines[..control.keepers].to_vec();
        let (me, kept) = (machines[number].clone(), self.machines[number].kept.take());
        let seed = self.draw();
        // The check at the source lets broken changes pass, so that they come as far as the routers.
        let check: fn(&Document) -> Result<(), String> = |_| Ok(());
        let plan = self.configuration.plan;
        let machine = Machine::new(plan, me, machines, keepers, kept, check, self.now, seed);
        self.machines[number].machine = Some(machine.map_err(|bad| bad.to_string())?);
        self.pull_machine(number);
        Ok(())
    }

    pub(super) fn kill_machine(&mut self, number: usize) {
        let control = &mut self.machines[number];
        control.stopped = false;
        control.inbox.clear();
        if let Some(machine) = control.machine.take() {
            control.kept = Some(machine.persisted().clone());
        }
        self.streams_end(self.routers.len() + number);
    }

    /// It does nothing, or goes on and finds what has come meanwhile.
    pub(super) fn stop_machine(&mut self, number: usize, stopped: bool) {
        self.machines[number].stopped = stopped;
        if stopped {
            return;
        }
        let node = self.routers.len() + number;
        for (from, serial, bytes) in std::mem::take(&mut self.machines[number].inbox) {
            if self.streams.is_open(from, node, serial) {
                self.machine_heard(number, from, &bytes);
            }
        }
        self.pull_machine(number);
    }

    pub(super) fn message(&mut self, from: usize, to: usize, serial: u64, bytes: Vec<u8>) {
        if !self.streams.is_open(from, to, serial) {
            return;
        }
        match to.checked_sub(self.routers.len()) {
            None => self.router_heard(to, from, &bytes),
            Some(machine) if self.machines[machine].stopped => {
                self.machines[machine].inbox.push_back((from, serial, bytes));
            }
            Some(machine) => {
                self.machine_heard(machine, from, &bytes);
                self.pull_machine(machine);
            }
        }
    }

    fn machine_heard(&mut self, number: usize, from: usize, bytes: &[u8]) {
        let (now, from) = (self.now, self.node_name(from));
        let control = &mut self.machines[number];
        let Some(machine) = &mut control.machine else { return };
        control.heard.add((bytes.len() + HEADERS) as u64);
        let read = self.costs.of(Role::ControlMachine, || {
            wire::decode(bytes).map(|message| machine.handle_message(now, &from, message)).is_ok()
        });
        self.configuration.counted.unread += u64::from(!read);
    }

    pub(super) fn pull_machine(&mut self, number: usize) {
        let now = self.now;
        let node = self.routers.len() + number;
        let control = &mut self.machines[number];
        if control.stopped {
            return;
        }
        let Some(machine) = &mut control.machine else { return };
        let (sends, tells) = self.costs.of(Role::ControlMachine, || pull(machine, now));
        let (wake, version, document) = (machine.wake_at(), machine.version(), machine.document());
        if tells.iter().any(|tell| matches!(tell, Told::Event(Event::Released(_)))) {
            let digest = document.digest();
            let first = *self.configuration.digests.entry(version).or_insert(digest);
            self.configuration.counted.two_under_one += u64::from(first != digest);
        }
        self.queue.wake(now, wake, node, Duty::Configuration);
        tells.into_iter().for_each(|tell| self.machine_tells(tell));
        for (to, bytes) in sends {
            self.machines[number].sent.add((bytes.len() + HEADERS) as u64);
            if let Some(to) = self.node_of(&to) {
                self.stream_send(node, to, bytes);
            }
        }
    }

    fn machine_tells(&mut self, tell: Told) {
        let counted = &mut self.configuration.counted;
        match tell {
            Told::Event(Event::BecameWriter(_)) => counted.writers += 1,
            Told::Event(Event::RouterLimit(_)) => counted.sent_elsewhere += 1,
            Told::Event(Event::LedgerFull(_)) => counted.uncounted += 1,
            Told::Event(_) => {}
            Told::Verdict(verdict) => {
                counted.verdicts += 1;
                counted.everywhere += u64::from(verdict.everywhere);
                let older = |hollow: &Hollow| {
                    let side = hollow.side.as_ref();
                    side.is_some_and(|side| side.subscriber.in_force() < verdict.version)
                };
                let wrongly = verdict.everywhere && self.routers.iter().flatten().any(older);
                counted.wrongly_everywhere += u64::from(wrongly);
            }
        }
    }

    pub(super) fn stream_lost(&mut self, at: usize, of: usize) {
        let (now, name) = (self.now, self.node_name(of));
        match at.checked_sub(self.routers.len()) {
            None => {
                if let Some(side) = self.routers[at].as_mut().and_then(|hollow| hollow.side.as_mut()) {
                    side.subscriber.connection_lost(now, &name);
                }
                self.pull_subscriber(at);
            }
            Some(machine) => {
                if let Some(machine) = &mut self.machines[machine].machine {
                    machine.connection_lost(now, &name);
                }
                self.pull_machine(machine);
            }
        }
    }

    // ---- routers ----

    /// A router's side as it starts, with what it had kept.
    pub(super) fn side(&mut self, router: usize, started_ms: u64) -> Result<Option<Side>, String> {
        if self.machines.is_empty() {
            return Ok(None);
        }
        let kept = self.configuration.kept.remove(&router);
        let document = kept.as_ref().map(|(_, document)| document.clone()).unwrap_or_default();
        let machines = self.machines.iter().map(|machine| machine.name.clone()).collect();
        let (plan, me, seed) = (self.configuration.plan, self.node_name(router), self.draw());
        let made =
            vetchkeel_configuration::Subscriber::new(plan, me, started_ms, kept, machines, self.now, seed);
        Ok(Some(Side { subscriber: made.map_err(|bad| bad.to_string())?, document }))
    }

    /// What a router keeps over its end.
    pub(super) fn keep_side(&mut self, router: usize, hollow: Hollow) {
        if let Some(side) = hollow.side {
            self.configuration.kept.insert(router, (side.subscriber.in_force(), side.document));
        }
    }

    fn router_heard(&mut self, router: usize, from: usize, bytes: &[u8]) {
        let (now, from) = (self.now, self.node_name(from));
        self.tally.heard(router, Duty::Configuration, bytes.len() + HEADERS);
        let Some(side) = self.routers[router].as_mut().and_then(|hollow| hollow.side.as_mut()) else {
            return;
        };
        let read = self.costs.of(Role::Configuration, || {
            wire::decode(bytes).map(|message| side.subscriber.handle_message(now, &from, message)).is_ok()
        });
        self.configuration.counted.unread += u64::from(!read);
        self.pull_subscriber(router);
    }

    pub(super) fn pull_subscriber(&mut self, router: usize) {
        let now = self.now;
        loop {
            let Some(side) = self.routers[router].as_mut().and_then(|hollow| hollow.side.as_mut()) else {
                return;
            };
            let subscriber = &mut side.subscriber;
            let Some(decision) = self.costs.of(Role::Configuration, || subscriber.next_decision(now)) else {
                let wake = subscriber.wake_at();
                self.queue.wake(now, wake, router, Duty::Configuration);
                break;
            };
            match decision {
                Decision::Send { to, message } => self.router_sends(router, &to, &message),
                Decision::Apply { version, document } => self.apply(router, version, document),
                Decision::Notify(Notice::NoContact { .. }) => self.configuration.counted.silences += 1,
                Decision::Notify(Notice::SnapshotNeeded { .. }) => self.configuration.counted.bases_gone += 1,
                Decision::Notify(_) => {}
            }
        }
        self.check_ready(router);
    }

    fn router_sends(&mut self, router: usize, to: &Name, message: &Message) {
        let Ok(bytes) = self.costs.of(Role::Configuration, || wire::encode(message)) else { return };
        self.tally.sent(router, Duty::Configuration, bytes.len() + HEADERS);
        if let Some(to) = self.node_of(to) {
            self.stream_send(router, to, bytes);
        }
    }

    /// The module's own reading of the settings is the check; then it is in force.
    fn apply(&mut self, router: usize, version: Version, document: Document) {
        let (now, routers) = (self.now, self.routers.len());
        let Some(side) = self.routers[router].as_mut().and_then(|hollow| hollow.side.as_mut()) else {
            return;
        };
        let subscriber = &mut side.subscriber;
        let number = document.get(MARK).and_then(|mark| mark.parse().ok()).unwrap_or(0);
        let good = self.costs.of(Role::Configuration, || {
            let mut told: vetchkeel::SettingValues = document.clone().into_map();
            told.insert("me".into(), router.to_string());
            told.insert("balancers".into(), routers.to_string());
            let read = vetchkeel::Router::start(told, 0, now).map(|_| ());
            match &read {
                Ok(()) => subscriber.applied(now, version),
                Err(why) => subscriber.refused(now, version, why.clone()),
            }
            read.is_ok()
        });
        let broken = self.configuration.broken.get(&number).copied();
        if good {
            side.document = document;
            self.configuration.counted.broken_in_force += u64::from(broken.is_some());
            self.configuration.changes.holds(now, router, number);
        } else {
            self.configuration.counted.refused += 1;
            if let Some(refused) = broken.and_then(|event| self.configuration.refused.get_mut(&event)) {
                refused.holds(now, router, 1);
            }
        }
    }

    // ---- whoever publishes ----

    /// The first document is published as soon as somebody writes.
    pub(super) fn publish_first(&mut self) {
        let control = self.schedule.control;
        self.publish_edits(first_edits(control.names, control.value_bytes));
    }

    pub(super) fn publish(&mut self, event: usize) {
        let What::Changes { names, .. } = self.event(event).what else { return };
        let (next, control) = (self.configuration.numbers + 1, self.schedule.control);
        let customers = (control.names.saturating_sub(20) / 2).max(1);
        let value = |customer: usize| customer_name(customer, next, control.value_bytes);
        let customer = |at: usize| (next as usize * names + at) % customers;
        let mut edits: BTreeMap<String, String> =
            (0..names).map(|at| (format!("projects.{}.name", customer(at)), value(customer(at)))).collect();
        edits.insert(SPOILT.into(), SOUND.into());
        let number = self.publish_edits(edits.into_iter().map(|(name, value)| edit(name, value)).collect());
        self.configuration.changes.due(self.now, number, event);
    }

    pub(super) fn publish_broken(&mut self, event: usize) {
        let number = self.publish_edits(vec![edit(SPOILT, "broken")]);
        self.configuration.broken.insert(number, event);
        let mut refused = Arrivals::new(self.routers.len(), CHANGE_ALLOWED);
        refused.due(self.now, 1, event);
        self.configuration.refused.insert(event, refused);
    }

    fn publish_edits(&mut self, mut edits: Vec<Edit>) -> u64 {
        self.configuration.numbers += 1;
        let number = self.configuration.numbers;
        edits.push(edit(MARK, number.to_string()));
        self.configuration.unreleased.push_back(Publish { number, edits });
        self.offer();
        number
    }

    /// Offers to the writer what is not released yet, in order; what was taken and lost with a writer, once more.
    pub(super) fn offer(&mut self) {
        let now = self.now;
        let released = self.machines.iter().filter(|control| !control.stopped);
        let mark = |machine: &Machine| machine.document().get(MARK).and_then(|mark| mark.parse().ok());
        let released = released.filter_map(|control| control.machine.as_ref().and_then(mark)).max();
        let released: u64 = released.unwrap_or(0);
        let configuration = &mut self.configuration;
        while configuration.unreleased.front().is_some_and(|publish| publish.number <= released) {
            configuration.unreleased.pop_front();
            configuration.offered = configuration.offered.saturating_sub(1);
        }
        if configuration.offered > 0 && now > configuration.offered_at + ANEW {
            configuration.counted.published_anew += configuration.offered as u64;
            configuration.offered = 0;
        }
        if configuration.unreleased.is_empty() {
            return;
        }
        // Of several that take themselves for the writer, the one of the latest epoch.
        let epoch = |control: &Control| control.machine.as_ref().filter(|_| !control.stopped)?.writer_epoch();
        let writers =
            self.machines.iter().enumerate().filter_map(|(at, control)| Some((epoch(control)?, at)));
        if let Some((_, writer)) = writers.max() {
            self.offer_to(writer);
        }
        self.queue.put(now + TRY_AGAIN, Happening::Offer);
    }

    fn offer_to(&mut self, writer: usize) {
        let (now, configuration) = (self.now, &mut self.configuration);
        let Some(machine) = &mut self.machines[writer].machine else { return };
        while let Some(publish) = configuration.unreleased.get(configuration.offered) {
            let edits = publish.edits.clone();
            if self.costs.of(Role::ControlMachine, || machine.publish(now, edits)).is_err() {
                break;
            }
            configuration.offered += 1;
            configuration.offered_at = now;
        }
        self.pull_machine(writer);
    }
}

/// What a machine has for the log.
enum Told {
    Event(Event),
    Verdict(Verdict),
}

type Sends = Vec<(Name, Vec<u8>)>;

fn pull(machine: &mut Machine, now: Tenths) -> (Sends, Vec<Told>) {
    let (mut sends, mut tells) = (Vec::new(), Vec::new());
    while let Some(order) = machine.next_decision(now) {
        match order {
            // Kept at once: what the machine holds is found again at its next start.
            Action::Persist(_) => {}
            Action::Send { to, message } => sends.extend(wire::encode(&message).map(|bytes| (to, bytes))),
            Action::Verdict(verdict) => tells.push(Told::Verdict(verdict)),
            Action::Notify(event) => tells.push(Told::Event(event)),
        }
    }
    (sends, tells)
}

fn machine_name(number: usize) -> Name {
    named(&format!("control-{:02}", number + 1))
}

fn named(name: &str) -> Name {
    Name::new(name).unwrap_or_else(|_| unreachable!("a short plain name"))
}
