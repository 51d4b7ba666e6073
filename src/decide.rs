//! Every decision of the router, with every tuned value: the one policy file.
//!
//! What a [`Router`] is told (`command_arrived`, `dispatch_ended` and so on) only updates what is known. Pull
//! `next_decision(now)` until there is none; come back at `wake_at()` or with news. Why: `docs/design.md`.

use crate::decay::{ByAge, Decay, Mean};
use crate::interface::*;
use crate::member_clock::{Evidence, MemberClock};
use crate::roles::Standing;
use crate::state::*;
use crate::told::{command_groups, is, numbers, pick, shares, tenths};
use evidence::RoleClaim;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod dialling;
mod events;
mod evidence;
mod freshness;
mod gate;
mod health;
mod patience;
mod reads;
mod search;
mod slow_start;
mod withheld;

const SECOND: Tenths = 10_000;
/// Pause after a round of misses, and the first backoff after a round of transport errors (design page).
const PAUSE: Tenths = 1_000;
const BACKOFF_MAX: Tenths = 5 * SECOND;
/// Half-lives: of usual latencies, work and refusals; of the long reads' part; of how slow fleet and set are.
const USUAL_HALF: Tenths = 10 * SECOND;
const SHARE_HALF: Tenths = 60 * SECOND;
/// Kept connections are stale from the age on at which this part of them, and so many, break at once.
const STALE_PART: f64 = 0.15;
const STALE_LEAST: f64 = 4.0;
const AT_ONCE: Tenths = 50;
const SLOW_HALF: Tenths = 2 * SECOND;
const SET_HALF: Tenths = 20 * SECOND;
/// How long a session's last write is remembered, once this many are.
const SESSION_KEPT: Tenths = 60 * SECOND;
const SESSIONS_LEAST: usize = 4096;
/// How long a report may take from being made to being handed on. For as long after the start a clock that no primary has
/// borne out makes nobody warm.
const REPORT_DELAY: Tenths = SECOND;
const UNCONFIRMED_MOST: Tenths = SECOND;
/// By how much the members' clock must have moved to be told of.
const CLOCK_NEWS: Tenths = 20;
/// A host may be held up for so long between reading its clock and writing (standing page).
const HELD_UP: Tenths = 1_500;
/// Until seen, an unhurried answer is taken to need this share of the response target.
const USUAL_GUESS: f64 = 0.2;
/// Latency over response target above which an answer shrinks its member's window; below, it grows.
const CROWDED: f64 = 0.27;
/// Dispatches out to one member, over all routers: what a start supposes, and what keeps a slow primary busy;
/// the least for one router.
const WINDOW_START: f64 = 10.0;
const WINDOW_BUSY: f64 = 4.0;
const WINDOW_LEAST: f64 = 0.3;
const WINDOW_LOSS: f64 = 0.5;
/// How much dearer a turn is in another zone, for each point in a hundred that all crossings cost.
const CROSSING: f64 = 0.4;
/// A cold member's part of the ordinary load, times what it can do and the multiple that pushes it over, as it starts;
/// the part rises to the whole as it warms.
const COLD_PART: f64 = 0.8;
/// The most turns that a member's turn may cost, and that it may be behind.
const TURN_MOST: f64 = 12.0;
/// Mean latency over response target above which a router slows its pace; the least and the most of it.
const PACE_MARK: f64 = 0.45;
const PACE_LEAST: f64 = 0.3;
/// How much faster it rises than it falls.
const PACE_RISE: f64 = 3.0;
const PACE_MOST: f64 = 1.5;
/// The mean of one set, over a longer while, above which the pace holds for it.
const SET_MARK: f64 = 0.4;
/// A command that erred gets one more dispatch while this part of such dispatches is answered.
const CURED: f64 = 0.3;
/// A command is worth sending while it has this many usual latencies left: where they spread as exponentials
/// do, nine in ten answers come in so many means (ln 10).
const TIME_TO_RUN: f64 = std::f64::consts::LN_10;
/// For so long a check that is out is waited for by a read that has waited for as long as it should.
const CHECK_MOST: Tenths = 1_000;
/// Part of the primary's window open to reads.
const PRIMARY_SPARE: f64 = 0.5;

