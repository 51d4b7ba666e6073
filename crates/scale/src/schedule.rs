//! What is played: a size, links, steps and faults by told time.

use crate::Tenths;

/// Which player carries it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Driver {
    /// Told time, one process.
    Simulated,
    /// Real router processes on loopback.
    Loopback,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    pub name: String,
    pub zones: Vec<String>,
}

/// How many there are of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub routers: usize,
    pub members: usize,
    /// Sets that the members form, each with one primary.
    pub sets: usize,
    /// Routers that hold the list in a module instance of their own; the rest only count what they are told.
    pub modules: usize,
    /// Routers that read the list's bytes themselves; the others are handed the same rows, read once.
    pub readers: usize,
    /// Routers whose view of the fleet is compared with the truth, once a second.
    pub observers: usize,
}

/// What messages meet. Delays one way; the jitter is the most that is added, as a part of the delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    pub within_zone: Tenths,
    pub within_region: Tenths,
    pub between_regions: Tenths,
    pub jitter: f64,
    /// Part of the datagrams that is lost. A stream's message is late by a resending instead.
    pub loss: f64,
}

/// The machines that hold the configuration, and the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Control {
    pub machines: usize,
    /// The first so many vote.
    pub keepers: usize,
    /// Names in the document at the start, and bytes of each value.
    pub names: usize,
    pub value_bytes: usize,
}

/// What routers share over the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signals {
    /// Topics that each router counts in; 0: counts are off.
    pub topics: u32,
    /// Members of a lost zone that each router judges; 0: judgements are off.
    pub judged: usize,
}

impl Signals {
    pub fn is_on(&self) -> bool {
        self.topics > 0 || self.judged > 0
    }
}

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The block's label.
    pub name: String,
    pub at: Tenths,
    pub what: What,
}

/// What happens. Regions, zones and machines by their number, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// `routers` are restarted, evenly over `over`; each is away for `away`.
    Restart { routers: usize, over: Tenths, away: Tenths },
    /// The zone's members are off the list until then.
    ZoneLost { zone: usize, until: Tenths },
    /// Messages from regions `from` to regions `to` do not come, nor the other way if `both`.
    Cut { from: Vec<usize>, to: Vec<usize>, both: bool, until: Tenths },
    /// A control machine ends; started again then, with what it had kept.
    Killed { machine: usize, until: Option<Tenths> },
    /// A control machine reads and says nothing until then.
    Stopped { machine: usize, until: Option<Tenths> },
    /// `count` changes of configuration, one `every` so often, each of `names` names.
    Changes { count: usize, every: Tenths, names: usize },
    /// A change that routers must not put in force.
    Broken,
    /// `count` changes of the list, one `every` so often, each of `rows` rows.
    ListChanges { count: usize, every: Tenths, rows: usize },
    /// Discovery's agents beside the first `routers` fall silent until then; asked, they say the list once if they answer.
    Silent { routers: usize, until: Tenths, answers: bool },
}

/// How an agent is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speech {
    /// It answers, tells changes, and says every 2 s that it lives.
    #[default]
    Speaks,
    /// It answers, and nothing more.
    AnswersOnce,
    Mute,
}

/// All that is played.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub driver: Driver,
    pub seed: u64,
    pub length: Tenths,
    pub size: Size,
    pub regions: Vec<Region>,
    pub links: Links,
    pub control: Control,
    pub signals: Signals,
    /// The whole fleet is started evenly over this time.
    pub start_over: Tenths,
    pub events: Vec<Event>,
}

/// One thing to do at one time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deed {
    StartRouter(usize),
    EndRouter(usize),
    ZoneLost { event: usize, zone: usize },
    ZoneBack { event: usize, zone: usize },
    CutBegins(usize),
    CutEnds(usize),
    KillMachine(usize),
    StartMachine(usize),
    StopMachine(usize),
    ContinueMachine(usize),
    Publish { event: usize, number: usize },
    PublishBroken { event: usize },
    ChangeList { event: usize, number: usize },
    SilenceBegins(usize),
    SilenceEnds(usize),
}

/// A deed and when it is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub at: Tenths,
    pub deed: Deed,
}

impl Schedule {
    /// All zones, region by region: number of the region and name.
    pub fn zones(&self) -> impl Iterator<Item = (usize, &str)> {
        let regions = self.regions.iter().enumerate();
        regions.flat_map(|(at, region)| region.zones.iter().map(move |zone| (at, zone.as_str())))
    }

    /// What is to be done, in order of time; what is due at one time in a fixed order.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for router in 0..self.size.routers {
            let at = spread(router, self.size.routers, self.start_over);
            steps.push(Step { at, deed: Deed::StartRouter(router) });
        }
        for (number, event) in self.events.iter().enumerate() {
            let mut add = |at: Tenths, deed: Deed| steps.push(Step { at, deed });
            event.steps(number, self.size.routers, &mut add);
        }
        steps.sort();
        steps
    }
}

/// When the one at `number` of `count` is due, evenly over `over`.
fn spread(number: usize, count: usize, over: Tenths) -> Tenths {
    over * number as Tenths / count.max(1) as Tenths
}

impl Event {
    fn steps(&self, event: usize, routers: usize, add: &mut dyn FnMut(Tenths, Deed)) {
        let at = self.at;
        match &self.what {
            What::Restart { routers: some, over, away } => {
                for number in 0..*some {
                    // Spread over all names, not the first ones: zones and regions alike.
                    let router = number * routers / some;
                    let ends = at + spread(number, *some, *over);
                    add(ends, Deed::EndRouter(router));
                    add(ends + away, Deed::StartRouter(router));
                }
            }
            What::ZoneLost { zone, until } => {
                add(at, Deed::ZoneLost { event, zone: *zone });
                add(*until, Deed::ZoneBack { event, zone: *zone });
            }
            What::Cut { until, .. } => {
                add(at, Deed::CutBegins(event));
                add(*until, Deed::CutEnds(event));
            }
            What::Killed { machine, until } => {
                add(at, Deed::KillMachine(*machine));
                until.iter().for_each(|until| add(*until, Deed::StartMachine(*machine)));
            }
            What::Stopped { machine, until } => {
                add(at, Deed::StopMachine(*machine));
                until.iter().for_each(|until| add(*until, Deed::ContinueMachine(*machine)));
            }
            What::Changes { count, every, .. } => {
                let due = |number: usize| at + every * number as Tenths;
                (0..*count).for_each(|number| add(due(number), Deed::Publish { event, number }));
            }
            What::Broken => add(at, Deed::PublishBroken { event }),
            What::ListChanges { count, every, .. } => {
                let due = |number: usize| at + every * number as Tenths;
                (0..*count).for_each(|number| add(due(number), Deed::ChangeList { event, number }));
            }
            What::Silent { until, .. } => {
                add(at, Deed::SilenceBegins(event));
                add(*until, Deed::SilenceEnds(event));
            }
        }
    }
}
