//! The simulated player: hollow routers in one process under told time, with one seed. Equal schedules, equal counts.
//! Discovery's agents are stand-ins; everything else is the control code of the program.

mod agents;
mod control;
mod cost;
mod fleet;
mod hollow;
mod links;
mod outcome;
mod queue;
mod streams;
mod watch;

pub use cost::{Costs, Role};

use crate::arrivals::Arrivals;
use crate::list::List;
use crate::memory::resident;
use crate::report::Report;
use crate::schedule::{Deed, Event, Schedule, Step, What};
use crate::tally::{Duty, Tally, Traffic};
use crate::{SECOND, Tenths};
use agents::Agent;
use control::{Configuration, Control};
use fleet::Agreement;
use hollow::{Birth, Hollow};
use links::{Place, Ways};
use nanorand::{Rng, WyRand};
use queue::{Happening, Queue};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use streams::Streams;
use vetchkeel_membership::{Instance, Name, Start};
use watch::Piece;

/// What the list would tell counts as told after this.
const LIST_ALLOWED: Tenths = 6 * SECOND;
/// A router that starts is to be ready after this.
const START_ALLOWED: Tenths = 14 * SECOND;
/// When all routers agree on a lost zone's members.
const JUDGED_ALLOWED: Tenths = 60 * SECOND;
/// The wall clock of the first start, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// All of it.
struct World<'a> {
    schedule: &'a Schedule,
    now: Tenths,
    queue: Queue,
    steps: Vec<Step>,
    next_step: usize,
    ways: Ways,
    places: Vec<Place>,
    zones: Vec<String>,
    chance: WyRand,
    routers: Vec<Option<Hollow>>,
    agents: Vec<Agent>,
    /// The whole list as agents serve it, under its version; and a sign of life.
    whole: Option<(u64, Rc<Piece>)>,
    beat: Rc<Piece>,
    list: List,
    machines: Vec<Control>,
    configuration: Configuration,
    streams: Streams,
    tally: Tally,
    costs: Costs,
    starts: Starts,
    lists: Arrivals,
    dark: BTreeMap<usize, Arrivals>,
    agreement: Agreement,
    /// Asks for everything and for changes, by the agents.
    asks: [Traffic; 2],
    /// Datagrams that were lost or cut.
    lost: u64,
    progress: &'a mut dyn FnMut(Tenths),
}

/// How long starts took until the router was ready.
#[derive(Default)]
struct Starts {
    count: usize,
    took: Vec<Tenths>,
}

/// Plays a schedule. `progress` is told the time, once a told second.
///
/// # Errors
/// One line, if the schedule can't be played here.
pub fn play(schedule: &Schedule, progress: &mut dyn FnMut(Tenths)) -> Result<Report, String> {
    let before = resident("self");
    let mut world = World::new(schedule, progress);
    world.run()?;
    let after = resident("self");
    let mut report = world.report();
    let routers = schedule.size.routers as u64;
    report.memory = before.zip(after).map(|(before, after)| (after, after.saturating_sub(before) / routers));
    Ok(report)
}

impl<'a> World<'a> {
    fn new(schedule: &'a Schedule, progress: &'a mut dyn FnMut(Tenths)) -> World<'a> {
        let (size, machines) = (schedule.size, schedule.control.machines);
        let zones: Vec<(usize, String)> =
            schedule.zones().map(|(region, zone)| (region, zone.to_owned())).collect();
        let place = |number: usize| {
            let zone = number % zones.len();
            Place { region: zones[zone].0, zone }
        };
        // Routers, then control machines, each over all zones.
        let places: Vec<Place> = (0..size.routers).chain(0..machines).map(place).collect();
        let zones: Vec<String> = zones.iter().map(|(_, zone)| zone.clone()).collect();
        let mut chance = WyRand::new_seed(schedule.seed);
        let list = List::new(size.members, size.sets, &zones, member_address);
        let mut lists = Arrivals::new(size.routers, LIST_ALLOWED);
        (0..size.routers).for_each(|router| lists.started(0, router));
        World {
            schedule,
            now: 0,
            queue: Queue::default(),
            steps: schedule.steps(),
            next_step: 0,
            ways: Ways::new(schedule.links, places.clone(), chance.generate()),
            places,
            zones,
            chance,
            routers: (0..size.routers).map(|_| None).collect(),
            agents: (0..size.routers).map(|_| Agent::default()).collect(),
            whole: None,
            beat: Piece::new(b"", None),
            list,
            machines: (0..machines).map(Control::new).collect(),
            configuration: Configuration::new(size.routers, machines),
            streams: Streams::default(),
            tally: Tally::new(size.routers),
            costs: Costs::default(),
            starts: Starts::default(),
            lists,
            dark: BTreeMap::new(),
            agreement: Agreement::default(),
            asks: Default::default(),
            lost: 0,
            progress,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        let mut second = SECOND;
        for machine in 0..self.machines.len() {
            self.start_machine(machine)?;
        }
        if !self.machines.is_empty() {
            self.publish_first();
        }
        loop {
            let step = self.steps.get(self.next_step).map(|step| step.at);
            let next = step.into_iter().chain(self.queue.next_at()).min().unwrap_or(self.schedule.length);
            while second <= next.min(self.schedule.length) {
                self.now = second;
                self.end_second();
                second += SECOND;
            }
            if next >= self.schedule.length {
                self.now = self.schedule.length;
                return Ok(());
            }
            // Nothing that was put in late turns time back.
            self.now = self.now.max(next);
            if step == Some(next) {
                let deed = self.steps[self.next_step].deed.clone();
                self.next_step += 1;
                self.carry_out(&deed)?;
            } else if let Some(happening) = self.queue.pop() {
                self.happens(happening);
            }
        }
    }

