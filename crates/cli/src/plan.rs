//! `vetchkeel plan`: capacity, fit, limit, size, lose-zone, restart.

mod capacity;
mod fit;
mod limit;
mod lose;
mod played;
mod prove;
mod size;

use crate::Failed;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use vetchkeel_emulated::{Access, SECOND};
use vetchkeel_lab::experiment::fleet_of;
use vetchkeel_lab::setup::Setup;
use vetchkeel_operator::{FileError, OperatorFile, Section};
use vetchkeel_planner::{Load, Resource, RouterRoom, load};

#[derive(Subcommand)]
pub enum Plan {
    /// What each role and event asks at the size to design for, and the share of it at which each gives way.
    Capacity {
        #[command(flatten)]
        asked: capacity::Asked,
    },
    /// Estimates work by command group from a capture, and writes a fleet file with it.
    Fit {
        capture: PathBuf,
        /// The fleet as far as it is known; its work is a first guess.
        #[arg(long)]
        fleet: PathBuf,
        /// Where the fitted fleet file goes; standard output if not said.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// The first limit met as the load grows, and the next three.
    Limit {
        #[command(flatten)]
        asked: Asked,
    },
    /// The fewest members that hold a target at this load.
    Size {
        #[command(flatten)]
        asked: Asked,
        /// Sets may not be split.
        #[arg(long)]
        keep_sets: bool,
        /// No more members than this are looked at.
        #[arg(long, default_value_t = 300)]
        most: usize,
    },
    /// What losing each zone, and a primary, does: at once, after the election, and while replacements get warm.
    LoseZone {
        #[command(flatten)]
        asked: Asked,
        /// Seconds until lost members are replaced.
        #[arg(long, default_value_t = 15)]
        replaced_after: u64,
    },
    /// Draws fleets by chance and shows on loopback whether their predicted limits hold.
    Prove {
        #[command(flatten)]
        asked: Asked,
        /// What is shown.
        #[arg(long, value_enum, default_value_t = prove::Shown::Limit)]
        of: prove::Shown,
        /// One fleet a seed.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// Fleets played at once; each takes about a core.
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Seconds that each rate is played.
        #[arg(long, default_value_t = 10)]
        seconds: i64,
        /// The router program; the one beside this program if not said.
        #[arg(long)]
        router: Option<PathBuf>,
    },
    /// The order in which to start all members again.
    Restart {
        #[command(flatten)]
        asked: Asked,
    },
}

#[derive(Args)]
pub struct Asked {
    /// A load capture; the fleet file's own traffic if not said.
    #[arg(long)]
    load: Option<PathBuf>,
    /// The fleet, as HCL.
    #[arg(long)]
    fleet: PathBuf,
    /// So many times that load.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Part of each command group that must be answered within its response target.
    #[arg(long, default_value_t = 0.99)]
    goal: f64,
    /// The log is applied so many times slower.
    #[arg(long, default_value_t = 1.0)]
    lag: f64,
}

/// What a question is about.
pub(crate) struct Question {
    pub(crate) setup: Setup,
    pub(crate) room: RouterRoom,
    pub(crate) load: Option<Load>,
    /// Commands a second, scaled.
    pub(crate) rate: f64,
    pub(crate) goal: f64,
    pub(crate) lag: f64,
}

pub(crate) fn wrong(w: FileError) -> Failed {
    Failed::Input(w.to_string())
}

fn room(root: &Section<'_>) -> Result<RouterRoom, FileError> {
    const MB: f64 = 1024.0 * 1024.0;
    let mut room =
        RouterRoom { cores: 1.0, cost: 150e-6, memory: 192.0 * MB, held: 16_384.0, descriptors: 1_024.0 };
    if let Some(r) = root.block("router")? {
        room.cores = r.number("cores", 1.0, 0.01..=1_024.0)?;
        room.cost = r.time("command_cost", 150, 1..=SECOND)? as f64 / SECOND as f64;
        room.memory = r.number("memory_mb", 192.0, 1.0..=1e6)? * MB;
        room.held = r.number("command_kb", 16.0, 0.1..=1e5)? * 1024.0;
        room.descriptors = r.whole("descriptors", 1_024, 16..=10_000_000)? as f64;
        r.done()?;
    }
    Ok(room)
}

pub(crate) fn captured(path: &std::path::Path) -> Result<Load, Failed> {
    let shown = path.display();
    let bytes = std::fs::read(path).map_err(|e| Failed::Input(format!("{shown}: {e}")))?;
    let read = vetchkeel_capture::read(&bytes).map_err(|why| Failed::Input(format!("{shown}: {why}")))?;
    let loss = read.loss;
    if loss != vetchkeel_capture::Loss::default() {
        tracing::warn!(
            frames = loss.frames,
            bytes = loss.bytes,
            dropped = loss.dropped,
            "the capture is not whole"
        );
    }
    load(&read.records, loss.dropped).map_err(|why| Failed::Input(format!("{shown}: {why}")))
}

/// The traffic of a setup becomes that of a capture.
pub(crate) fn take_load(setup: &mut Setup, load: &Load) -> Result<(), Failed> {
    setup.traffic.rate = load.rate.mean;
    setup.traffic.sessions = load.sessions;
    for group in &mut setup.plan.groups {
        let captured = load.groups.iter().find(|g| g.name == group.name);
        // A group that nobody asked for counts for nothing, and keeps its place.
        group.share = captured.map_or(1e-9, |g| g.share.mean);
    }
    let known = |name: &str| setup.plan.groups.iter().any(|g| g.name == name);
    if let Some(unknown) = load.groups.iter().find(|g| !known(&g.name)) {
        let why = format!(
            "expected the fleet file to have command_group \"{}\", which the capture holds",
            unknown.name
        );
        return Err(Failed::Input(why));
    }
    let sets = setup.plan.sets.len() as i64;
    if let Some((set, _)) = load.sets.iter().find(|(set, _)| !(0..sets).contains(set)) {
        let why =
            format!("expected sets 0 to {} as in the fleet file, found set {set} in the capture", sets - 1);
        return Err(Failed::Input(why));
    }
    setup.traffic.sets = vec![1e-9; sets as usize];
    load.sets.iter().for_each(|(set, part)| setup.traffic.sets[*set as usize] = *part);
    if !load.customers.is_empty() {
        setup.customers = load.customers.clone();
        setup.traffic.customers = load.customers.iter().map(|c| c.1).collect();
    }
    Ok(())
}

impl Question {
    /// The same question, to be asked about something a little different.
    pub(crate) fn same(&self) -> Question {
        let (setup, load) = (self.setup.clone(), self.load.clone());
        Question { setup, load, room: self.room, rate: self.rate, goal: self.goal, lag: self.lag }
    }
}

impl Asked {
    pub(crate) fn question(&self) -> Result<Question, Failed> {
        if !(self.scale > 0.0 && self.scale <= 1e6) {
            return Err(Failed::Input(format!("expected a --scale above 0, found {}", self.scale)));
        }
        if !(self.goal > 0.0 && self.goal < 1.0) {
            return Err(Failed::Input(format!("expected a --goal between 0 and 1, found {}", self.goal)));
        }
        let file = OperatorFile::read(&self.fleet).map_err(wrong)?;
        let root = file.root();
        let room = room(&root).map_err(wrong)?;
        let mut setup = fleet_of(&root).map_err(wrong)?;
        // An experiment's file may be asked about: its own troubles are no part of the question.
        setup.troubles.clear();
        let load = self.load.as_deref().map(captured).transpose()?;
        if let Some(load) = &load {
            take_load(&mut setup, load)?;
        }
        let rate = setup.traffic.rate * self.scale;
        setup.traffic.rate = rate;
        Ok(Question { setup, room, load, rate, goal: self.goal, lag: self.lag })
    }
}

/// A resource in words.
pub(crate) fn named(setup: &Setup, resource: &Resource) -> String {
    let group = |g: usize| &setup.plan.groups[g].name;
    match resource {
        Resource::PrimaryCores { set } => format!("cores of the primary of set {set}"),
        Resource::ReplicaCores { set } => format!("cores of the replicas of set {set}"),
        Resource::LongReads { set } => {
            format!("cores of the one replica of set {set} that long reads keep to")
        }
        Resource::Apply { set } => format!("the thread that applies the log at replicas of set {set}"),
        Resource::Queue { set, primary: true } => format!("room in line at the primary of set {set}"),
        Resource::Queue { set, primary: false } => format!("room in line at replicas of set {set}"),
        Resource::Connections { set } => format!("connections to members of set {set}"),
        Resource::RouterCore { router } => format!("the core of router {router}"),
        Resource::RouterMemory { router } => format!("memory of router {router}"),
        Resource::RouterDescriptors { router } => format!("descriptors of router {router}"),
        Resource::Target { group: g, set } => format!("the response target of {} at set {set}", group(*g)),
        Resource::Pace => "the routers' pace: answers take too much of their response targets".into(),
    }
}

/// Why a resource runs out, in a plain sentence.
pub(crate) fn reason(setup: &Setup, resource: &Resource) -> String {
    let kept: Vec<&str> = setup
        .plan
        .groups
        .iter()
        .filter(|g| matches!(g.access, Access::Write | Access::Fresh))
        .map(|g| g.name.as_str())
        .collect();
    match resource {
        Resource::PrimaryCores { .. } | Resource::Queue { primary: true, .. } => {
            format!(
                "only the primary takes {}; more replicas don't help, splitting the set does",
                kept.join(", ")
            )
        }
        Resource::ReplicaCores { .. } | Resource::Queue { .. } => {
            "reads fill the replicas; another replica helps".into()
        }
        Resource::LongReads { .. } => {
            "reads whose response target is over the tightest bound keep to one replica, so that the others stay fresh; \
             a shorter response target spreads them"
                .into()
        }
        Resource::Apply { .. } => {
            "every replica applies every write on one thread; more replicas don't help, fewer writes a set do"
                .into()
        }
        Resource::Connections { .. } => {
            "each router keeps connections of its own; fewer routers or a larger table help".into()
        }
        Resource::RouterCore { .. } => "one router has one core; more routers help".into(),
        Resource::RouterMemory { .. } | Resource::RouterDescriptors { .. } => "more routers help".into(),
        Resource::Target { group, .. } => {
            let target = setup.plan.groups[*group].target as f64 / 1e3;
            format!("work and waiting together take over {target:.0} ms too often")
        }
        Resource::Pace => {
            "routers hold commands back before members are full; the same that relieves the members helps"
                .into()
        }
    }
}

pub fn run(plan: Plan, json: bool) -> Result<(), Failed> {
    match plan {
        Plan::Capacity { asked } => capacity::run(&asked, json),
        Plan::Fit { capture, fleet, out } => fit::run(&capture, &fleet, out.as_deref(), json),
        Plan::Limit { asked } => limit::run(&asked.question()?, json),
        Plan::Size { asked, keep_sets, most } => size::run(&asked.question()?, !keep_sets, most, json),
        Plan::LoseZone { asked, replaced_after } => lose::run(&asked.question()?, replaced_after, json),
        Plan::Prove { asked, of, seeds, jobs, seconds, router } => {
            let router = router.unwrap_or_else(crate::lab::beside);
            if !router.exists() {
                let why = format!(
                    "expected the router program at {}: `cargo build --release` builds it",
                    router.display()
                );
                return Err(Failed::Input(why));
            }
            prove::run(&asked.question()?, of, &router, &seeds, jobs, seconds.clamp(3, 600), json)
        }
        Plan::Restart { asked } => lose::restart(&asked.question()?, json),
    }
}
