//! The router's policy: every decision about commands and members, and every tuned value.
//!
//! The event methods of [`Router`] (`command_arrived`, `dispatch_ended` and so on) only update its state.
//! After each event the host calls `next_decision(now)` until it returns `None`, and calls it again at
//! `wake_at()` or after the next event. The reasons for the policy are in `docs/design.md`.

use crate::decay::{DecayingMean, DecayingSum, FrequencyByAge};
use crate::interface::*;
use crate::member_clock::{MemberClock, OffsetEvidence};
use crate::roles::ClaimStanding;
use crate::setting_values::{
    check_numbers, command_groups, customer_shares, setting_is, setting_or, tenths_from_ms,
};
use crate::state::*;
use evidence::RoleClaim;
use repeats::PastAttempts;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod dialling;
mod events;
mod evidence;
mod freshness;
mod gate;
mod health;
mod memory;
mod patience;
mod reads;
mod repeats;
mod search;
mod slow_start;
mod withheld;

const SECOND: Tenths = 10_000;
/// Pause after a round of misses, base of the backoff after a round of transport errors, and shortest
/// interval between most probes of one member (see the design page).
const BASE_PAUSE: Tenths = 1_000;
const BACKOFF_MAX: Tenths = 5 * SECOND;
/// Half-lives of the decaying means and sums: of usual latencies, completed work and refusals; of the share
/// of long reads and the breaks of kept connections (`SHARE_HALF_LIFE`); of the router's recent latency ratio
/// (`LATENCY_RATIO_HALF_LIFE`); of a set's latency ratio (`SET_RATIO_HALF_LIFE`).
const LATENCY_HALF_LIFE: Tenths = 10 * SECOND;
const SHARE_HALF_LIFE: Tenths = 60 * SECOND;
/// Kept connections count as stale from the idle time at which this share of sends on them, and at least this
/// many, fail at once (within `BREAK_AT_ONCE`).
const STALE_BREAK_SHARE: f64 = 0.15;
const STALE_MIN_BREAKS: f64 = 4.0;
const BREAK_AT_ONCE: Tenths = 50;
const LATENCY_RATIO_HALF_LIFE: Tenths = 2 * SECOND;
const SET_RATIO_HALF_LIFE: Tenths = 20 * SECOND;
/// How long a session's last write is remembered once more than `SESSIONS_BEFORE_EVICTION` sessions are held.
const SESSION_RETENTION: Tenths = 60 * SECOND;
const SESSIONS_BEFORE_EVICTION: usize = 4096;
/// Longest time that a report may take from its creation to its delivery. For `UNCONFIRMED_CLOCK_GRACE` after
/// the router's start, a clock offset that no primary has confirmed is not used to treat a member as warm.
const REPORT_DELAY: Tenths = SECOND;
const UNCONFIRMED_CLOCK_GRACE: Tenths = SECOND;
/// Smallest change of the members' clock offset that is reported as an event.
const CLOCK_EVENT_THRESHOLD: Tenths = 20;
/// Longest stall of the host between reading its clock and writing to a socket (see the standing page).
const HOST_STALL_ALLOWANCE: Tenths = 1_500;
/// Latency of an answer without load, as a share of the response target, assumed until latencies are
/// measured.
const UNLOADED_LATENCY_RATIO: f64 = 0.2;
/// Ratio of latency to response target above which an answer shrinks its member's congestion window; an
/// answer below it lets the window grow.
const CROWDED_RATIO: f64 = 0.27;
/// Congestion window of one member, in dispatches in flight: the initial window and the number that is always
/// allowed at a slow primary (both over all routers), the smallest window of one router, and the factor by
/// which a slow answer shrinks the window.
const WINDOW_INITIAL: f64 = 10.0;
const PRIMARY_MIN_IN_FLIGHT: f64 = 4.0;
const WINDOW_MIN: f64 = 0.3;
const WINDOW_SHRINK_FACTOR: f64 = 0.5;
/// Extra cost of a turn in another zone, for each percentage point of `penalties.cross_zone`.
const ZONE_CROSSING_COST: f64 = 0.4;
/// Share of a cold member's admissible load (ordinary load times its current capacity times
/// `rules.tip_multiple`) that may be sent to it at its start. The share rises to 1 as the member warms up.
const COLD_START_SHARE: f64 = 0.8;
/// Highest cost of one turn, and the most turns by which a member may trail the others.
const MAX_TURN_LAG: f64 = 12.0;
/// Mean ratio of latency to response target above which the router lowers its pace, and the lowest pace.
const PACE_TARGET_RATIO: f64 = 0.45;
const PACE_MIN: f64 = 0.3;
/// How much faster the pace rises than it falls.
const PACE_RISE_FACTOR: f64 = 3.0;
const PACE_MAX: f64 = 1.5;
/// A set's mean ratio of latency to response target, over a longer time, above which pacing applies to the
/// set.
const SET_PACING_RATIO: f64 = 0.4;
/// A command that ended with an error is dispatched once more only while at least this share of such further
/// dispatches is answered.
const MIN_RETRY_SUCCESS: f64 = 0.3;
/// A command is dispatched only while its remaining time is at least this many usual latencies. If latencies
/// are exponentially distributed, nine in ten answers arrive within ln 10 means.
const MIN_LATENCIES_LEFT: f64 = std::f64::consts::LN_10;
/// Longest time that a read waits for a probe in flight after its ordinary waiting time is over.
const MAX_PROBE_WAIT: Tenths = 1_000;
/// Share of the primary's window that is open to reads.
const PRIMARY_READ_SHARE: f64 = 0.5;