#[derive(Default)]
pub struct Router {
    told: Told,
    groups: CommandGroups,
    order: Vec<usize>,
    shares: BTreeMap<String, (f64, Decay)>,
    all_traffic: Decay,
    rng: Chance,
    members: Vec<Member>,
    nodes: BTreeMap<Id, Node>,
    vacant: Vec<Node>,
    sets: BTreeMap<i64, MemberSet>,
    open: BTreeMap<u64, Open>,
    by_id: BTreeMap<Id, u64>,
    next_key: u64,
    agenda: BTreeSet<(Tenths, Task)>,
    dirty: BTreeSet<i64>,
    ready: VecDeque<Decision>,
    used: BTreeSet<Node>,
    scarce: Decay,
    sessions: Sessions,
    clock: MemberClock,
    /// What was last told of it.
    clock_noted: Tenths,
    events: Vec<Event>,
    stale: ByAge,
    list_fails: u32,
    node_checks: bool,
    /// The least window of one router: its part of the least over the fleet, once routers are many.
    least: f64,
    done_work: Decay,
    asked_work: Decay,
    pace: f64,
    allowance: f64,
    paced_at: Tenths,
    began: Tenths,
    slow: Mean,
    cured: Mean,
    read_work: Decay,
    long_work: Decay,
    cheap: Tenths,
    /// The least response target of the command groups that wait for a primary.
    held: f64,
    tick: Tenths,
    tightest: Tenths,
    busy: f64,
}

impl Router {
    pub fn start(told: Told, seed: u64, now: Tenths) -> Result<Router, String> {
        let watch = (!is(&told, "membership_mode", "automatic")).then_some((now, Task::Watch));
        let mut router = Router { rng: Chance::from(seed), pace: PACE_MOST, ..Router::default() };
        (router.paced_at, router.began) = (now, now);
        router.agenda.extend(watch);
        router.reconfigure(told)?;
        Ok(router)
    }

    /// The host's time is the members' own, as in a simulator: no machine's wall clock stands between them.
    pub fn shares_clock(&mut self) {
        self.clock.is_theirs();
    }

    /// New settings are in force from now on, whole; an error leaves the old ones. Danger: a command that
    /// came in as repeatable must end as that. It keeps its group, with all that this says of it.
    pub fn reconfigure(&mut self, told: Told) -> Result<(), String> {
        // What is not told is read the cautious way: the primary alone, and never twice.
        let mut groups = command_groups(&told, Access::Write, Effect::Mutating)?;
        let (routers, tick) = (pick(&told, "balancers", 1.0)?, tenths(pick(&told, "tick_ms", 1.0)?).max(1));
        let mut shares = numbers(&told).and_then(|()| shares(&told))?;
        let counted = |name: &String| self.shares.get(name).map_or(Decay::default(), |held| held.1);
        shares.iter_mut().for_each(|(name, share)| share.1 = counted(name));
        (self.told, self.tick, self.shares) = (told, tick, shares);
        // Danger: without late benefit a further try is served for nothing and crowds out first tries. Such
        // a client is kept away for as long as clients heed.
        let heeded = tenths(self.number("permissions.max_retry_after_ms", 0.0));
        for (_, group) in groups.iter_mut().filter(|_| self.allows("permissions.retry_after")) {
            group.hold_off = if group.late_share > 0.0 { group.target } else { heeded.max(group.target) };
        }
        let mut held: BTreeSet<usize> = self.open.values().map(|c| c.kind).collect();
        self.groups.replace(groups, &held);
        let in_use = || self.groups.in_use(&held);
        let waits = in_use().filter(|g| matches!(g.access, Access::Write | Access::Fresh));
        self.held = waits.map(|g| g.target as f64).fold(f64::INFINITY, f64::min);
        let bound = |g: &CommandGroup| if let Access::Bounded(b) = g.access { Some(b) } else { None };
        self.tightest = in_use().filter_map(bound).min().unwrap_or(SECOND);
        self.cheap = in_use().map(|g| g.target).min().unwrap_or(0) * 3;
        // What came in under earlier settings goes first, so that the others' places in the pace stay.
        let mut order: Vec<usize> = self.groups.named.values().copied().collect();
        held.retain(|place| !order.contains(place));
        let density = |i: usize| self.groups.places[i].benefit / self.groups.places[i].target as f64;
        order.sort_by(|a, b| density(*b).total_cmp(&density(*a)).then(a.cmp(b)));
        self.order = held.into_iter().chain(order).collect();
        self.busy = (WINDOW_BUSY / routers).round();
        self.least = (WINDOW_LEAST * WINDOW_START / routers).min(WINDOW_LEAST);
        self.node_checks = ["refuse", "wait"].iter().any(|c| is(&self.told, "family_info.server_checks", c));
        self.dirty.extend(self.sets.keys());
        Ok(())
    }