    fn end_second(&mut self) {
        let routers = &self.routers;
        self.tally.end_second(|router| routers[router].is_some());
        self.compare_views();
        (self.progress)(self.now);
    }

    fn event(&self, event: usize) -> &'a Event {
        &self.schedule.events[event]
    }

    fn carry_out(&mut self, deed: &Deed) -> Result<(), String> {
        match *deed {
            Deed::StartRouter(router) => self.start_router(router)?,
            Deed::EndRouter(router) => self.end_router(router),
            Deed::ZoneLost { event, zone } => self.zone_lost(event, zone),
            Deed::ZoneBack { event, zone } => self.zone_back(event, zone),
            Deed::CutBegins(event) => {
                if let What::Cut { from, to, both, until } = &self.event(event).what {
                    self.ways.cut(event, from, to, *both, *until);
                }
            }
            Deed::CutEnds(event) => {
                self.ways.mend(event);
                self.agreement.due(self.now, Some(event));
            }
            Deed::ChangeList { event, number } => self.change_list(event, number),
            Deed::SilenceBegins(event) => self.silence(event, true),
            Deed::SilenceEnds(event) => self.silence(event, false),
            Deed::KillMachine(machine) => self.kill_machine(machine),
            Deed::StartMachine(machine) => self.start_machine(machine)?,
            Deed::StopMachine(machine) => self.stop_machine(machine, true),
            Deed::ContinueMachine(machine) => self.stop_machine(machine, false),
            Deed::Publish { event, .. } => self.publish(event),
            Deed::PublishBroken { event } => self.publish_broken(event),
        }
        Ok(())
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Datagram { to, duty, bytes } => self.datagram(to, duty, &bytes),
            Happening::Message { from, to, serial, bytes } => self.message(from, to, serial, bytes),
            Happening::Break { one, other, serial } => self.stream_breaks(one, other, serial),
            Happening::Broken { at, of } => self.stream_lost(at, of),
            Happening::Offer => self.offer(),
            Happening::Asked { router, ask } => self.agent_asked(router, ask),
            Happening::Told { router, round, piece } => self.list_piece(router, round, &piece),
            Happening::Beat { router, round } => self.agent_beats(router, round),
            Happening::Wake { node, duty } => self.wake(node, duty),
        }
    }

    fn start_router(&mut self, router: usize) -> Result<(), String> {
        if self.routers[router].is_some() {
            return Ok(());
        }
        let started = Start { at: EPOCH_MS + self.now as u64 / 10, count: 0 };
        let zone = Name::new(&self.zones[self.places[router].zone]).ok();
        let instance =
            Instance { name: router_name(router), start: started, address: router_address(router), zone };
        let seeds = self.seeds();
        let side = self.side(router, started.at)?;
        let (now, chance) = (self.now, &mut self.chance);
        let birth = Birth { router, now, instance, seeds: &seeds, side, chance };
        self.routers[router] = Some(Hollow::start(self.schedule, birth)?);
        self.starts.count += 1;
        self.lists.started(now, router);
        self.configuration.changes.started(now, router);
        self.configuration.refused.values_mut().for_each(|refused| refused.started(now, router));
        self.dark.values_mut().for_each(|dark| dark.started(now, router));
        // Whatever the fleet does next, all are to know of this start.
        self.agreement.due(self.now, None);
        self.pull_list(router);
        self.pull_membership(router);
        if self.schedule.signals.is_on() {
            self.pull_signals(router);
        }
        self.pull_subscriber(router);
        Ok(())
    }

    /// It says good-bye and is gone.
    fn end_router(&mut self, router: usize) {
        if let Some(hollow) = &mut self.routers[router] {
            hollow.membership.leave();
            self.pull_membership(router);
        }
        if let Some(hollow) = self.routers[router].take() {
            self.keep_side(router, hollow);
        }
        self.queue.end(router);
        self.streams_end(router);
        self.agents[router] = Agent { speech: self.agents[router].speech, ..Agent::default() };
    }

    fn draw(&mut self) -> u64 {
        self.chance.generate()
    }

    /// A few routers of every region, as operators write them.
    fn seeds(&mut self) -> Vec<SocketAddr> {
        let routers = self.schedule.size.routers;
        let some = (0..8).map(|seed| seed * routers / 8);
        let by_chance = self.chance.generate_range(0..routers);
        some.chain([by_chance]).map(router_address).collect()
    }

    fn wake(&mut self, node: usize, duty: Duty) {
        if !self.queue.is_due(self.now, node, duty) {
            return;
        }
        match duty {
            Duty::List => self.pull_list(node),
            Duty::Membership => self.pull_membership(node),
            Duty::Signals => self.pull_signals(node),
            Duty::Configuration if node < self.routers.len() => self.pull_subscriber(node),
            Duty::Configuration => self.pull_machine(node - self.routers.len()),
        }
    }

    /// All that was due at its start is there.
    fn check_ready(&mut self, router: usize) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        let serves = hollow.side.as_ref().is_none_or(|side| side.subscriber.may_serve(now));
        if !hollow.is_ready && hollow.watch.version > 0 && serves {
            hollow.is_ready = true;
            self.starts.took.push(now - hollow.due);
        }
    }
}

fn router_name(router: usize) -> Name {
    Name::new(&format!("router-{router:04}")).unwrap_or_else(|_| unreachable!("a short name"))
}

fn router_address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router >> 8) as u8, router as u8], 7_000))
}

fn router_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

fn member_address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1 + (member >> 16) as u8, (member >> 8) as u8, member as u8], 5_432))
}