/// The decisions of one router instance.
#[derive(Default)]
pub struct Router {
    /// The settings in force.
    settings: SettingValues,
    groups: CommandGroups,
    /// Places of the command groups, by benefit per work, highest first; groups that only open commands still
    /// use stand in front.
    group_order: Vec<usize>,
    /// Each customer's share of the traffic, with a decaying count of its recent commands.
    shares: BTreeMap<String, (f64, DecayingSum)>,
    /// Decaying count of the recent commands of all customers.
    all_traffic: DecayingSum,
    rng: RandomSource,
    /// The known members, by slot; `node_by_id` finds a slot by member id and `free_nodes` holds the unused
    /// ones.
    members: Vec<Member>,
    node_by_id: BTreeMap<Id, Node>,
    free_nodes: Vec<Node>,
    sets: BTreeMap<i64, MemberSet>,
    /// Open commands by key; `key_by_id` finds a key by command id.
    open: BTreeMap<u64, OpenCommand>,
    key_by_id: BTreeMap<Id, u64>,
    next_key: u64,
    /// What is remembered of commands that have ended.
    past_attempts: PastAttempts,
    /// Tasks by the time at which they are due.
    timers: BTreeSet<(Tenths, Task)>,
    /// Sets whose waiting commands have to be offered to members again.
    sets_to_serve: BTreeSet<i64>,
    /// Decisions that the host has not pulled yet.
    pending_decisions: VecDeque<Decision>,
    /// Members whose idle connections are released if connections are scarce.
    release_candidates: BTreeSet<Node>,
    /// Decaying count of signs that members accept few connections; above 1, idle connections are released.
    connection_scarcity: DecayingSum,
    sessions: Sessions,
    clock: MemberClock,
    /// The clock offset in the last `Event::Clock`.
    reported_offset: Tenths,
    events: Vec<Event>,
    /// How often sends on kept connections fail at once, by idle time.
    breaks_by_idle_time: FrequencyByAge,
    /// Failed requests for the member list in a row.
    list_failures: u32,
    /// Whether members check the age of their data themselves (`family_info.server_checks`).
    members_check_staleness: bool,
    /// The smallest window of this router for one member; with many routers, this router's part of the
    /// smallest window over all routers.
    min_window: f64,
    /// Decaying sum of the work of answered dispatches. A command counts with its response target as work.
    answered_work: DecayingSum,
    /// Decaying sum of the work of commands that arrived for paced sets.
    requested_work: DecayingSum,
    /// Pace: the work admitted in relation to the work requested. Below 1, commands wait for
    /// `pace_allowance`.
    pace: f64,
    /// Work that the pace admits at present.
    pace_allowance: f64,
    pace_updated_at: Tenths,
    started_at: Tenths,
    /// Mean ratio of latency to response target over all answers, capped at 1.
    latency_ratio: DecayingMean,
    /// Share of the dispatches after an error that were answered.
    retry_success: DecayingMean,
    /// Decaying sums of the work of all reads that a replica may serve, and of the long ones among them.
    read_work: DecayingSum,
    long_read_work: DecayingSum,
    /// Smallest cap of a work credit: three times the shortest response target in use.
    min_credit_cap: Tenths,
    /// The shortest response target of the command groups that wait for a primary.
    primary_min_target: f64,
    /// Period at which the host runs the router.
    tick: Tenths,
    /// The smallest staleness bound in use.
    tightest_bound: Tenths,
    /// Dispatches in flight that are always allowed at a slow primary: this router's part.
    primary_min_in_flight: f64,
}

impl Router {
    /// Starts a router with these settings; `seed` determines all its random choices.
    pub fn start(settings: SettingValues, seed: u64, now: Tenths) -> Result<Router, String> {
        let watch =
            (!setting_is(&settings, "membership_mode", "automatic")).then_some((now, Task::WatchMembers));
        let mut router = Router { rng: RandomSource::from(seed), pace: PACE_MAX, ..Router::default() };
        (router.pace_updated_at, router.started_at) = (now, now);
        router.timers.extend(watch);
        router.reconfigure(settings)?;
        Ok(router)
    }

    /// Declares that the host's time is the members' own time, as in a simulator, so no wall-clock offset has
    /// to be estimated.
    pub fn assume_exact_clock(&mut self) {
        self.clock.use_exact_time();
    }

