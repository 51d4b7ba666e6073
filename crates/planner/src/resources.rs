//! What a load asks of each resource, and the rate at which each one is used up.

use crate::queue::{Class, Station};
use vetchkeel_emulated::{Access, Checks, Plan, SECOND, TrafficPlan};

/// What a router is given, and what a command costs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterRoom {
    /// Part of a core, and CPU seconds a command.
    pub cores: f64,
    pub cost: f64,
    /// Bytes in all, and those of an open command.
    pub memory: f64,
    pub held: f64,
    /// Descriptors in all; clients may hold a third of them, members another.
    pub descriptors: f64,
}

/// What may run out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    PrimaryCores {
        set: usize,
    },
    ReplicaCores {
        set: usize,
    },
    /// Cores of the one replica that long reads keep to.
    LongReads {
        set: usize,
    },
    /// The one thread that applies the log.
    Apply {
        set: usize,
    },
    /// Room in line at a member.
    Queue {
        set: usize,
        primary: bool,
    },
    Connections {
        set: usize,
    },
    RouterCore {
        router: usize,
    },
    RouterMemory {
        router: usize,
    },
    RouterDescriptors {
        router: usize,
    },
    /// A command group's response target, at the set that misses it first.
    Target {
        group: usize,
        set: usize,
    },
    /// The decision module holds back: answers take too large a part of their response target.
    Pace,
}

/// A limit: the rate (commands a second of the whole load) at which it is met, and how much is used now.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub resource: Resource,
    pub rate: f64,
    /// Part that is used at the rate asked about.
    pub used: f64,
}

/// A set's members as stations under a load.
#[derive(Clone, Debug)]
pub struct Demand {
    pub primary: Station,
    /// The replicas together, with what the primary spares for reads: reads go to whichever has room. None where the
    /// set has no replicas.
    pub readers: Option<Station>,
    /// The one replica that long reads keep to, with what the primary spares, under those alone.
    pub long: Option<Station>,
    pub replicas: usize,
    /// Part of the time in which a replica's one thread applies.
    pub apply: f64,
    /// The station of each group, and its place among that one's classes.
    place: Vec<(Place, usize)>,
    /// Part of the bounded reads that replicas are too far behind for.
    pub stale: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Primary,
    Readers,
    Long,
}

/// The module's marks as measured in `src/decide.rs`: mean latency over response target above which a router slows down.
const PACE_MARK: f64 = 0.45;
/// Part of the primary's idle cores that reads get when replicas have no room, as played.
const SPARE: f64 = 0.6;
/// Room in line is short when more of the commands find none.
const OVERFLOW: f64 = 0.01;

fn parts(of: &[f64]) -> Vec<f64> {
    let sum: f64 = of.iter().sum();
    of.iter().map(|p| p / sum.max(1e-12)).collect()
}