    fn number(&self, name: &str, or: f64) -> f64 {
        pick(&self.told, name, or).unwrap_or(or)
    }

    fn allows(&self, name: &str) -> bool {
        is(&self.told, name, "true")
    }

    // ---- what the host tells: what is known is brought up to date, nothing is decided ----

    pub fn command_arrived(&mut self, now: Tenths, command: Command) -> Result<(), String> {
        let kind = *self.groups.named.get(&command.command_group).ok_or("no such command group")?;
        let group = &self.groups.places[kind];
        let (timeout, target) = (now + command.time_left, now + group.target);
        // Without late benefit nothing is spent past the response target, nor ended past it.
        let ends = if group.late_share > 0.0 { timeout } else { timeout.min(target) } - 2 * self.tick;
        let remembered = is(&self.told, "family_info.token_mode", "remembered");
        let needs = match (group.access, command.token_age) {
            (Access::Session, _) if remembered => {
                self.sessions.written(&command.session, self.clock.now(now) - SESSION_KEPT)
            }
            (Access::Session, Some(0)) => 0,
            (Access::Session, Some(age)) => now + 1 - age,
            // Danger: what is not told counts as written just now, as late as that may be by the members' clock.
            (Access::Session, None) => now + 1 + self.clock.ahead(now).1,
            _ => now + 1,
        };
        let work = group.target as f64;
        let paced = self.paced(now, command.set);
        paced.then(|| self.asked_work.add(now, SLOW_HALF, work));
        if !matches!(group.access, Access::Write | Access::Fresh) {
            self.read_work.add(now, SHARE_HALF, work);
            self.long_work.add(now, SHARE_HALF, if self.outlasts(kind) { work } else { 0.0 });
        }
        let over_share = command.customer.as_ref().is_some_and(|c| self.beyond_share(now, c));
        let rank = 2 * over_share as u8 + command.repeat as u8;
        let key = self.next_key;
        self.next_key += 1;
        self.by_id.insert(command.id.clone(), key);
        let (id, set, session) = (command.id, command.set, command.session);
        // Danger: a client is left waiting for what has no way to any member. With nothing written by half
        // its time, it is told to come back while it still can.
        let patience = now + command.time_left / 2 - 2 * self.tick;
        self.open
            .insert(key, Open { id, kind, set, rank, ends, patience, needs, session, ..Open::default() });
        self.settle_at(now, key);
        self.agenda.insert((ends, Task::GiveUp(key)));
        Ok(())
    }

    pub fn command_left(&mut self, id: &str) {
        self.by_id.get(id).copied().into_iter().for_each(|key| self.close(key));
    }