    /// Puts new settings into force as a whole; on an error the old settings stay. Danger: a command that
    /// arrived as replayable must keep that property until it ends, so an open command keeps its group as it
    /// was at arrival.
    pub fn reconfigure(&mut self, settings: SettingValues) -> Result<(), String> {
        // Defaults where the settings say nothing are the cautious ones: primary only, and never sent twice.
        let mut groups = command_groups(&settings, Access::Write, Effect::Mutating)?;
        let (routers, tick) = (
            setting_or(&settings, "balancers", 1.0)?,
            tenths_from_ms(setting_or(&settings, "tick_ms", 1.0)?).max(1),
        );
        let mut shares = check_numbers(&settings).and_then(|()| customer_shares(&settings))?;
        let recent_count =
            |name: &String| self.shares.get(name).map_or(DecayingSum::default(), |share| share.1);
        shares.iter_mut().for_each(|(name, share)| share.1 = recent_count(name));
        (self.settings, self.tick, self.shares) = (settings, tick, shares);
        // Danger: without benefit for late answers, a client's retry is served for nothing and displaces
        // first tries. Throttled clients are then kept away for the longest time that clients honour.
        let max_hold_off = tenths_from_ms(self.number_setting("permissions.max_retry_after_ms", 0.0));
        for (_, group) in groups.iter_mut().filter(|_| self.is_enabled("permissions.retry_after")) {
            group.retry_after =
                if group.late_share > 0.0 { group.target } else { max_hold_off.max(group.target) };
        }
        let mut places_in_use: BTreeSet<usize> = self.open.values().map(|c| c.group_slot).collect();
        self.groups.replace(groups, &places_in_use);
        let in_use = || self.groups.in_use(&places_in_use);
        let waiting_for_primary = in_use().filter(|g| matches!(g.access, Access::Write | Access::Fresh));
        self.primary_min_target = waiting_for_primary.map(|g| g.target as f64).fold(f64::INFINITY, f64::min);
        let bound = |g: &CommandGroup| if let Access::Bounded(b) = g.access { Some(b) } else { None };
        self.tightest_bound = in_use().filter_map(bound).min().unwrap_or(SECOND);
        self.min_credit_cap = in_use().map(|g| g.target).min().unwrap_or(0) * 3;
        // Groups that only open commands still use go first, so that the pacing order of the current groups
        // is unchanged.
        let mut order: Vec<usize> = self.groups.slots_by_name.values().copied().collect();
        places_in_use.retain(|place| !order.contains(place));
        let density = |i: usize| self.groups.slots[i].benefit / self.groups.slots[i].target as f64;
        order.sort_by(|a, b| density(*b).total_cmp(&density(*a)).then(a.cmp(b)));
        self.group_order = places_in_use.into_iter().chain(order).collect();
        self.primary_min_in_flight = (PRIMARY_MIN_IN_FLIGHT / routers).round();
        self.min_window = (WINDOW_MIN * WINDOW_INITIAL / routers).min(WINDOW_MIN);
        self.members_check_staleness =
            ["refuse", "wait"].iter().any(|c| setting_is(&self.settings, "family_info.server_checks", c));
        self.sets_to_serve.extend(self.sets.keys());
        Ok(())
    }

    fn number_setting(&self, name: &str, default: f64) -> f64 {
        setting_or(&self.settings, name, default).unwrap_or(default)
    }

    fn is_enabled(&self, name: &str) -> bool {
        setting_is(&self.settings, name, "true")
    }

    // ---- events from the host: they update the state and decide nothing ----

    /// A client's command has arrived. An error means that its command group is unknown.
    pub fn command_arrived(&mut self, now: Tenths, command: Command) -> Result<(), String> {
        let group_slot =
            *self.groups.slots_by_name.get(&command.command_group).ok_or("no such command group")?;
        let group = &self.groups.slots[group_slot];
        let (timeout, target) = (now + command.time_left, now + group.target);
        // If a late answer has no benefit, the command ends at its response target.
        let deadline = if group.late_share > 0.0 { timeout } else { timeout.min(target) } - 2 * self.tick;
        let remembered = setting_is(&self.settings, "family_info.token_mode", "remembered");
        let required_position = match (group.access, command.token_age) {
            (Access::Session, _) if remembered => {
                self.sessions.last_write(&command.session, self.clock.now(now) - SESSION_RETENTION)
            }
            (Access::Session, Some(0)) => 0,
            (Access::Session, Some(age)) => now + 1 - age,
            // Danger: an unknown write time counts as a write just now, at the latest time that the members'
            // clock may show.
            (Access::Session, None) => now + 1 + self.clock.offset_and_bound(now).1,
            _ => now + 1,
        };
        let work = group.target as f64;
        let paced = self.is_paced(now, command.set);
        paced.then(|| self.requested_work.add(now, LATENCY_RATIO_HALF_LIFE, work));
        if !matches!(group.access, Access::Write | Access::Fresh) {
            self.read_work.add(now, SHARE_HALF_LIFE, work);
            self.long_read_work.add(
                now,
                SHARE_HALF_LIFE,
                if self.is_long_read(group_slot) { work } else { 0.0 },
            );
        }
        let over_share = command.customer.as_ref().is_some_and(|c| self.exceeds_share(now, c));
        let rank = 2 * over_share as u8 + command.repeat as u8;
        let key = self.next_key;
        self.next_key += 1;
        self.key_by_id.insert(command.id.clone(), key);
        let (id, set, session) = (command.id, command.set, command.session);
        let may_have_run = self.past_attempts.attempt(&id);
        // Danger: without this, a client waits its whole timeout for a set with no reachable member. If
        // nothing has been written by half of its time, it is throttled while it can still retry.
        let wait_until = now + command.time_left / 2 - 2 * self.tick;
        self.open.insert(
            key,
            OpenCommand {
                id,
                group_slot,
                set,
                rank,
                deadline,
                wait_until,
                required_position,
                session,
                statement_bytes: command.statement_bytes,
                may_have_run,
                ..OpenCommand::default()
            },
        );
        self.schedule_settle(now, key);
        self.timers.insert((deadline, Task::GiveUp(key)));
        Ok(())
    }

    /// The client of a command has left.
    pub fn command_left(&mut self, id: &str) {
        self.key_by_id.get(id).copied().into_iter().for_each(|key| self.close(key));
    }

