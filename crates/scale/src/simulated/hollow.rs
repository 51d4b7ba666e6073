//! A hollow router: the control code of a router, without clients and sockets.

use super::control::Side;
use super::watch::Watch;
use crate::schedule::{Schedule, Signals};
use crate::told::told;
use crate::{SECOND, Tenths};
use nanorand::{Rng, WyRand};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use vetchkeel::{Decision, MemberEntry};
use vetchkeel_membership::{Instance, Membership, Name, Plan, Start};
use vetchkeel_shared::counts::Counts;
use vetchkeel_shared::judgements::{Judgements, QuorumFraction, Rules};

/// Counts lose half in a minute; news of counts and judgements goes out once a second.
const HALF_LIFE: Tenths = 60 * SECOND;
const NEWS_EVERY: Tenths = SECOND;
const JUDGED_FOR: Tenths = 120 * SECOND;

/// What holds the list.
pub(super) enum Table {
    Module(Box<vetchkeel::Router>),
    /// No module instance: only the watch is kept, and asked for again as the module would.
    Bare {
        ask_at: Option<Tenths>,
        fails: u32,
        chance: WyRand,
    },
}

pub(super) struct Hollow {
    pub(super) started_ms: u64,
    /// When its start was due.
    pub(super) due: Tenths,
    pub(super) is_ready: bool,
    pub(super) reads: bool,
    pub(super) watch: Watch,
    pub(super) table: Table,
    pub(super) membership: Membership,
    pub(super) counts: Option<Counts>,
    pub(super) judgements: Option<Judgements>,
    /// Its side of the configuration, where there are control machines.
    pub(super) side: Option<Side>,
    /// The view has changed since the signals were told who is there.
    pub(super) view_changed: bool,
    pub(super) signals_at: Tenths,
    /// Members of lost zones that are dark here.
    pub(super) dark: BTreeSet<Name>,
}

/// What a hollow router is born with.
pub(super) struct Birth<'a> {
    pub(super) router: usize,
    pub(super) now: Tenths,
    pub(super) instance: Instance,
    pub(super) seeds: &'a [SocketAddr],
    pub(super) side: Option<Side>,
    pub(super) chance: &'a mut WyRand,
}

impl Hollow {
    pub(super) fn start(schedule: &Schedule, birth: Birth<'_>) -> Result<Hollow, String> {
        let Birth { router, now, instance, seeds, side, chance } = birth;
        let (size, started_ms) = (schedule.size, instance.start.at);
        let table = if is_sampled(router, size.routers, size.modules) {
            let told = told(router, size.routers);
            Table::Module(Box::new(vetchkeel::Router::start(told, chance.generate(), now)?))
        } else {
            Table::Bare { ask_at: Some(now), fails: 0, chance: WyRand::new_seed(chance.generate()) }
        };
        let (name, start) = (instance.name.clone(), instance.start);
        let membership = Membership::new(Plan::default(), instance, seeds, now, chance.generate());
        let (counts, judgements) = signals(schedule.signals, &name, start, now, chance)?;
        Ok(Hollow {
            started_ms,
            due: now,
            is_ready: false,
            reads: is_sampled(router, size.routers, size.readers),
            watch: Watch::new(),
            table,
            membership: membership.map_err(|bad| bad.to_string())?,
            counts,
            judgements,
            side,
            view_changed: true,
            signals_at: now + chance.generate_range(0..NEWS_EVERY as u64) as Tenths,
            dark: BTreeSet::new(),
        })
    }

    pub(super) fn list_told(&mut self, now: Tenths, whole: bool, entries: &[MemberEntry]) {
        match &mut self.table {
            Table::Module(module) => module.members_changed(now, whole, entries),
            Table::Bare { fails, .. } => *fails = 0,
        }
    }

    pub(super) fn list_failed(&mut self, now: Tenths) {
        match &mut self.table {
            Table::Module(module) => module.list_failed(now),
            Table::Bare { ask_at, fails, chance } => {
                let base: Tenths = (1_000 << (*fails).min(6)).min(SECOND / 2);
                *ask_at = Some(now + base + chance.generate_range(0..base as u64) as Tenths);
                *fails += 1;
            }
        }
    }

    /// Does the module want the list watched? Its probes find nobody here.
    pub(super) fn wants_watch(&mut self, now: Tenths) -> bool {
        let mut wants = false;
        match &mut self.table {
            Table::Module(module) => {
                while let Some(decision) = module.next_decision(now) {
                    wants |= decision == Decision::WatchMembers;
                }
            }
            Table::Bare { ask_at, .. } => {
                wants = ask_at.is_some_and(|at| at <= now);
                *ask_at = ask_at.filter(|_| !wants);
            }
        }
        wants
    }

    pub(super) fn table_wake(&self) -> Option<Tenths> {
        match &self.table {
            Table::Module(module) => module.wake_at(),
            Table::Bare { ask_at, .. } => *ask_at,
        }
    }

    /// Tells the signals who is there.
    pub(super) fn tell_view(&mut self, now: Tenths) {
        if !std::mem::take(&mut self.view_changed) {
            return;
        }
        let there = self.membership.view().filter(|seen| seen.liveness.is_present());
        let live: BTreeSet<Name> = there.map(|seen| seen.instance.name.clone()).collect();
        if let Some(judgements) = &mut self.judgements {
            judgements.set_live(now, live.clone());
        }
        if let Some(counts) = &mut self.counts {
            counts.set_live(live);
        }
    }
}

/// `some` of `all`, spread evenly over their numbers.
pub(super) fn is_sampled(number: usize, all: usize, some: usize) -> bool {
    (number + 1) * some / all != number * some / all
}

type Shared = (Option<Counts>, Option<Judgements>);

fn signals(
    signals: Signals,
    name: &Name,
    start: Start,
    now: Tenths,
    chance: &mut WyRand,
) -> Result<Shared, String> {
    let counts = || Counts::new(name.clone(), start, HALF_LIFE, NEWS_EVERY, now, chance.generate());
    let counts = (signals.topics > 0).then(counts);
    let judgements = (signals.judged > 0).then(|| {
        let quorum = QuorumFraction { numerator: 1, denominator: 2 };
        let rules = Rules {
            quorum,
            judgement_ttl: JUDGED_FOR,
            departed_ttl: 600 * SECOND,
            gossip_interval: NEWS_EVERY,
        };
        Judgements::new(name.clone(), start, rules, now, chance.generate())
    });
    Ok((counts, judgements.transpose().map_err(|bad| bad.to_string())?))
}