    pub fn dispatch_ended(&mut self, now: Tenths, id: &str, end: DispatchEnd) {
        let DispatchEnd { dispatch, ending, took, idled, over, note, report } = end;
        let Some(&key) = self.by_id.get(id) else { return };
        if ending == Ending::NotDialled {
            return self.not_dialled(now, key, dispatch, over);
        }
        let out = self.open.get_mut(&key).and_then(|cmd| cmd.out.remove(&dispatch));
        let Some((node, sent)) = out else { return };
        let asked = now - took;
        let answered = ending == Ending::Answered;
        let write =
            self.open.get(&key).is_some_and(|cmd| self.groups.places[cmd.kind].access == Access::Write);
        let note = self.past(now, asked, node, note, write && answered);
        let Some(cmd) = self.open.get_mut(&key) else { return };
        let unproven = matches!(
            ending,
            Ending::Error | Ending::TimedOut | Ending::Reset | Ending::CalledOff | Ending::TooOld
        );
        cmd.maybe_ran = cmd.maybe_ran.or(unproven.then_some((node, sent)));
        let broke = ending == Ending::Reset && took <= AT_ONCE;
        idled.into_iter().for_each(|age| self.stale.add(now, SHARE_HALF, age, broke));
        cmd.broken_round |= matches!(ending, Ending::ConnectFailed | Ending::Reset | Ending::TimedOut);
        if let (true, true, Some(session)) = (write, answered, cmd.session.clone()) {
            // Danger: a commit that a wrong clock takes for yet to come would leave its session without one.
            let known = note.position > 0;
            let commit = if known { note.position } else { now + self.clock.ahead(now).1 };
            self.session_wrote(now, session, commit + 1);
        }
        let Some(cmd) = self.open.get_mut(&key) else { return };
        // Danger: commands that err at any member take others' turns. Whether a dispatch after an error is
        // answered tells them from members that err; only beside the latter is one more worth it.
        let (again, erred) = (cmd.erred, ending == Ending::Error);
        (again && (answered || erred)).then(|| self.cured.add(now, USUAL_HALF, answered as u8 as f64));
        let written = !matches!(ending, Ending::ConnectFailed | Ending::NeverSent);
        cmd.patience = if written { cmd.ends } else { cmd.patience };
        cmd.hopeless |= erred && (again || self.cured.read(now, USUAL_HALF, 0.5) < CURED);
        cmd.erred |= erred;
        let number = cmd.set;
        self.dirty.insert(number);
        self.used.insert(node);
        let group = &mut self.groups.places[cmd.kind];
        let (kind, target, ratio) = (cmd.kind, group.target as f64, took as f64 / group.target as f64);
        answered.then(|| group.latency.add(now, USUAL_HALF, took as f64));
        match (over, cmd.closed) {
            (true, _) => self.close(key),
            (_, true) => self.forget(key),
            _ => self.settle_at(now, key),
        }
        let tells = answered || matches!(ending, Ending::TimedOut | Ending::Full);
        if let (true, Some(set)) = (tells, self.sets.get_mut(&number)) {
            let slow = if answered { ratio.min(1.0) } else { 1.0 };
            self.slow.add(now, SLOW_HALF, slow);
            set.slow.add(now, SET_HALF, slow);
        }
        let usual = self.usual(now, kind);
        self.learn_report(now, asked, node, report);
        self.dialled(node);
        let m = &mut self.members[node];
        m.out.remove(&(key, dispatch));
        m.written_as_primary.remove(&(key, dispatch));
        // The note of a write that went through is its commit, not the member's position.
        let told = if write && answered { 0 } else { note.position };
        self.learn_position(now, asked, node, Note { position: told, ..note });
        let m = &mut self.members[node];
        let behind = self.clock.now(now) - told;
        (m.behind, m.behind_at) = if told > 0 { (behind, now) } else { (m.behind, m.behind_at) };
        let spoke = matches!(ending, Ending::Answered | Ending::Miss | Ending::Error | Ending::Full);
        (m.heard, m.unheard) = if spoke { (now, 0) } else { (m.heard, m.unheard) };
        m.met |= spoke && ending != Ending::Error;
        if let Some(primary) = note.primary {
            m.noted_at = now;
            self.learn_role(now, node, RoleClaim { primary, asked });
        }
        let can_probe = self.allows("permissions.may_probe");
        let refused = can_probe && 2 * took < tenths(self.number("permissions.dial_timeout_ms", 0.0));
        let m = &mut self.members[node];
        // Danger: a member that died is back, and cold, before the list says so, or unlisted; or only a
        // connection broke, and one that works is held for dead and cold. A probe tells which.
        let (reset, doubted) = (ending == Ending::Reset, can_probe && m.state != State::TransportError);
        (m.broke, m.died) = (m.broke || (reset && doubted), m.died || (reset && !doubted));
        match ending {
            Ending::Answered => {
                self.scarce.add(now, USUAL_HALF, m.refused.min(1) as f64);
                (m.fails, m.refused, m.broke) = (0, 0, false);
                m.turned_away = if sent > m.turned_away { 0 } else { m.turned_away };
                self.done_work.add(now, USUAL_HALF, target);
                self.recover(now, node);
            }
            // No position with it: far behind, until a report says by how much.
            Ending::Miss if !write && note.position == 0 => (m.behind, m.behind_at) = (Tenths::MAX / 2, now),
            // Danger: a full member turned to again at once, by every waiting command in turn.
            Ending::Full => (m.window, m.turned_away) = ((m.window / 2.0).max(self.least), now),
            Ending::ConnectFailed if refused => self.refused(now, node),
            Ending::Reset if doubted => _ = self.agenda.insert((now, Task::Ask(node))),
            Ending::ConnectFailed | Ending::Reset => self.break_member(now, node),
            _ => {}
        }
        let m = &mut self.members[node];
        // Danger: many routers, each with one out, crowd a small member. A window below one is a pause.
        let pause = (usual * (1.0 / m.window.min(1.0) - 1.0)) as Tenths;
        m.shy_until = m.shy_until.max(now + pause);
        // And for reads at a primary their part of such a window is a longer one.
        let spare = (usual * (1.0 / (m.window * PRIMARY_SPARE).min(1.0) - 1.0)) as Tenths;
        m.spare_at = m.spare_at.max(now + spare);
        let judged = answered || matches!(ending, Ending::TimedOut | Ending::CalledOff);
        if judged && ratio > CROWDED {
            let loss = WINDOW_LOSS * (ratio.min(1.0) - CROWDED);
            m.window = f64::max(m.window - loss * m.window.min(1.0), self.least);
        } else if answered && m.out.len() as f64 + 1.0 >= m.window * 0.6 {
            m.window += (CROWDED - ratio) / m.window.max(1.0).sqrt() * m.window.min(1.0).sqrt();
        }
    }