/// What `rate` commands a second ask of a set. `lag`: the log is applied so many times slower.
pub fn demand(plan: &Plan, traffic: &TrafficPlan, rate: f64, set: usize, lag: f64) -> Demand {
    let members = &plan.sets[set];
    let machine = &plan.machines[members[0].machine];
    let of_set = rate * parts(&traffic.sets).get(set).copied().unwrap_or(0.0);
    let shares = parts(&plan.groups.iter().map(|g| g.share).collect::<Vec<_>>());
    let replicas = members.len() - 1;
    let others: Vec<_> = members[1..].iter().map(|m| &plan.machines[m.machine]).collect();
    let speed = |cores: bool| {
        let sum: f64 = others.iter().map(|m| if cores { m.cores as f64 } else { m.speed }).sum();
        sum / others.len().max(1) as f64
    };
    let writes: f64 = plan
        .groups
        .iter()
        .zip(&shares)
        .filter(|(g, _)| g.access == Access::Write)
        .map(|(_, s)| s * of_set)
        .sum();
    let blocked: f64 = plan
        .groups
        .iter()
        .zip(&shares)
        .filter(|(g, _)| g.blocks)
        .map(|(g, s)| {
            s * of_set / replicas.max(1) as f64 * g.work.mean() / SECOND as f64 / speed(false).max(1e-9)
        })
        .sum();
    let applying = writes * plan.copying.apply.mean() / SECOND as f64 * lag / speed(false).max(1e-9);
    let free = (-blocked).exp();
    let apply = if replicas > 0 { applying / free } else { 0.0 };
    // A thread that has less time than it needs falls behind without end; one that is nearly full is behind for long.
    let bound = plan
        .groups
        .iter()
        .filter_map(|g| if let Access::Bounded(b) = g.access { Some(b) } else { None })
        .min();
    let behind = plan.copying.apply.mean() * lag / SECOND as f64 * apply / (1.0 - apply.min(0.999)).max(1e-3);
    let patience = bound.map_or(f64::INFINITY, |b| b as f64 / SECOND as f64)
        + if let Checks::Wait(wait) = plan.checks { wait as f64 / SECOND as f64 } else { 0.0 };
    let stale = if apply >= 1.0 { 1.0 } else { (-(patience / behind.max(1e-9))).exp() };
    let (mut primary, mut replica, mut long, mut place) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for (group, share) in plan.groups.iter().zip(&shares) {
        let rate = share * of_set;
        let class = |rate: f64, speed: f64| Class {
            rate,
            service: group.work.mean() / SECOND as f64 / speed.max(1e-9),
            scatter: group.work.scatter(),
        };
        let kept = matches!(group.access, Access::Write | Access::Fresh) || replicas == 0;
        if kept {
            place.push((Place::Primary, primary.len()));
            primary.push(class(rate, machine.speed));
            continue;
        }
        // The module keeps reads that outlast the tightest bound to one replica, so that the others stay fresh.
        if group.access == Access::Any && bound.is_some_and(|bound| group.target > bound) {
            place.push((Place::Long, long.len()));
            long.push(class(rate, speed(false)));
            continue;
        }
        let falls_back = if matches!(group.access, Access::Any) { 0.0 } else { stale };
        place.push((Place::Readers, replica.len()));
        replica.push(class(rate * (1.0 - falls_back), speed(false)));
        if falls_back > 0.0 {
            primary.push(class(rate * falls_back, machine.speed));
        }
    }
    let station = |cores: usize, classes: Vec<Class>| Station { cores, classes, gaps: 1.0 };
    let primary = station(machine.cores, primary);
    let spared = SPARE * (1.0 - primary.usage()).max(0.0) * machine.cores as f64;
    // Where that replica has no room the primary's spare cores take them as well.
    let long_cores = (speed(true) + spared).round() as usize;
    let long = (replicas > 0 && !long.is_empty()).then(|| station(long_cores, long));
    // What long reads take of their replica the others can't have.
    let kept = long.as_ref().map_or(0.0, |l| l.usage().min(1.0) * l.cores as f64);
    let cores = speed(true) * replicas as f64 + spared - kept;
    Demand {
        readers: (replicas > 0).then(|| station(cores.round().max(1.0) as usize, replica)),
        primary,
        long,
        replicas,
        apply,
        place,
        stale,
    }
}

impl Demand {
    /// The station and class that serve a group.
    pub fn of_group(&self, group: usize) -> (&Station, Class) {
        let (place, at) = self.place[group];
        let station = match (place, &self.readers, &self.long) {
            (Place::Readers, Some(readers), _) => readers,
            (Place::Long, _, Some(long)) => long,
            _ => &self.primary,
        };
        (station, station.classes[at])
    }
}

/// Part of a group's commands of a set that is answered within its response target at this rate.
fn in_target(plan: &Plan, traffic: &TrafficPlan, rate: f64, group: usize, set: usize, lag: f64) -> f64 {
    let demand = demand(plan, traffic, rate, set, lag);
    let (station, class) = demand.of_group(group);
    1.0 - station.later_than(&class, plan.groups[group].target as f64 / SECOND as f64)
}

/// Mean latency over response target, over all commands.
fn slowness(plan: &Plan, traffic: &TrafficPlan, rate: f64, lag: f64) -> f64 {
    let shares = parts(&plan.groups.iter().map(|g| g.share).collect::<Vec<_>>());
    let sets = parts(&traffic.sets);
    let mut sum = 0.0;
    for (set, part) in sets.iter().enumerate() {
        let demand = demand(plan, traffic, rate, set, lag);
        for (group, share) in shares.iter().enumerate() {
            let (station, class) = demand.of_group(group);
            let target = plan.groups[group].target as f64 / SECOND as f64;
            sum += part * share * (station.mean_time(&class) / target).min(1.0);
        }
    }
    sum
}

/// The rate, up to `most`, at which `met` first holds; None if it does not. It may cease to hold further up: replicas that
/// fall behind lose their reads to the primary.
fn first_rate(most: f64, met: impl Fn(f64) -> bool) -> Option<f64> {
    const STEPS: usize = 48;
    let step = most / STEPS as f64;
    let first = (1..=STEPS).map(|i| step * i as f64).find(|rate| met(*rate))?;
    let (mut low, mut high) = (first - step, first);
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        if met(middle) { high = middle } else { low = middle }
    }
    Some(high)
}