    /// A dispatch has ended.
    pub fn dispatch_ended(&mut self, now: Tenths, id: &str, end: DispatchEnd) {
        let DispatchEnd { dispatch, ending, took, idled, command_complete, note, report } = end;
        let Some(&key) = self.key_by_id.get(id) else { return };
        if ending == Ending::NotDialled {
            return self.dispatch_not_dialled(now, key, dispatch, command_complete);
        }
        let out = self.open.get_mut(&key).and_then(|cmd| cmd.in_flight.remove(&dispatch));
        let Some((node, sent)) = out else { return };
        let requested_at = now - took;
        let answered = ending == Ending::Answered;
        let write =
            self.open.get(&key).is_some_and(|cmd| self.groups.slots[cmd.group_slot].access == Access::Write);
        let note = self.without_future_position(now, requested_at, node, note, write && answered);
        let Some(cmd) = self.open.get_mut(&key) else { return };
        let may_have_run = matches!(
            ending,
            Ending::Error | Ending::TimedOut | Ending::Reset | Ending::CalledOff | Ending::TooOld
        );
        // The answer to a command that is complete shows that it has run: its id must not run again.
        let counts = may_have_run || (answered && command_complete);
        cmd.may_have_run = cmd.may_have_run.or(counts.then_some((node, sent)));
        let broke_at_once = ending == Ending::Reset && took <= BREAK_AT_ONCE;
        idled
            .into_iter()
            .for_each(|age| self.breaks_by_idle_time.add(now, SHARE_HALF_LIFE, age, broke_at_once));
        cmd.round_broken |= matches!(ending, Ending::ConnectFailed | Ending::Reset | Ending::TimedOut);
        if let (true, true, Some(session)) = (write, answered, cmd.session.clone()) {
            // Danger: if the position of a commit lies in the future by a wrong clock, it has been discarded,
            // and the session would lose its write. It counts as committed now instead.
            let known = note.position > 0;
            let commit = if known { note.position } else { now + self.clock.offset_and_bound(now).1 };
            self.record_session_write(now, session, commit + 1);
        }
        let Some(cmd) = self.open.get_mut(&key) else { return };
        // Danger: commands that fail at every member take turns from others. Whether a dispatch after an
        // error is answered tells failing commands from failing members; only in the second case is one more
        // dispatch worthwhile.
        let (erred_before, erred) = (cmd.had_error, ending == Ending::Error);
        (erred_before && (answered || erred))
            .then(|| self.retry_success.add(now, LATENCY_HALF_LIFE, answered as u8 as f64));
        let written = !matches!(ending, Ending::ConnectFailed | Ending::NeverSent);
        cmd.wait_until = if written { cmd.deadline } else { cmd.wait_until };
        cmd.retry_futile |= erred
            && (erred_before || self.retry_success.read(now, LATENCY_HALF_LIFE, 0.5) < MIN_RETRY_SUCCESS);
        cmd.had_error |= erred;
        let set_id = cmd.set;
        self.sets_to_serve.insert(set_id);
        self.release_candidates.insert(node);
        let group = &mut self.groups.slots[cmd.group_slot];
        let (group_slot, target, ratio) =
            (cmd.group_slot, group.target as f64, took as f64 / group.target as f64);
        answered.then(|| group.latency.add(now, LATENCY_HALF_LIFE, took as f64));
        match (command_complete, cmd.closed) {
            (true, _) => self.close(key),
            (_, true) => self.forget(key),
            _ => self.schedule_settle(now, key),
        }
        let shows_load = answered || matches!(ending, Ending::TimedOut | Ending::Full);
        if let (true, Some(set)) = (shows_load, self.sets.get_mut(&set_id)) {
            let capped_ratio = if answered { ratio.min(1.0) } else { 1.0 };
            self.latency_ratio.add(now, LATENCY_RATIO_HALF_LIFE, capped_ratio);
            set.slowness.add(now, SET_RATIO_HALF_LIFE, capped_ratio);
        }
        let usual_latency = self.usual_latency(now, group_slot);
        self.learn_report(now, requested_at, node, report);
        self.reset_dial_pause(node);
        let m = &mut self.members[node];
        m.in_flight.remove(&(key, dispatch));
        m.written_as_primary.remove(&(key, dispatch));
        // The position in the note of an answered write is the write's commit, not the member's applied
        // position.
        let member_position = if write && answered { 0 } else { note.position };
        self.learn_position(now, requested_at, node, AnswerNote { position: member_position, ..note });
        let m = &mut self.members[node];
        let behind = self.clock.now(now) - member_position;
        (m.lag, m.lag_at) = if member_position > 0 { (behind, now) } else { (m.lag, m.lag_at) };
        let responded = matches!(ending, Ending::Answered | Ending::Miss | Ending::Error | Ending::Full);
        (m.last_message_at, m.lost_dispatches) =
            if responded { (now, 0) } else { (m.last_message_at, m.lost_dispatches) };
        m.known_to_exist |= responded && ending != Ending::Error;
        if let Some(primary) = note.primary {
            m.role_received_at = now;
            self.learn_role(now, node, RoleClaim { primary, requested_at });
        }
        let can_probe = self.is_enabled("permissions.may_probe");
        let refused_quickly =
            can_probe && 2 * took < tenths_from_ms(self.number_setting("permissions.dial_timeout_ms", 0.0));
        let m = &mut self.members[node];
        // Danger: after a reset, the member may have died and come back cold before the list shows it (or it
        // is not listed), or only the connection broke and the member is well. A probe distinguishes the two.
        let (reset, cause_unclear) = (ending == Ending::Reset, can_probe && m.state != State::TransportError);
        (m.connection_broke, m.died) =
            (m.connection_broke || (reset && cause_unclear), m.died || (reset && !cause_unclear));
        match ending {
            Ending::Answered => {
                self.connection_scarcity.add(now, LATENCY_HALF_LIFE, m.refused_connections.min(1) as f64);
                (m.failures, m.refused_connections, m.connection_broke) = (0, 0, false);
                m.rejected_at = if sent > m.rejected_at { 0 } else { m.rejected_at };
                self.answered_work.add(now, LATENCY_HALF_LIFE, target);
                self.mark_recovered(now, node);
            }
            // A miss without a position: the member counts as far behind until a report gives its position.
            Ending::Miss if !write && note.position == 0 => (m.lag, m.lag_at) = (Tenths::MAX / 2, now),
            // Danger: without this, every waiting command in turn is sent to a full member at once.
            Ending::Full => (m.window, m.rejected_at) = ((m.window / 2.0).max(self.min_window), now),
            Ending::ConnectFailed if refused_quickly => self.record_refusal(now, node),
            Ending::Reset if cause_unclear => _ = self.timers.insert((now, Task::Probe(node))),
            Ending::ConnectFailed | Ending::Reset => self.mark_broken(now, node),
            _ => {}
        }
        let m = &mut self.members[node];
        // Danger: many routers with one dispatch in flight each overload a small member. A window below one
        // therefore becomes a pause between dispatches.
        let window_pause = (usual_latency * (1.0 / m.window.min(1.0) - 1.0)) as Tenths;
        m.paused_until = m.paused_until.max(now + window_pause);
        // For reads at a primary, their share of such a window becomes a longer pause.
        let read_pause = (usual_latency * (1.0 / (m.window * PRIMARY_READ_SHARE).min(1.0) - 1.0)) as Tenths;
        m.reads_paused_until = m.reads_paused_until.max(now + read_pause);
        let judged = answered || matches!(ending, Ending::TimedOut | Ending::CalledOff);
        if judged && ratio > CROWDED_RATIO {
            let shrink = WINDOW_SHRINK_FACTOR * (ratio.min(1.0) - CROWDED_RATIO);
            m.window = f64::max(m.window - shrink * m.window.min(1.0), self.min_window);
        } else if answered && m.in_flight.len() as f64 + 1.0 >= m.window * 0.6 {
            m.window += (CROWDED_RATIO - ratio) / m.window.max(1.0).sqrt() * m.window.min(1.0).sqrt();
        }
    }