    pub fn probe_ended(&mut self, now: Tenths, node: &str, end: ProbeEnd) {
        let ProbeEnd { ending, took, primary, report } = end;
        let Some(&node) = self.nodes.get(node) else { return };
        let asked = now - took;
        self.dirty.insert(self.members[node].set);
        if ending == Ending::NotDialled {
            return self.probe_not_dialled(now, node);
        }
        self.dialled(node);
        self.learn_report(now, asked, node, report);
        primary.into_iter().for_each(|primary| self.learn_role(now, node, RoleClaim { primary, asked }));
        let m = &mut self.members[node];
        m.probing = false;
        m.met |= ending == Ending::Answered;
        if self.still_hangs(now, asked, node, report) {
            return;
        }
        let m = &mut self.members[node];
        if ending != Ending::Answered && m.fails == 0 && m.state != State::TransportError {
            // One lost probe proves nothing: it is asked once more.
            m.fails = 1;
            self.agenda.insert((now, Task::Ask(node)));
            return;
        }
        if ending != Ending::Answered {
            m.died |= m.refused > 0 || m.broke;
            return self.break_member(now, node);
        }
        m.checked_at = now;
        // Danger: until an answer shows that one which refuses works, others' connections idle for seconds.
        let squeezed = m.refused > 0 && m.state != State::TransportError;
        if squeezed && self.scarce.read(now, USUAL_HALF) <= 1.0 {
            self.scarce.add(now, USUAL_HALF, 1.0);
            self.used.extend(self.nodes.values());
        }
        let m = &mut self.members[node];
        if m.state != State::TransportError {
            (m.fails, m.broke) = (0, false);
            return;
        }
        self.recover(now, node);
        // As a broken one it could have no role.
        self.learn_reported_role(now, asked, node, report);
        primary.into_iter().for_each(|primary| self.learn_role(now, node, RoleClaim { primary, asked }));
    }

