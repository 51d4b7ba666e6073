//! One feed at a gateway: the window of its newest entries, and the hunt for older ones.

use crate::lineage::{Lineage, Settled};
use crate::terms::Terms;
use crate::words::{Entry, GatewayId, MILLISECOND, Point, SubId, Tenths};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Without an answer the next source is asked, or the same one again.
pub(crate) const ANSWER: Tenths = 150 * MILLISECOND;
/// The primary is asked at least so often, so that it goes on sending and a lost tail is noticed.
pub(crate) const FOLLOWED: Tenths = 250 * MILLISECOND;
/// Rounds of asking everybody before a hunt ends without an answer.
const ROUNDS: u8 = 3;
/// Peers that are asked for older entries.
const PEERS: usize = 2;

/// Who may keep older entries, in the order in which they are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Source {
    Shelf,
    Peer(GatewayId),
    Primary,
}

/// Entries before the window, fetched for those that stand there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Older {
    from: Point,
    entries: Vec<Entry>,
    next: Point,
}

/// The search for the entries from a point on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Hunt {
    pub(crate) from: Point,
    sources: Vec<Source>,
    asked: usize,
    /// Whether that one is still to be asked.
    fresh: bool,
    left: u8,
    since: Tenths,
    /// The oldest that any of those asked keeps beyond `from`.
    least: Option<Point>,
    primary_said: bool,
}