    /// A probe of a member has ended.
    pub fn probe_ended(&mut self, now: Tenths, node: &str, end: ProbeEnd) {
        let ProbeEnd { ending, took, primary, report } = end;
        let Some(&node) = self.node_by_id.get(node) else { return };
        let requested_at = now - took;
        self.sets_to_serve.insert(self.members[node].set);
        if ending == Ending::NotDialled {
            return self.probe_not_dialled(now, node);
        }
        self.reset_dial_pause(node);
        self.learn_report(now, requested_at, node, report);
        primary
            .into_iter()
            .for_each(|primary| self.learn_role(now, node, RoleClaim { primary, requested_at }));
        let m = &mut self.members[node];
        m.probing = false;
        m.known_to_exist |= ending == Ending::Answered;
        if self.keep_broken_on_old_report(now, requested_at, node, report) {
            return;
        }
        let m = &mut self.members[node];
        if ending != Ending::Answered && m.failures == 0 && m.state != State::TransportError {
            // One lost probe proves nothing: the member is probed once more.
            m.failures = 1;
            self.timers.insert((now, Task::Probe(node)));
            return;
        }
        if ending != Ending::Answered {
            m.died |= m.refused_connections > 0 || m.connection_broke;
            return self.mark_broken(now, node);
        }
        m.checked_at = now;
        // Danger: a member that refuses connections but answers a probe works and has no connection left.
        // Without this, the scarcity is noticed only at the next answered dispatch, and idle connections are
        // kept open for seconds.
        let is_refusing = m.refused_connections > 0 && m.state != State::TransportError;
        if is_refusing && self.connection_scarcity.read(now, LATENCY_HALF_LIFE) <= 1.0 {
            self.connection_scarcity.add(now, LATENCY_HALF_LIFE, 1.0);
            self.release_candidates.extend(self.node_by_id.values());
        }
        let m = &mut self.members[node];
        if m.state != State::TransportError {
            (m.failures, m.connection_broke) = (0, false);
            return;
        }
        self.mark_recovered(now, node);
        // The report is applied again, because no role could be set while the member counted as broken.
        self.learn_reported_role(now, requested_at, node, report);
        primary
            .into_iter()
            .for_each(|primary| self.learn_role(now, node, RoleClaim { primary, requested_at }));
    }