    pub fn members_changed(&mut self, now: Tenths, whole: bool, entries: &[Entry]) {
        self.list_fails = 0;
        let (removal_binds, met) = (!self.allows("rules.soft_removal"), self.members.is_empty());
        let named: BTreeSet<&Id> = entries.iter().filter(|_| whole).map(|e| &e.node).collect();
        for m in self.members.iter_mut().filter(|m| whole && !named.contains(&m.id)) {
            (m.gone, m.shut) = (true, m.shut || removal_binds);
            self.dirty.insert(m.set);
        }
        for e in entries {
            let (held, count) = (self.nodes.get(&e.node).copied(), self.members.len());
            let fresh = held.is_none();
            if fresh && e.phase == Phase::Removed {
                self.ready.push_back(Decision::Forget { node: e.node.clone() });
                continue;
            }
            let node = held.or_else(|| self.vacant.pop()).unwrap_or(count);
            if fresh {
                let (id, zone, set, heard) = (e.node.clone(), e.zone.clone(), e.set, now);
                self.members.resize_with(count.max(node + 1), Member::default);
                self.members[node] = Member { id, zone, set, heard, met, ..Member::default() };
                self.nodes.insert(e.node.clone(), node);
                self.sets.entry(e.set).or_default().nodes.push(node);
            }
            let m = &mut self.members[node];
            self.dirty.insert(m.set);
            (m.listed_primary, m.gone) = (e.primary, e.phase == Phase::Removed);
            m.shut = match e.phase {
                Phase::Up => false,
                Phase::Draining => true,
                // A removal that does not bind leaves an earlier drain in force.
                Phase::Removed => removal_binds || m.shut,
            };
            if fresh || e.started > m.started {
                if self.clock.now(m.heard) < e.started {
                    self.set_state(node, State::Unknown, StateReason::Restarted);
                }
                self.restarted(now, e.started, node);
                // Danger: every router that starts, or meets a new member, asks it at once; hundreds started
                // together are a herd of dials and probes. Where routers are more than ten (the fleet's least
                // window is below a router's), only a restart is asked about.
                let herd = fresh && self.least < WINDOW_LEAST;
                (!herd).then(|| self.agenda.insert((now, Task::Ask(node))));
            }
        }
        self.forget_gone();
        let me: usize = pick(&self.told, "me", 0).unwrap_or(0);
        // Danger: lists of thousands, of which a row changes now and then. A change costs what it touches.
        for number in &self.dirty {
            let Some(set) = self.sets.get_mut(number) else { continue };
            set.nodes.sort_by(|a, b| self.members[*a].id.cmp(&self.members[*b].id));
            let count = set.nodes.len();
            for (i, &node) in set.nodes.iter().enumerate() {
                self.members[node].tie = (i + count - me % count) % count;
            }
        }
    }

    /// Danger: members come and go under new ids for ever. One that is gone is forgotten once nothing is out
    /// on it or may have run there; where removal does not bind, once it is broken as well.
    fn forget_gone(&mut self) {
        let soft = self.allows("rules.soft_removal");
        let held = |c: &Open| c.out.values().chain(&c.maybe_ran).map(|o| o.0).collect::<Vec<Node>>();
        let held: BTreeSet<Node> = self.open.values().flat_map(held).collect();
        for (node, m) in self.members.iter_mut().enumerate().filter(|(n, m)| m.gone && !held.contains(n)) {
            let works = soft && m.state != State::TransportError;
            if !works && self.nodes.remove(&m.id).is_some() {
                self.ready.push_back(Decision::Forget { node: m.id.clone() });
                self.sets.get_mut(&m.set).into_iter().for_each(|set| set.nodes.retain(|n| *n != node));
                self.dirty.insert(m.set);
                // Danger: connections of a place that nobody holds any more are let go, without a name.
                self.used.remove(&node);
                self.vacant.push(node);
                *m = Member { shut: true, ..Member::default() };
            }
        }
    }

    /// Danger: a way between closes idle connections without a sign, and what is sent there may have run. For
    /// how long one may idle, if that is known.
    pub fn idle_most(&self, now: Tenths) -> Option<Tenths> {
        self.stale.first(now, SHARE_HALF, STALE_PART, STALE_LEAST)
    }