/// Every limit, the first one first. `goal`: the part of each group's commands that must be answered within its response
/// target. `rate`: the load of now, in commands a second. `lag`: the log is applied so many times slower than planned.
pub fn limits(
    plan: &Plan,
    traffic: &TrafficPlan,
    room: &RouterRoom,
    rate: f64,
    goal: f64,
    lag: f64,
) -> Vec<Limit> {
    let mut limits = Vec::new();
    let mut linear = |resource: Resource, used: f64| {
        if used > 0.0 {
            limits.push(Limit { resource, rate: rate / used, used });
        }
    };
    let routers = parts(&traffic.routers);
    for set in 0..plan.sets.len() {
        // At a rate so low that nothing queues: what each command asks, times the rate.
        let light = demand(plan, traffic, rate * 1e-6, set, lag);
        linear(Resource::PrimaryCores { set }, light.primary.usage() * 1e6);
        if light.readers.is_some() {
            linear(Resource::Apply { set }, light.apply * 1e6);
        }
    }
    for (router, part) in routers.iter().enumerate() {
        linear(Resource::RouterCore { router }, rate * part * room.cost / room.cores.max(1e-9));
        let open: f64 =
            rate * part * plan.groups.iter().map(|g| g.share * g.work.mean() / SECOND as f64).sum::<f64>()
                / plan.groups.iter().map(|g| g.share).sum::<f64>().max(1e-12);
        linear(Resource::RouterMemory { router }, open * room.held / room.memory.max(1.0));
        let conns = open + plan.members() as f64;
        linear(
            Resource::RouterDescriptors { router },
            (conns / (room.descriptors / 3.0)).max(open / (room.descriptors / 3.0)),
        );
    }
    // Beyond the first resource that is full nothing more has to be looked at.
    let full = limits.iter().map(|l| l.rate).fold(f64::INFINITY, f64::min);
    let bent = |resource: Resource, met: &dyn Fn(f64) -> bool| {
        first_rate(full, met).map(|at| Limit { resource, rate: at, used: rate / at.max(1e-9) })
    };
    let mut more = Vec::new();
    for set in 0..plan.sets.len() {
        let machine = &plan.machines[plan.sets[set][0].machine];
        let queue = machine.queue;
        // A connection carries one command: as many as run and wait at a member, and one a router to find it by.
        more.extend(bent(Resource::Connections { set }, &|r| {
            let demand = demand(plan, traffic, r, set, lag);
            let out = |s: &Station| s.classes.iter().map(|c| c.rate * s.mean_time(c)).sum::<f64>();
            let at_replica = demand.readers.as_ref().map_or(0.0, |s| out(s) / demand.replicas as f64);
            let most = out(&demand.primary).max(at_replica).min((machine.cores + queue) as f64);
            most + plan.routers.len() as f64 > machine.connections as f64
        }));
        more.extend(bent(Resource::Queue { set, primary: true }, &|r| {
            demand(plan, traffic, r, set, lag).primary.overflows(queue) > OVERFLOW
        }));
        more.extend(bent(Resource::Queue { set, primary: false }, &|r| {
            let demand = demand(plan, traffic, r, set, lag);
            demand.readers.is_some_and(|s| s.overflows(queue * demand.replicas) > OVERFLOW)
        }));
        more.extend(bent(Resource::LongReads { set }, &|r| {
            demand(plan, traffic, r, set, lag).long.is_some_and(|s| s.usage() >= 1.0)
        }));
        // What the primary spares shrinks as the load grows, so this one bends too.
        more.extend(bent(Resource::ReplicaCores { set }, &|r| {
            demand(plan, traffic, r, set, lag).readers.is_some_and(|s| s.usage() >= 1.0)
        }));
    }
    for group in 0..plan.groups.len() {
        // The set with the most traffic misses it first.
        let worst =
            (0..plan.sets.len()).max_by(|a, b| traffic.sets[*a].total_cmp(&traffic.sets[*b])).unwrap_or(0);
        more.extend(bent(Resource::Target { group, set: worst }, &|r| {
            in_target(plan, traffic, r, group, worst, lag) < goal
        }));
    }
    more.extend(bent(Resource::Pace, &|r| slowness(plan, traffic, r, lag) > PACE_MARK));
    limits.extend(more);
    limits.sort_by(|a, b| a.rate.total_cmp(&b.rate).then_with(|| a.resource.cmp(&b.resource)));
    limits
}