    /// The member list has changed. With `is_full_list`, members that are not in `entries` are removed.
    pub fn members_changed(&mut self, now: Tenths, is_full_list: bool, entries: &[MemberEntry]) {
        self.list_failures = 0;
        let (removal_binds, known_to_exist) =
            (!self.is_enabled("rules.soft_removal"), self.members.is_empty());
        let listed_ids: BTreeSet<&Id> = entries.iter().filter(|_| is_full_list).map(|e| &e.node).collect();
        for m in self.members.iter_mut().filter(|m| is_full_list && !listed_ids.contains(&m.id)) {
            (m.delisted, m.excluded) = (true, m.excluded || removal_binds);
            self.sets_to_serve.insert(m.set);
        }
        for e in entries {
            let (known_node, count) = (self.node_by_id.get(&e.node).copied(), self.members.len());
            let is_new = known_node.is_none();
            if is_new && e.phase == Phase::Removed {
                self.pending_decisions.push_back(Decision::ForgetMember { node: e.node.clone() });
                continue;
            }
            let node = known_node.or_else(|| self.free_nodes.pop()).unwrap_or(count);
            if is_new {
                let (id, zone, set, last_message_at) = (e.node.clone(), e.zone.clone(), e.set, now);
                self.members.resize_with(count.max(node + 1), Member::default);
                self.members[node] =
                    Member { id, zone, set, last_message_at, known_to_exist, ..Member::default() };
                self.node_by_id.insert(e.node.clone(), node);
                self.sets.entry(e.set).or_default().nodes.push(node);
            }
            let m = &mut self.members[node];
            self.sets_to_serve.insert(m.set);
            (m.listed_primary, m.delisted) = (e.primary, e.phase == Phase::Removed);
            m.excluded = match e.phase {
                Phase::Up => false,
                Phase::Draining => true,
                // A removal that is not binding leaves an earlier drain in force.
                Phase::Removed => removal_binds || m.excluded,
            };
            if is_new || e.started > m.started {
                if self.clock.now(m.last_message_at) < e.started {
                    self.set_state(node, State::Unknown, StateReason::Restarted);
                }
                self.record_start(now, e.started, node);
                // Danger: if every router probes a new member, or all members at its start, hundreds of
                // routers that start together cause a burst of dials and probes. With more than ten routers
                // (the smallest window per router is then below `WINDOW_MIN`), a member is probed only
                // after a restart.
                let may_herd = is_new && self.min_window < WINDOW_MIN;
                (!may_herd).then(|| self.timers.insert((now, Task::Probe(node))));
            }
        }
        self.forget_removed_members();
        let me: usize = setting_or(&self.settings, "me", 0).unwrap_or(0);
        // Danger: lists have thousands of rows, of which few change at a time. The work is limited to the
        // sets that changed.
        for set_id in &self.sets_to_serve {
            let Some(set) = self.sets.get_mut(set_id) else { continue };
            set.nodes.sort_by(|a, b| self.members[*a].id.cmp(&self.members[*b].id));
            let count = set.nodes.len();
            for (i, &node) in set.nodes.iter().enumerate() {
                self.members[node].tie_break = (i + count - me % count) % count;
            }
        }
    }

    /// Forgets a removed member once no dispatch is in flight there and no open command may have run there;
    /// if removal is not binding, the member must be broken as well. Danger: members come and go under new
    /// ids without end, so their state must not accumulate.
    fn forget_removed_members(&mut self) {
        let removal_is_soft = self.is_enabled("rules.soft_removal");
        let nodes_in_use =
            |c: &OpenCommand| c.in_flight.values().chain(&c.may_have_run).map(|o| o.0).collect::<Vec<Node>>();
        let nodes_in_use: BTreeSet<Node> = self.open.values().flat_map(nodes_in_use).collect();
        for (node, m) in
            self.members.iter_mut().enumerate().filter(|(n, m)| m.delisted && !nodes_in_use.contains(n))
        {
            let works = removal_is_soft && m.state != State::TransportError;
            if !works && self.node_by_id.remove(&m.id).is_some() {
                self.pending_decisions.push_back(Decision::ForgetMember { node: m.id.clone() });
                self.sets.get_mut(&m.set).into_iter().for_each(|set| set.nodes.retain(|n| *n != node));
                self.sets_to_serve.insert(m.set);
                // Danger: connections of an unused slot would be released under no id.
                self.release_candidates.remove(&node);
                self.free_nodes.push(node);
                *m = Member { excluded: true, ..Member::default() };
            }
        }
    }

    /// How long a connection may idle before reuse, if known. Danger: devices on the path may drop idle
    /// connections silently, and a command sent on such a connection may have run.
    pub fn max_idle_time(&self, now: Tenths) -> Option<Tenths> {
        self.breaks_by_idle_time.first_frequent(now, SHARE_HALF_LIFE, STALE_BREAK_SHARE, STALE_MIN_BREAKS)
    }

    /// Whether a member of this id is known.
    pub fn is_known_member(&self, node: &str) -> bool {
        self.node_by_id.contains_key(node)
    }

    /// The watch or a fetch of the list failed: it is requested again after a backoff of at most one second.
    pub fn list_failed(&mut self, now: Tenths) {
        // Danger: a change of the list is binding 6 s after it is made, even if the list cannot be read.
        let wait = self.rng.jittered((BASE_PAUSE << self.list_failures.min(6)).min(SECOND / 2));
        self.list_failures += 1;
        self.timers.insert((now + wait, Task::WatchMembers));
    }