    pub fn knows(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// A watch or a fetch failed: ask again after a backoff, one second at the most.
    pub fn list_failed(&mut self, now: Tenths) {
        // Danger: what the list would tell counts as told after 6 s, however asked for and whatever failed.
        let wait = self.rng.jittered((PAUSE << self.list_fails.min(6)).min(SECOND / 2));
        self.list_fails += 1;
        self.agenda.insert((now + wait, Task::Watch));
    }

    /// True for a customer whose part of this router's recent traffic is above its share.
    fn beyond_share(&mut self, now: Tenths, customer: &str) -> bool {
        self.all_traffic.add(now, USUAL_HALF, 1.0);
        let Some((share, mine)) = self.shares.get_mut(customer) else { return false };
        mine.add(now, USUAL_HALF, 1.0);
        mine.read(now, USUAL_HALF) > *share * self.all_traffic.read(now, USUAL_HALF)
    }

    fn close(&mut self, key: u64) {
        let written = self.allows("permissions.cancel");
        let Some(cmd) = self.open.get_mut(&key) else { return };
        cmd.closed = true;
        self.dirty.insert(cmd.set);
        if let Some(set) = self.sets.get_mut(&cmd.set) {
            set.waiting.get_mut(cmd.kind).map(|queue| queue.remove(&(cmd.rank, Reverse(key))));
            set.scout = set.scout.filter(|s| *s != key);
        }
        // An answer that nobody waits for any more is called off, so that waiting work is dropped. Danger:
        // what still waits for its connection begins long after its client left. That needs no permission.
        for &dispatch in cmd.out.keys() {
            self.ready.push_back(Decision::CallOff { command: cmd.id.clone(), dispatch, written });
        }
        self.forget(key);
    }

    fn forget(&mut self, key: u64) {
        if self.open.get(&key).is_some_and(|c| c.closed && c.out.is_empty()) {
            self.open.remove(&key).map(|c| self.by_id.remove(&c.id));
        }
    }

    // ---- what the host pulls ----

    pub fn wake_at(&self) -> Option<Tenths> {
        self.agenda.first().map(|(at, _)| *at)
    }

    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        loop {
            if let Some(decision) = self.ready.pop_front() {
                return Some(decision);
            }
            if self.agenda.first().is_some_and(|(at, _)| *at <= now) {
                match self.agenda.pop_first()?.1 {
                    Task::Settle(key) => self.settle(now, key),
                    Task::GiveUp(key) => self.give_up(now, key, GaveUp::Deadline),
                    Task::Overdue(key, dispatch) => self.overdue(now, key, dispatch),
                    Task::Look(set) => _ = self.dirty.insert(set),
                    Task::Ask(node) => self.probe(now, node),
                    Task::Watch => self.ready.push_back(Decision::WatchList),
                }
            } else if let Some(set) = self.dirty.pop_first() {
                self.serve(now, set);
            } else {
                let node = self.used.pop_first()?;
                // Danger: connections that idle at one router are missed at others while members take few.
                if self.scarce.read(now, USUAL_HALF) > 1.0 {
                    return Some(Decision::LetGo { node: self.members[node].id.clone() });
                }
            }
        }
    }

    /// A command with nothing out waits for its turn, or is answered at once if it may not be sent again.
    fn settle(&mut self, now: Tenths, key: u64) {
        let Some(cmd) = self.open.get(&key).filter(|c| !c.closed && c.out.is_empty()) else { return };
        let ran = cmd.maybe_ran.is_some_and(|(at, _)| self.repeatable_for(now, cmd, at) <= 0);
        let late = self.waits_until(now, cmd);
        let reasons = [
            (now + self.tick >= cmd.ends, GaveUp::Deadline),
            (ran, GaveUp::MayHaveRun),
            (cmd.hopeless, GaveUp::Errors),
            (cmd.attempts() >= self.groups.places[cmd.kind].attempts, GaveUp::Attempts),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(met, _)| *met) {
            return self.give_up(now, key, reason);
        }
        let set = self.sets.entry(cmd.set).or_default();
        set.waiting.resize(self.groups.places.len(), BTreeSet::new());
        let has_waited = !set.waiting[cmd.kind].insert((cmd.rank, Reverse(key)));
        if has_waited && late <= now {
            match self.worth_waiting_until(now, key) {
                Some(at) => return self.settle_at(at.max(now + self.tick), key),
                None => {
                    let gate = self.withheld_by(now, key);
                    return self.give_up(now, key, GaveUp::Withheld(gate));
                }
            }
        }
        self.dirty.insert(cmd.set);
        self.settle_at(late.max(now + self.tick), key);
    }

    /// Danger: settled twice in one turn, a command that came back to wait is given up before it is offered.
    fn settle_at(&mut self, at: Tenths, key: u64) {
        let Some(cmd) = self.open.get_mut(&key) else { return };
        self.agenda.remove(&(std::mem::replace(&mut cmd.settles, at), Task::Settle(key)));
        self.agenda.insert((at, Task::Settle(key)));
    }

