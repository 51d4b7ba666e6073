//! Stand-ins for discovery's agents, one beside each router, and what routers make of their rows.

use super::watch::{Ask, Piece};
use super::{Happening, Role, World};
use crate::arrivals::Arrivals;
use crate::list::HEAD;
use crate::schedule::{Speech, What};
use crate::tally::Duty;
use crate::{SECOND, Tenths};
use std::rc::Rc;
use vetchkeel::{MemberEntry, Phase};
use vetchkeel_discovery::MemberList;
use vetchkeel_membership::Name;

/// An empty line comes this often while nothing changes.
const BEAT: Tenths = 2 * SECOND;
/// From a router to the agent on its machine.
const BESIDE: Tenths = 1;
/// Bytes of the headers of one segment.
const HEADERS: usize = 40;
/// Bytes of an ask, without headers.
const ASK: usize = 110;

#[derive(Default)]
pub(super) struct Agent {
    pub(super) speech: Speech,
    pub(super) open: Option<Open>,
    /// What was asked while it was silent.
    pub(super) unanswered: Option<Ask>,
}

pub(super) struct Open {
    round: u64,
    told: u64,
}

impl World<'_> {
    /// The router's watch and module, until they have nothing to do.
    pub(super) fn pull_list(&mut self, router: usize) {
        let (now, costs) = (self.now, &mut self.costs);
        let Some(hollow) = &mut self.routers[router] else { return };
        if hollow.watch.silent_at.is_some_and(|at| at <= now) {
            hollow.watch.broken();
            hollow.list_failed(now);
        }
        if costs.of(Role::Module, || hollow.wants_watch(now)) {
            let ask = hollow.watch.open(now);
            self.queue.put(now + BESIDE, Happening::Asked { router, ask });
            self.tally.sent(router, Duty::List, ASK + HEADERS);
        }
        let wake = hollow.table_wake().into_iter().chain(hollow.watch.silent_at).min();
        self.queue.wake(now, wake, router, Duty::List);
    }

    pub(super) fn agent_asked(&mut self, router: usize, ask: Ask) {
        self.asks[usize::from(ask.since > 0)].add(ASK as u64);
        let agent = &mut self.agents[router];
        agent.open = None;
        if agent.speech == Speech::Mute {
            agent.unanswered = Some(ask);
            return;
        }
        self.answer(router, ask);
    }

    fn answer(&mut self, router: usize, ask: Ask) {
        let piece = match ask.since {
            0 => self.whole_list(),
            since => Piece::new(HEAD, self.list.since(since)),
        };
        self.agents[router].open = Some(Open { round: ask.round, told: self.list.version() });
        self.tell(router, ask.round, piece);
        self.queue.put(self.now + BEAT, Happening::Beat { router, round: ask.round });
    }

    /// All that ask for everything under one version are sent the same bytes.
    fn whole_list(&mut self) -> Rc<Piece> {
        let version = self.list.version();
        match &self.whole {
            Some((known, piece)) if *known == version => piece.clone(),
            _ => {
                let piece = Piece::new(HEAD, Some(self.list.whole()));
                self.whole = Some((version, piece.clone()));
                piece
            }
        }
    }

    fn tell(&mut self, router: usize, round: u64, piece: Rc<Piece>) {
        self.queue.put(self.now + BESIDE, Happening::Told { router, round, piece });
    }

    pub(super) fn agent_beats(&mut self, router: usize, round: u64) {
        let agent = &self.agents[router];
        if agent.open.as_ref().is_none_or(|open| open.round != round) || self.routers[router].is_none() {
            return;
        }
        if agent.speech == Speech::Speaks {
            let beat = self.beat.clone();
            self.tell(router, round, beat);
        }
        self.queue.put(self.now + BEAT, Happening::Beat { router, round });
    }

    /// Bytes of the list have come.
    pub(super) fn list_piece(&mut self, router: usize, round: u64, piece: &Piece) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        if !hollow.watch.is_open(round) {
            return;
        }
        let segments = piece.bytes.len().div_ceil(1_460);
        self.tally.heard(router, Duty::List, piece.bytes.len() + segments * HEADERS);
        if hollow.reads {
            let lists = self.costs.of(Role::List, || hollow.watch.read(now, &piece.bytes));
            match lists {
                Ok(lists) => lists.iter().for_each(|list| self.member_list_told(router, list)),
                Err(_) => {
                    hollow.watch.broken();
                    hollow.list_failed(now);
                }
            }
        } else {
            hollow.watch.came(now);
            if let Some(Ok(list)) = piece.shared() {
                self.member_list_told(router, list);
            }
        }
        self.pull_list(router);
    }

    fn member_list_told(&mut self, router: usize, list: &MemberList) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        hollow.watch.told(list);
        let entries: Vec<MemberEntry> = list.rows.iter().map(|row| row.entry.clone()).collect();
        self.costs.of(Role::Module, || hollow.list_told(now, list.whole, &entries));
        if let Some(judgements) = &mut hollow.judgements {
            for entry in entries.iter().filter(|entry| entry.phase == Phase::Up && entry.started > 0) {
                if let Ok(name) = Name::new(&entry.node) {
                    judgements.observe_incarnation(&name, entry.started as u64 / 10);
                }
            }
        }
        let hollow_version = hollow.watch.version;
        self.lists.holds(now, router, hollow_version);
        self.check_ready(router);
    }

    /// The list has a new version: every agent that speaks passes it on.
    pub(super) fn list_news(&mut self) {
        let version = self.list.version();
        let Some(line) = self.list.since(version - 1) else { return };
        let news = Piece::new(b"", Some(line));
        for router in 0..self.agents.len() {
            let agent = &mut self.agents[router];
            let Some(open) = agent.open.as_mut().filter(|_| agent.speech == Speech::Speaks) else { continue };
            let (round, told) = (open.round, std::mem::replace(&mut open.told, version));
            let piece =
                if told + 1 == version { news.clone() } else { Piece::new(b"", self.list.since(told)) };
            self.tell(router, round, piece);
        }
    }

    pub(super) fn silence(&mut self, event: usize, begins: bool) {
        let What::Silent { routers, answers, .. } = self.event(event).what else { return };
        let speech = match (begins, answers) {
            (false, _) => Speech::Speaks,
            (true, true) => Speech::AnswersOnce,
            (true, false) => Speech::Mute,
        };
        for router in 0..routers {
            self.agents[router].speech = speech;
            let version = self.list.version();
            match self.agents[router].unanswered.take().filter(|_| !begins) {
                Some(ask) => self.answer(router, ask),
                None if begins => {}
                None => {
                    let Some(open) = &mut self.agents[router].open else { continue };
                    let (round, told) = (open.round, std::mem::replace(&mut open.told, version));
                    if let Some(line) = self.list.since(told) {
                        self.tell(router, round, Piece::new(b"", Some(line)));
                    }
                }
            }
        }
    }

    /// Primaries move, set by set.
    pub(super) fn change_list(&mut self, event: usize, number: usize) {
        let What::ListChanges { rows, count, .. } = self.event(event).what else { return };
        let mut changed = Vec::new();
        for set in 0..rows.div_ceil(2) {
            let set = (number * rows + set + event * count) % self.schedule.size.sets;
            changed.extend(self.list.move_primary(set));
        }
        changed.truncate(self.schedule.size.members);
        let version = self.list.change(&changed, |_| {});
        self.lists.due(self.now, version, event);
        self.list_news();
    }

    pub(super) fn zone_lost(&mut self, event: usize, zone: usize) {
        let rows = self.list.in_zone(&self.zones[zone]);
        let judged: Vec<usize> = rows.iter().copied().take(self.schedule.signals.judged).collect();
        let version = self.list.change(&rows, |row| row.listed = false);
        self.lists.due(self.now, version, event);
        self.list_news();
        if !judged.is_empty() {
            let mut dark = Arrivals::new(self.routers.len(), super::JUDGED_ALLOWED);
            dark.due(self.now, 1, event);
            self.dark.insert(event, dark);
            self.judge(&judged);
        }
    }

    pub(super) fn zone_back(&mut self, event: usize, zone: usize) {
        let rows = self.list.in_zone(&self.zones[zone]);
        let started = super::EPOCH_MS + self.now as u64 / 10;
        let version = self.list.change(&rows, |row| (row.listed, row.started_ms) = (true, started));
        self.lists.due(self.now, version, event);
        self.list_news();
    }
}