    /// Counts a command of this customer. True if the customer's part of this router's recent traffic exceeds
    /// its share.
    fn exceeds_share(&mut self, now: Tenths, customer: &str) -> bool {
        self.all_traffic.add(now, LATENCY_HALF_LIFE, 1.0);
        let Some((share, recent_count)) = self.shares.get_mut(customer) else { return false };
        recent_count.add(now, LATENCY_HALF_LIFE, 1.0);
        recent_count.read(now, LATENCY_HALF_LIFE) > *share * self.all_traffic.read(now, LATENCY_HALF_LIFE)
    }

    /// Ends a command: takes it out of its queue and cancels its dispatches in flight.
    fn close(&mut self, key: u64) {
        let written = self.is_enabled("permissions.cancel");
        let Some(cmd) = self.open.get_mut(&key) else { return };
        cmd.closed = true;
        // Danger: clients may wait for an hour, so the tasks of commands that ended soon would add up.
        self.timers.remove(&(cmd.deadline, Task::GiveUp(key)));
        self.timers.remove(&(cmd.next_check_at, Task::Settle(key)));
        self.sets_to_serve.insert(cmd.set);
        if let Some(set) = self.sets.get_mut(&cmd.set) {
            set.waiting.get_mut(cmd.group_slot).map(|queue| queue.remove(&(cmd.rank, Reverse(key))));
            set.searching_write = set.searching_write.filter(|s| *s != key);
        }
        // Dispatches whose answer has no receiver any more are cancelled, so that members drop queued work.
        // Danger: a dispatch still waiting for its connection would otherwise start long after its client
        // left. Taking that back needs no permission.
        for &dispatch in cmd.in_flight.keys() {
            self.pending_decisions.push_back(Decision::CancelDispatch {
                command: cmd.id.clone(),
                dispatch,
                written,
            });
        }
        self.forget(key);
    }

    /// Drops the record of a command that is closed and has no dispatch in flight.
    fn forget(&mut self, key: u64) {
        if self.open.get(&key).is_some_and(|c| c.closed && c.in_flight.is_empty())
            && let Some(cmd) = self.open.remove(&key)
        {
            self.key_by_id.remove(&cmd.id);
            self.remember_attempt(&cmd);
        }
    }

    // ---- decisions that the host pulls ----

