//! Routing of reads that a replica may serve: round robin over the replicas that are fresh enough and have
//! room, probes of those that may be, and the primary if there is none.

use super::*;

/// A member's turn count, its position among members with equal counts, and the member.
type Turn = (f64, usize, Node);

/// The candidates found among a set's members.
#[derive(Default)]
struct ReadCandidates {
    /// The next member that the read may be sent to.
    best: Option<Turn>,
    /// The next member to probe, whose known position may be too old or which is broken.
    probe: Option<Turn>,
    /// The next member to probe that was listed later than the first list and has never answered.
    first_probe: Option<Turn>,
    /// The highest turn count of all members.
    max_turn: f64,
    /// The first working replica by id, which takes the long reads, and the number of working replicas.
    first_working: Option<Node>,
    working: f64,
    /// Whether any replica works that has answered before.
    any_working: bool,
}

impl Router {
    /// Picks a member for a read: replicas that are fresh enough and have room take turns; a slow one has
    /// less room.
    pub(super) fn pick_read_member(&mut self, now: Tenths, set_id: i64, key: u64) -> Option<Node> {
        // Danger: long reads stop a replica from applying commits. They all go to the first by id, so that
        // the others stay fresh.
        let is_long = self.is_long_read(self.open[&key].group_slot);
        let candidates = self.find_read_candidates(now, set_id, key, is_long)?;
        self.probe_in_turn(now, &candidates);
        if let Some((.., node)) = candidates.best {
            self.charge_turn(now, node, &candidates, is_long);
            return Some(node);
        }
        if self.should_wait_for_probe(now, set_id, key, candidates.any_working) {
            return None;
        }
        // If no replica qualifies or has room, the read goes to the primary, up to the part of its window
        // that is open to reads.
        let primary = self.primary(set_id)?;
        self.probe_for_clock(now, primary);
        let has_spare_room = self.members[primary].reads_paused_until <= now
            && self.has_room(now, primary, PRIMARY_READ_SHARE, 0.0);
        has_spare_room.then_some(primary)
    }

    /// Finds whose turn it is to get the read, and whose turn it is to be probed.
    fn find_read_candidates(
        &self,
        now: Tenths,
        set_id: i64,
        key: u64,
        is_long: bool,
    ) -> Option<ReadCandidates> {
        let (cmd, set) = (&self.open[&key], self.sets.get(&set_id)?);
        // Danger: the list may contain names that are no members. A member listed later that never answered
        // is only probed, when its turn comes, while others work; no read waits for it.
        let works = |m: &Member| {
            m.known_to_exist && !m.excluded && !matches!(m.state, State::Healthy | State::TransportError)
        };
        let any_working = set.nodes.iter().any(|n| works(&self.members[*n]));
        let mut candidates = ReadCandidates { any_working, ..ReadCandidates::default() };
        for &node in &set.nodes {
            let m = &self.members[node];
            candidates.max_turn = candidates.max_turn.max(m.turn);
            if m.excluded || m.state == State::Healthy {
                continue;
            }
            let is_unproven = any_working && !m.known_to_exist;
            if m.state != State::TransportError && !is_unproven {
                candidates.working += 1.0;
                candidates.first_working = candidates.first_working.or(Some(node));
            }
            let is_sooner = |other: &Option<Turn>| other.is_none_or(|o| (m.turn, m.tie_break) < (o.0, o.1));
            if m.state == State::TransportError || is_unproven || self.replica_fresh_for(now, cmd, m) <= 0 {
                let slot = if is_unproven { &mut candidates.first_probe } else { &mut candidates.probe };
                if !m.probing && is_sooner(slot) && self.probe_due(now, m) {
                    *slot = Some((m.turn, m.tie_break, node));
                }
                continue;
            }
            let is_better = is_sooner(&candidates.best) && self.has_room(now, node, 1.0, 0.0);
            if is_better && self.may_send_for(now, key, node) > 0 {
                candidates.best = Some((m.turn, m.tie_break, node));
            }
            if is_long {
                break;
            }
        }
        Some(candidates)
    }

    /// Probes the members whose turn comes before that of the member that gets the read.
    fn probe_in_turn(&mut self, now: Tenths, candidates: &ReadCandidates) {
        let probe = candidates.probe.filter(|a| candidates.best.is_none_or(|b| a.0 <= b.0));
        probe.into_iter().for_each(|(.., node)| self.probe(now, node));
        if let Some((.., node)) =
            candidates.first_probe.filter(|m| candidates.best.or(probe).is_none_or(|b| m.0 <= b.0))
        {
            self.members[node].turn = candidates.max_turn + MAX_TURN_LAG;
            self.probe(now, node);
        }
    }