/// What stands at a point of the feed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Found<'a> {
    Entries(&'a Entry),
    /// Nothing yet.
    End,
    /// Before the window: hunt.
    Older,
    /// Nobody keeps what is before `to`.
    Gap {
        to: Point,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Intake {
    pub(crate) lineage: Lineage,
    window: VecDeque<Entry>,
    pub(crate) first: Point,
    pub(crate) next: Point,
    /// What the primary took for the end when it was heard last.
    pub(crate) head: Point,
    /// Whether the window has begun.
    pub(crate) begun: bool,
    /// The primary was asked, and heard.
    pub(crate) asked: Tenths,
    pub(crate) heard: Tenths,
    /// Since when the window lags behind the head.
    pub(crate) lags: Option<Tenths>,
    pub(crate) shelf_first: Point,
    older: Option<Older>,
    hunt: Option<Hunt>,
    gap: Option<(Point, Point)>,
    pub(crate) subs: BTreeSet<SubId>,
    /// Those that stand before the window.
    pub(crate) behind: BTreeSet<SubId>,
    pub(crate) due: Tenths,
}

/// What came of an answer.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Taken {
    /// New entries at the window's end.
    pub(crate) kept: Vec<(Point, Arc<[u8]>)>,
    /// The window begins anew, not after what was there.
    pub(crate) anew: bool,
    /// Another epoch was learnt.
    pub(crate) turned: bool,
    /// Older entries, or the certainty that nobody has them.
    pub(crate) older: bool,
}

impl Intake {
    /// A feed whose window is to begin at a point, if the primary keeps that and it isn't far behind.
    pub(crate) fn new(now: Tenths, wanted: Point) -> Intake {
        Intake {
            lineage: Lineage::default(),
            window: VecDeque::new(),
            first: wanted,
            next: wanted,
            head: Point::NEW,
            begun: false,
            asked: Tenths::MIN / 2,
            heard: now,
            lags: None,
            shelf_first: Point::NEW,
            older: None,
            hunt: None,
            gap: None,
            subs: BTreeSet::new(),
            behind: BTreeSet::new(),
            due: now,
        }
    }

    /// A feed of which the shelf holds `first..next`.
    pub(crate) fn shelved(now: Tenths, lineage: Lineage, first: Point, next: Point) -> Intake {
        Intake { lineage, shelf_first: first, begun: true, head: next, ..Intake::new(now, next) }
    }

    /// Takes in what the primary or a peer sent.
    pub(crate) fn on_entries(
        &mut self,
        now: Tenths,
        from_primary: bool,
        told: (&Lineage, Point, Point),
        from: Point,
        payloads: &[Arc<[u8]>],
        terms: &Terms,
    ) -> Taken {
        let (lineage, first, head) = told;
        let mut taken = Taken::default();
        // Danger: a primary that was replaced and doesn't know it goes on numbering. What it sends counts only as far
        // as the newer lineage holds it, and its head not at all.
        let current = lineage.epoch() >= self.lineage.epoch();
        if self.lineage.adopt(lineage) {
            taken.turned = true;
            self.cut();
        }
        if from_primary && current {
            self.heard = now;
            // Answers may overtake each other.
            self.head = self.head.max(head);
            taken.anew = self.begin(first, head, terms);
        }
        self.append(from, payloads, &mut taken);
        if self.hunt.is_some() {
            taken.older = self.take_older(now, from_primary, from, payloads, first, terms);
        }
        self.lags = if self.next < self.head { self.lags.or(Some(now)) } else { None };
        taken
    }

    /// Drops what the newest lineage doesn't hold.
    fn cut(&mut self) {
        self.window.retain(|e| self.lineage.holds(e.at));
        self.older = None;
        self.gap = None;
        self.hunt = None;
        if !self.begun {
            return;
        }
        match self.lineage.settle(self.next) {
            Settled::Stands => {}
            Settled::Turn { next, .. } => self.next = next,
            // Too many epochs passed by: as if nothing had been here.
            _ => self.begun = false,
        }
        self.first = self.window.front().map_or(self.next, |e| e.at);
    }

    /// Lets the window begin, or begin anew where the primary doesn't keep what follows it or where it is hopelessly
    /// behind; whether it did.
    fn begin(&mut self, first: Point, head: Point, terms: &Terms) -> bool {
        let wanted = self.lineage.normal(self.next).filter(|p| *p >= first);
        let behind = wanted.map_or(u64::MAX, |p| self.lineage.between(p, head));
        // As much as the shelf makes good is read through the window.
        if let (true, Some(point), true) = (self.begun, wanted, behind <= terms.shelf) {
            self.next = point;
            return false;
        }
        self.next = wanted.filter(|p| *p <= head && behind <= terms.window as u64).unwrap_or(head);
        self.begun = true;
        self.window.clear();
        (self.first, self.shelf_first) = (self.next, self.next);
        true
    }

    fn append(&mut self, from: Point, payloads: &[Arc<[u8]>], taken: &mut Taken) {
        if !self.begun {
            return;
        }
        for (at, payload) in (0..).map(|n| from.plus(n)).zip(payloads) {
            if at == self.next && self.lineage.holds(at) {
                self.window.push_back(Entry { at, payload: payload.clone() });
                taken.kept.push((at, payload.clone()));
                self.next = self.lineage.normal(at.plus(1)).unwrap_or(at.plus(1));
            }
        }
        self.next = self.lineage.normal(self.next).unwrap_or(self.next);
    }

    /// Drops the oldest beyond the bound.
    pub(crate) fn trim(&mut self, terms: &Terms) {
        while self.window.len() > terms.window {
            self.window.pop_front();
            self.first = self.window.front().map_or(self.next, |e| e.at);
        }
    }

    /// The entry at a point that stands in the lineage.
    pub(crate) fn at(&self, point: Point) -> Found<'_> {
        if !self.begun || point >= self.next {
            return Found::End;
        }
        if point >= self.first {
            let index = self.window.partition_point(|e| e.at < point);
            return self.window.get(index).filter(|e| e.at == point).map_or(Found::End, Found::Entries);
        }
        if let Some((_, to)) = self.gap.filter(|(from, to)| (*from..*to).contains(&point)) {
            return Found::Gap { to };
        }
        let older = self.older.as_ref().filter(|o| o.from <= point && point < o.next);
        let entry = older.and_then(|o| o.entries.get(o.entries.partition_point(|e| e.at < point)));
        entry.filter(|e| e.at == point).map_or(Found::Older, Found::Entries)
    }

    /// What a peer may be given from a point on: entries of one epoch, as many as one message takes.
    pub(crate) fn page(&self, from: Point, most: usize) -> Vec<Arc<[u8]>> {
        if from < self.first {
            return Vec::new();
        }
        let index = self.window.partition_point(|e| e.at < from);
        let here = self.window.range(index..).take(most).enumerate();
        here.take_while(|(n, e)| e.at == from.plus(*n as u64)).map(|(_, e)| e.payload.clone()).collect()
    }

    /// Whether a desk at a point can be served from memory.
    pub(crate) fn caught_up(&self, point: Point) -> bool {
        match self.lineage.settle(point) {
            Settled::Stands => self.begun && point <= self.next && self.at(point) != Found::Older,
            // What it is told first needs no entries.
            Settled::Turn { .. } | Settled::Forgotten { .. } => self.begun,
            Settled::Ahead => false,
        }
    }

    /// Begins a hunt for what is at a point, unless one is on for another.
    pub(crate) fn hunt(&mut self, now: Tenths, from: Point, peers: &[GatewayId]) -> bool {
        let older = self.begun && from < self.first && self.lineage.settle(from) == Settled::Stands;
        if self.hunt.is_some() || !older {
            return false;
        }
        let shelf = (from >= self.shelf_first && self.shelf_first < self.next).then_some(Source::Shelf);
        let peers = peers.iter().take(PEERS).map(|g| Source::Peer(*g));
        let sources = shelf.into_iter().chain(peers).chain([Source::Primary]).collect();
        self.hunt = Some(Hunt {
            from,
            sources,
            asked: 0,
            fresh: true,
            left: ROUNDS,
            since: now,
            least: None,
            primary_said: false,
        });
        true
    }

    /// Whom to ask now, if the hunt is at a source not asked yet or an answer is late.
    pub(crate) fn ask(&mut self, now: Tenths) -> Option<(Source, Point)> {
        let hunt = self.hunt.as_mut()?;
        if !hunt.fresh {
            if now < hunt.since + ANSWER {
                return None;
            }
            hunt.asked = (hunt.asked + 1) % hunt.sources.len().max(1);
            hunt.left -= u8::from(hunt.asked == 0);
            if hunt.left == 0 {
                // Those that stand there begin another one, and others have their turn.
                self.hunt = None;
                return None;
            }
        }
        (hunt.fresh, hunt.since) = (false, now);
        Some((*hunt.sources.get(hunt.asked)?, hunt.from))
    }

    /// When a hunt's answer is late.
    pub(crate) fn late_at(&self) -> Option<Tenths> {
        self.hunt.as_ref().map(|h| if h.fresh { h.since } else { h.since + ANSWER })
    }

    /// The shelf's answer: entries of one epoch from a point on; none if it has none.
    pub(crate) fn on_shelf(
        &mut self,
        now: Tenths,
        from: Point,
        payloads: &[Arc<[u8]>],
        terms: &Terms,
    ) -> bool {
        let first = if payloads.is_empty() { self.first } else { from };
        self.take_older(now, false, from, payloads, first, terms)
    }

    /// Whether the hunt is over: found, or nobody has it.
    fn take_older(
        &mut self,
        now: Tenths,
        from_primary: bool,
        from: Point,
        payloads: &[Arc<[u8]>],
        first: Point,
        terms: &Terms,
    ) -> bool {
        let Some(hunt) = self.hunt.as_mut().filter(|h| h.from == from) else { return false };
        let lineage = &self.lineage;
        let here = (0..).map(|n| from.plus(n)).zip(payloads).take(terms.window);
        let entries: Vec<Entry> = here
            .take_while(|(at, _)| lineage.holds(*at))
            .map(|(at, payload)| Entry { at, payload: payload.clone() })
            .collect();
        if !entries.is_empty() {
            let end = from.plus(entries.len() as u64);
            self.older = Some(Older { from, next: lineage.normal(end).unwrap_or(end), entries });
            self.hunt = None;
            return true;
        }
        if first > from {
            hunt.least = Some(hunt.least.map_or(first, |l| l.min(first)));
        }
        hunt.primary_said |= from_primary;
        if hunt.asked + 1 < hunt.sources.len() {
            (hunt.asked, hunt.fresh, hunt.since) = (hunt.asked + 1, true, now);
            return false;
        }
        // Danger: a gap that is told is never made good. Only the primary's word that it keeps nothing there ends the
        // search; without it all are asked again.
        let least = hunt.least.and_then(|l| lineage.normal(l)).map_or(self.first, |l| l.min(self.first));
        if hunt.primary_said && least > from {
            self.gap = Some((from, least));
            self.hunt = None;
            return true;
        }
        false
    }
}
