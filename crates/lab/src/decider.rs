//! Who decides in a router: the module, or a baseline to compare it with. Baselines live in the lab alone. They keep
//! no rule but the first two: one final answer, and a mutating command is sent once.

use crate::setup::{Decides, Setup};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use vetchkeel::{
    Command, Decision, DispatchEnd, Ending, Id, MemberEntry, Phase, ProbeEnd, Router, SettingValues, Tenths,
};
use vetchkeel_emulated::{Dice, dice};

/// A router's decisions, whoever makes them.
pub enum Decider {
    Module(Box<Router>),
    Baseline(Box<Baseline>),
}

impl Decider {
    pub fn start(setup: &Setup, told: SettingValues, seed: u64, now: Tenths) -> Result<Decider, String> {
        match setup.decides {
            Decides::Module => Router::start(told, seed, now).map(|r| Decider::Module(Box::new(r))),
            decides => Ok(Decider::Baseline(Box::new(Baseline::new(setup, decides, seed)))),
        }
    }

    pub fn command_arrived(&mut self, now: Tenths, command: Command) -> Result<(), String> {
        match self {
            Decider::Module(router) => router.command_arrived(now, command),
            Decider::Baseline(baseline) => baseline.arrived(now, command),
        }
    }

    pub fn command_left(&mut self, id: &str) {
        match self {
            Decider::Module(router) => router.command_left(id),
            Decider::Baseline(baseline) => _ = baseline.open.remove(id),
        }
    }

    pub fn may_write(&self, now: Tenths, id: &str, dispatch: u32) -> bool {
        match self {
            Decider::Module(router) => router.may_write(now, id, dispatch),
            Decider::Baseline(_) => true,
        }
    }

    pub fn dispatch_ended(&mut self, now: Tenths, id: &str, end: DispatchEnd) {
        match self {
            Decider::Module(router) => router.dispatch_ended(now, id, end),
            Decider::Baseline(baseline) => baseline.ended(id, end),
        }
    }

    pub fn probe_ended(&mut self, now: Tenths, node: &str, end: ProbeEnd) {
        if let Decider::Module(router) = self {
            router.probe_ended(now, node, end);
        }
    }

    pub fn members_changed(&mut self, now: Tenths, whole: bool, entries: &[MemberEntry]) {
        match self {
            Decider::Module(router) => router.members_changed(now, whole, entries),
            Decider::Baseline(baseline) => baseline.listed(whole, entries),
        }
    }

    pub fn list_failed(&mut self, now: Tenths) {
        if let Decider::Module(router) = self {
            router.list_failed(now);
        }
    }

    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        match self {
            Decider::Module(router) => router.next_decision(now),
            Decider::Baseline(baseline) => baseline.next(now),
        }
    }

    pub fn wake_at(&self) -> Option<Tenths> {
        match self {
            Decider::Module(router) => router.wake_at(),
            Decider::Baseline(baseline) => baseline.deadlines.first_key_value().map(|((at, _), ())| *at),
        }
    }
}

struct Held {
    ends: Tenths,
    replayable: bool,
}

pub struct Baseline {
    decides: Decides,
    kinds: BTreeMap<String, (bool, bool)>,
    members: BTreeMap<Id, MemberEntry>,
    open: BTreeMap<Id, Held>,
    deadlines: BTreeMap<(Tenths, Id), ()>,
    ready: VecDeque<Decision>,
    turns: BTreeMap<i64, usize>,
    dice: Dice,
    asks: bool,
}

impl Baseline {
    fn new(setup: &Setup, decides: Decides, seed: u64) -> Baseline {
        let kind = |(i, g): (usize, &vetchkeel_emulated::Group)| {
            (g.name.clone(), (setup.writes(i), setup.mutating(i)))
        };
        Baseline {
            decides,
            kinds: setup.plan.groups.iter().enumerate().map(kind).collect(),
            members: BTreeMap::new(),
            open: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            ready: VecDeque::new(),
            turns: BTreeMap::new(),
            dice: dice(seed, "baseline"),
            asks: setup.plan.list.mode != vetchkeel_emulated::ListMode::Push,
        }
    }

    fn listed(&mut self, whole: bool, entries: &[MemberEntry]) {
        if whole {
            self.members.clear();
        }
        if std::mem::take(&mut self.asks) {
            self.ready.push_back(Decision::WatchMembers);
        }
        for entry in entries {
            if entry.phase == Phase::Up {
                self.members.insert(entry.node.clone(), entry.clone());
            } else {
                self.members.remove(&entry.node);
            }
        }
    }

    fn arrived(&mut self, now: Tenths, command: Command) -> Result<(), String> {
        let &(write, mutating) =
            self.kinds.get(&command.command_group).ok_or("command of a group not in the settings")?;
        let of_set: Vec<&MemberEntry> = self.members.values().filter(|e| e.set == command.set).collect();
        let primary = of_set.iter().find(|e| e.primary).copied();
        let node = match self.decides {
            _ if of_set.is_empty() => None,
            _ if write => primary,
            Decides::Random => Some(of_set[self.dice.random_range(0..of_set.len())]),
            Decides::RoundRobin => {
                let turn = self.turns.entry(command.set).or_insert(0);
                *turn += 1;
                Some(of_set[*turn % of_set.len()])
            }
            _ => primary,
        };
        let ends = now + command.time_left - 20;
        let Some(node) = node.map(|e| e.node.clone()) else {
            self.ready.push_back(Decision::Throttle { command: command.id, retry_after: 0 });
            return Ok(());
        };
        let limit = (ends - now).max(1);
        self.open.insert(command.id.clone(), Held { ends, replayable: !mutating });
        self.deadlines.insert((ends, command.id.clone()), ());
        self.ready.push_back(Decision::Dispatch { command: command.id, node, limit, until: ends });
        Ok(())
    }

    fn ended(&mut self, id: &str, end: DispatchEnd) {
        let Some((id, held)) = self.open.remove_entry(id) else { return };
        self.deadlines.remove(&(held.ends, id.clone()));
        let untouched =
            matches!(end.ending, Ending::Full | Ending::Miss | Ending::ConnectFailed | Ending::NeverSent);
        match end.ending {
            _ if end.command_complete => {}
            _ if untouched || held.replayable => {
                self.ready.push_back(Decision::Throttle { command: id, retry_after: 0 });
            }
            _ => self.ready.push_back(Decision::Fail { command: id }),
        }
    }

    fn next(&mut self, now: Tenths) -> Option<Decision> {
        while let Some(((at, _), ())) = self.deadlines.first_key_value() {
            if *at > now {
                break;
            }
            let ((_, id), ()) = self.deadlines.pop_first()?;
            if self.open.remove(&id).is_some() {
                self.ready.push_back(Decision::Fail { command: id });
            }
        }
        self.ready.pop_front()
    }
}