    /// Adds the cost of one turn to the member. A turn in another zone costs more.
    fn charge_turn(&mut self, now: Tenths, node: Node, candidates: &ReadCandidates, is_long: bool) {
        // Danger: long reads on top of an equal share of the other reads overload the first replica. Its
        // turns for other reads cost more.
        let long_share = self.long_read_work.read(now, SHARE_HALF_LIFE)
            / self.read_work.read(now, SHARE_HALF_LIFE).max(1.0);
        let has_ordinary_cost = is_long || candidates.first_working != Some(node);
        let cost = if has_ordinary_cost {
            1.0
        } else {
            1.0 / (1.0 - candidates.working * long_share).max(1.0 / MAX_TURN_LAG)
        };
        let crosses = !setting_is(&self.settings, "zone", &self.members[node].zone);
        let zone_cost = if crosses {
            self.number_setting("penalties.cross_zone", 0.0) * 100.0 * ZONE_CROSSING_COST
        } else {
            0.0
        };
        let m = &mut self.members[node];
        m.turn = m.turn.max(candidates.max_turn - MAX_TURN_LAG) + cost * (1.0 + zone_cost);
    }

    /// Whether the read waits for a probe in flight. Danger: with many routers, a replica's position is
    /// rarely known when a read arrives, and all reads would crowd the primaries. A read waits for a member
    /// being probed, for half a usual latency at most.
    fn should_wait_for_probe(&self, now: Tenths, set_id: i64, key: u64, any_working: bool) -> bool {
        let cmd = &self.open[&key];
        let wait = (self.usual_latency(now, cmd.group_slot) / 2.0) as Tenths;
        let is_probed = |n: &Node| {
            let m = &self.members[*n];
            let works = !matches!(m.state, State::Healthy | State::TransportError)
                && (m.known_to_exist || !any_working);
            works && m.probing && now < m.probed_at + wait && self.replica_fresh_for(now, cmd, m) <= 0
        };
        self.sets[&set_id].nodes.iter().any(is_probed)
    }

    /// Probes the primary for evidence of the clock offset. Danger: with reads alone, whose answers need not
    /// carry a position, nothing ever confirms the offset to the members' clock. Two reports of a primary
    /// whose position advanced in between do.
    pub(super) fn probe_for_clock(&mut self, now: Tenths, primary: Node) {
        let m = &self.members[primary];
        if !self.members_check_staleness && !self.clock.is_confirmed() && m.probed_at + BASE_PAUSE <= now {
            self.probe(now, primary);
        }
    }

    /// Whether a read of this group may, at twice its latency without load, take longer than the smallest
    /// staleness bound.
    pub(super) fn is_long_read(&self, group_slot: usize) -> bool {
        let expected_latency = self.groups.slots[group_slot].target as f64 * UNLOADED_LATENCY_RATIO * 2.0;
        self.groups.slots[group_slot].access == Access::Any && expected_latency > self.tightest_bound as f64
    }

    /// Whether the member may be probed now. Danger: periodic probes of all members by all routers would
    /// outnumber the commands. A member is probed only for a waiting read: a broken one after its backoff,
    /// others by the age of their position, and less often if far behind.
    pub(super) fn probe_due(&self, now: Tenths, m: &Member) -> bool {
        let behind = (self.clock.now(m.checked_at) - m.position - self.tightest_bound).clamp(0, 2 * SECOND);
        let interval = if m.position == 0 {
            BASE_PAUSE
        } else {
            BASE_PAUSE.max(self.tightest_bound / 2).max(behind / 4)
        };
        if m.state == State::TransportError { self.retry_due(now, m) } else { m.checked_at + interval <= now }
    }

    /// Whether a broken member may be probed again. Danger: if all members of a set were unreachable, its
    /// commands would be refused until the longest backoff is over, 10 s after the members are back. While
    /// none of them works, each is probed again after two seconds.
    pub(super) fn retry_due(&self, now: Tenths, m: &Member) -> bool {
        let works = |n: &Node| !self.members[*n].excluded && self.members[*n].state != State::TransportError;
        let none_works = |set: &MemberSet| !set.nodes.iter().any(works);
        m.retry_at <= now
            || (m.probed_at + 2 * SECOND <= now && self.sets.get(&m.set).is_some_and(none_works))
    }

    /// Whether the member takes another dispatch: within `window_share` of its window, or with fewer than
    /// `min_in_flight` in flight. Danger: a primary that is slow but not crowded would be spared until it
    /// idles, although no other member can take its writes; hence `min_in_flight`.
    pub(super) fn has_room(&self, now: Tenths, node: Node, window_share: f64, min_in_flight: f64) -> bool {
        let (m, out) = (&self.members[node], self.members[node].in_flight.len() as f64);
        m.next_dial_at <= now
            && ((m.paused_until <= now && out < (m.window * window_share).max(1.0))
                || (m.refused_connections == 0 && out < min_in_flight))
    }
}