    /// The final answer of a command that is given up: throttled where a repeat is harmless, else failed.
    fn give_up(&mut self, now: Tenths, key: u64, reason: GaveUp) {
        let Some(cmd) = self.open.get(&key) else { return };
        if cmd.closed || (!cmd.out.is_empty() && now < cmd.ends) {
            return;
        }
        let group = &self.groups.places[cmd.kind];
        let throttle = Decision::Throttle { command: cmd.id.clone(), hold_off: group.hold_off };
        let fail = Decision::Fail { command: cmd.id.clone() };
        let (command, attempts) = (cmd.id.clone(), cmd.attempts());
        self.ready.push_back(if self.is_harmless_to_repeat(cmd) { throttle } else { fail });
        self.note(Event::GaveUp { command, reason, attempts });
        self.close(key);
    }

    /// Offers the set's waiting commands to its members, dearest command group first, newest first.
    fn serve(&mut self, now: Tenths, number: i64) {
        let mut left = false;
        for i in 0..self.order.len() {
            let kind = self.order[i];
            let head = |r: &Router| r.sets.get(&number)?.waiting.get(kind)?.first().copied();
            while let Some(place) = head(self) {
                let held = !self.in_pace(now, i) && self.paced(now, number);
                if held || !self.offer(now, number, place.1.0) {
                    left = true;
                    break;
                }
                self.sets.get_mut(&number).map(|set| set.waiting[kind].remove(&place));
            }
        }
        if let Some(set) = self.sets.get_mut(&number).filter(|s| left && s.look_at <= now) {
            set.look_at = now + PAUSE / 4;
            self.agenda.insert((set.look_at, Task::Look(number)));
        }
    }

    /// Danger: members that fail or crawl in some sets slow commands to all others. A set whose own answers
    /// are in time is not paced; for what few answers don't tell, it counts as slow as the whole.
    fn paced(&self, now: Tenths, number: i64) -> bool {
        let all = self.slow.read(now, SLOW_HALF, USUAL_GUESS);
        self.sets.get(&number).is_none_or(|set| set.slow.read(now, SET_HALF, all) > SET_MARK)
    }

    /// Danger: with many routers each meets a member too seldom to see that it is crowded, and all go on.
    /// So each also paces itself by all its answers: what is beyond the pace waits, cheapest groups first.
    fn in_pace(&mut self, now: Tenths, rank: usize) -> bool {
        let past = (now - self.paced_at) as f64;
        let room = (PACE_MARK - self.slow.read(now, SLOW_HALF, USUAL_GUESS)) / SECOND as f64;
        // Danger: a slowed router gets few answers, so what it learned in the crowd outlasts the crowd.
        let room = if room > 0.0 { room * PACE_RISE } else { room };
        (self.pace, self.paced_at) = ((self.pace + room * past).clamp(PACE_LEAST, PACE_MOST), now);
        let asked = self.asked_work.rate(now, SLOW_HALF);
        let most = asked * SECOND as f64 + self.cheap as f64;
        let grown = (self.allowance + past * asked * self.pace).min(most);
        self.allowance = if self.pace < 1.0 { grown } else { most };
        self.allowance + asked * (SECOND * (self.order.len() - rank - 1) as Tenths) as f64 > 0.0
    }

    /// True if the command was sent.
    fn offer(&mut self, now: Tenths, number: i64, key: u64) -> bool {
        let node = match self.groups.places[self.open[&key].kind].access {
            Access::Write | Access::Fresh => match self.primary(number) {
                Some(primary) => Some(primary).filter(|p| self.has_room(now, *p, 1.0, self.busy)),
                None => {
                    self.seek(now, number);
                    self.scout(now, number, key)
                }
            },
            _ => self.pick_reader(now, number, key),
        };
        let Some(node) = node else { return false };
        let sent = self.send(now, key, node);
        if !sent {
            self.ask_for_role(now, node);
        }
        sent
    }

    /// The usual latency of a command group's answers.
    fn usual(&self, now: Tenths, kind: usize) -> f64 {
        let group = &self.groups.places[kind];
        group.latency.read(now, USUAL_HALF, group.target as f64 * USUAL_GUESS)
    }
}

#[cfg(test)]
mod tests;