    /// When the next task is due.
    pub fn wake_at(&self) -> Option<Tenths> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The next decision for the host to carry out; `None` until the next event or `wake_at`.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        loop {
            if let Some(decision) = self.pending_decisions.pop_front() {
                return Some(decision);
            }
            if self.timers.first().is_some_and(|(at, _)| *at <= now) {
                match self.timers.pop_first()?.1 {
                    Task::Settle(key) => self.settle(now, key),
                    Task::GiveUp(key) => self.give_up(now, key, GaveUp::Deadline),
                    Task::Overdue(key, dispatch) => self.check_overdue(now, key, dispatch),
                    Task::ServeSet(set) => _ = self.sets_to_serve.insert(set),
                    Task::Probe(node) => self.probe(now, node),
                    Task::WatchMembers => self.pending_decisions.push_back(Decision::WatchMembers),
                }
            } else if let Some(set) = self.sets_to_serve.pop_first() {
                self.serve_set(now, set);
            } else {
                let node = self.release_candidates.pop_first()?;
                // Danger: while members accept few connections, those that idle at one router are missing at
                // others.
                if self.connection_scarcity.read(now, LATENCY_HALF_LIFE) > 1.0 {
                    return Some(Decision::CloseIdle { node: self.members[node].id.clone() });
                }
            }
        }
    }

    /// A command with no dispatch in flight is queued, or ended at once if it may not be sent again.
    fn settle(&mut self, now: Tenths, key: u64) {
        let Some(cmd) = self.open.get(&key).filter(|c| !c.closed && c.in_flight.is_empty()) else { return };
        let may_not_repeat = cmd.may_have_run.is_some_and(|(at, _)| self.repeatable_for(now, cmd, at) <= 0);
        let wait_end = self.queue_deadline(now, cmd);
        let reasons = [
            (now + self.tick >= cmd.deadline, GaveUp::Deadline),
            (cmd.statement_bytes.is_none(), GaveUp::Memory),
            (may_not_repeat, GaveUp::MayHaveRun),
            (cmd.retry_futile, GaveUp::Errors),
            (cmd.attempts() >= self.groups.slots[cmd.group_slot].attempts, GaveUp::Attempts),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(met, _)| *met) {
            return self.give_up(now, key, reason);
        }
        let set = self.sets.entry(cmd.set).or_default();
        set.waiting.resize(self.groups.slots.len(), BTreeSet::new());
        let has_waited = !set.waiting[cmd.group_slot].insert((cmd.rank, Reverse(key)));
        if has_waited && wait_end <= now {
            match self.extended_wait_end(now, key) {
                Some(at) => return self.schedule_settle(at.max(now + self.tick), key),
                None => {
                    let gate = self.withholding_gate(now, key);
                    return self.give_up(now, key, GaveUp::Withheld(gate));
                }
            }
        }
        self.sets_to_serve.insert(cmd.set);
        self.schedule_settle(wait_end.max(now + self.tick), key);
    }

    /// Schedules the next `settle` of a command in place of the one before. Danger: if a command that returns
    /// to the queue is settled twice at the same time, it is given up before it is offered to a member.
    fn schedule_settle(&mut self, at: Tenths, key: u64) {
        let Some(cmd) = self.open.get_mut(&key) else { return };
        self.timers.remove(&(std::mem::replace(&mut cmd.next_check_at, at), Task::Settle(key)));
        self.timers.insert((at, Task::Settle(key)));
    }

    /// Ends a command that is given up: throttled if a retry is harmless, otherwise failed.
    fn give_up(&mut self, now: Tenths, key: u64, reason: GaveUp) {
        let Some(cmd) = self.open.get(&key) else { return };
        if cmd.closed || (!cmd.in_flight.is_empty() && now < cmd.deadline) {
            return;
        }
        let group = &self.groups.slots[cmd.group_slot];
        let throttle = Decision::Throttle { command: cmd.id.clone(), retry_after: group.retry_after };
        let fail = Decision::Fail { command: cmd.id.clone() };
        let (command, attempts) = (cmd.id.clone(), cmd.attempts());
        self.pending_decisions.push_back(if self.is_harmless_to_repeat(cmd) { throttle } else { fail });
        self.record_event(Event::GaveUp { command, reason, attempts });
        self.close(key);
    }

    /// Offers the set's waiting commands to its members: groups with the most benefit per work first, within
    /// a group the lowest rank and then the newest first.
    fn serve_set(&mut self, now: Tenths, set_id: i64) {
        let mut any_left = false;
        for order_index in 0..self.group_order.len() {
            let group_slot = self.group_order[order_index];
            let head = |r: &Router| r.sets.get(&set_id)?.waiting.get(group_slot)?.first().copied();
            while let Some(queued) = head(self) {
                let is_held_back = !self.is_admitted_by_pace(now, order_index) && self.is_paced(now, set_id);
                if is_held_back || !self.try_dispatch(now, set_id, queued.1.0) {
                    any_left = true;
                    break;
                }
                self.sets.get_mut(&set_id).map(|set| set.waiting[group_slot].remove(&queued));
            }
        }
        if let Some(set) = self.sets.get_mut(&set_id).filter(|s| any_left && s.next_offer_at <= now) {
            set.next_offer_at = now + BASE_PAUSE / 4;
            self.timers.insert((set.next_offer_at, Task::ServeSet(set_id)));
        }
    }

    /// Whether pacing applies to the set. Danger: failing or slow members of some sets would slow down
    /// commands to all others. A set whose own answers are in time is not paced. Until a set has enough
    /// answers of its own, the router's overall latency ratio counts.
    fn is_paced(&self, now: Tenths, set_id: i64) -> bool {
        let overall = self.latency_ratio.read(now, LATENCY_RATIO_HALF_LIFE, UNLOADED_LATENCY_RATIO);
        self.sets
            .get(&set_id)
            .is_none_or(|set| set.slowness.read(now, SET_RATIO_HALF_LIFE, overall) > SET_PACING_RATIO)
    }

    /// Updates the pace, and tells whether it admits the command group at this place of `group_order`.
    /// Danger: with many routers, each sees a member too seldom to notice its overload, and all continue
    /// sending. So each router also paces itself by all its answers: work beyond the pace waits, the groups
    /// with the least benefit first.
    fn is_admitted_by_pace(&mut self, now: Tenths, order_index: usize) -> bool {
        let elapsed = (now - self.pace_updated_at) as f64;
        let margin = (PACE_TARGET_RATIO
            - self.latency_ratio.read(now, LATENCY_RATIO_HALF_LIFE, UNLOADED_LATENCY_RATIO))
            / SECOND as f64;
        // Danger: a slowed-down router gets few answers, so its measurements from the overload outlast the
        // overload. The pace therefore rises faster than it falls.
        let margin = if margin > 0.0 { margin * PACE_RISE_FACTOR } else { margin };
        (self.pace, self.pace_updated_at) = ((self.pace + margin * elapsed).clamp(PACE_MIN, PACE_MAX), now);
        let requested_rate = self.requested_work.rate(now, LATENCY_RATIO_HALF_LIFE);
        let cap = requested_rate * SECOND as f64 + self.min_credit_cap as f64;
        let refilled = (self.pace_allowance + elapsed * requested_rate * self.pace).min(cap);
        self.pace_allowance = if self.pace < 1.0 { refilled } else { cap };
        self.pace_allowance
            + requested_rate * (SECOND * (self.group_order.len() - order_index - 1) as Tenths) as f64
            > 0.0
    }

    /// Tries to dispatch a waiting command. True if it was sent.
    fn try_dispatch(&mut self, now: Tenths, set_id: i64, key: u64) -> bool {
        let node = match self.groups.slots[self.open[&key].group_slot].access {
            Access::Write | Access::Fresh => match self.primary(set_id) {
                Some(primary) => {
                    Some(primary).filter(|p| self.has_room(now, *p, 1.0, self.primary_min_in_flight))
                }
                None => {
                    self.probe_for_primary(now, set_id);
                    self.next_held_write_member(now, set_id, key)
                }
            },
            _ => self.pick_read_member(now, set_id, key),
        };
        let Some(node) = node else { return false };
        let sent = self.send(now, key, node);
        if !sent {
            self.probe_for_role(now, node);
        }
        sent
    }

    /// The usual latency of a command group's answers.
    fn usual_latency(&self, now: Tenths, group_slot: usize) -> f64 {
        let group = &self.groups.slots[group_slot];
        group.latency.read(now, LATENCY_HALF_LIFE, group.target as f64 * UNLOADED_LATENCY_RATIO)
    }
}

#[cfg(test)]
mod tests;
