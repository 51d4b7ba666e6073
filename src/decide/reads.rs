//! Routing of reads that a replica may serve: round robin over the replicas that are fresh enough and have
//! room, probes of those that may be, and the primary if there is none.

use super::*;

/// A member's turn count, its position among members with equal counts, and the member.
type Turn = (f64, usize, Node);

/// The candidates found among a set's members.
#[derive(Default)]
struct Readers {
    /// The next member that the read may be sent to.
    best: Option<Turn>,
    /// The next member to probe, whose known position may be too old or which is broken.
    ask: Option<Turn>,
    /// The next member to probe that was listed later than the first list and has never answered.
    meet: Option<Turn>,
    /// The highest turn count of all members.
    top: f64,
    /// The first working replica by id, which takes the long reads, and the number of working replicas.
    first: Option<Node>,
    count: f64,
    /// Whether any replica works that has answered before.
    known: bool,
}

impl Router {
    /// Picks a member for a read: replicas that are fresh enough and have room take turns; a slow one has
    /// less room.
    pub(super) fn pick_reader(&mut self, now: Tenths, number: i64, key: u64) -> Option<Node> {
        // Danger: long reads stop a replica from applying commits. They all go to the first by id, so that
        // the others stay fresh.
        let long = self.outlasts(self.open[&key].kind);
        let found = self.look_at_readers(now, number, key, long)?;
        self.ask_in_turn(now, &found);
        if let Some((.., node)) = found.best {
            self.take_turn(now, node, &found, long);
            return Some(node);
        }
        if self.waits_for_a_check(now, number, key, found.known) {
            return None;
        }
        // If no replica qualifies or has room, the read goes to the primary, up to the part of its window
        // that is open to reads.
        let primary = self.primary(number)?;
        self.ask_for_time(now, primary);
        let spared = self.members[primary].spare_at <= now && self.has_room(now, primary, PRIMARY_SPARE, 0.0);
        spared.then_some(primary)
    }

    /// Finds whose turn it is to get the read, and whose turn it is to be probed.
    fn look_at_readers(&self, now: Tenths, number: i64, key: u64, long: bool) -> Option<Readers> {
        let (cmd, set) = (&self.open[&key], self.sets.get(&number)?);
        // Danger: the list may contain names that are no members. A member listed later that never answered
        // is only probed, when its turn comes, while others work; no read waits for it.
        let works =
            |m: &Member| m.met && !m.shut && !matches!(m.state, State::Healthy | State::TransportError);
        let known = set.nodes.iter().any(|n| works(&self.members[*n]));
        let mut found = Readers { known, ..Readers::default() };
        for &node in &set.nodes {
            let m = &self.members[node];
            found.top = found.top.max(m.turn);
            if m.shut || m.state == State::Healthy {
                continue;
            }
            let strange = known && !m.met;
            if m.state != State::TransportError && !strange {
                found.count += 1.0;
                found.first = found.first.or(Some(node));
            }
            let sooner = |other: &Option<Turn>| other.is_none_or(|o| (m.turn, m.tie) < (o.0, o.1));
            if m.state == State::TransportError || strange || self.fresh_for(now, cmd, m) <= 0 {
                let first = if strange { &mut found.meet } else { &mut found.ask };
                if !m.probing && sooner(first) && self.ask_due(now, m) {
                    *first = Some((m.turn, m.tie, node));
                }
                continue;
            }
            let room = sooner(&found.best) && self.has_room(now, node, 1.0, 0.0);
            if room && self.lawful_for(now, key, node) > 0 {
                found.best = Some((m.turn, m.tie, node));
            }
            if long {
                break;
            }
        }
        Some(found)
    }

    /// Probes the members whose turn comes before that of the member that gets the read.
    fn ask_in_turn(&mut self, now: Tenths, found: &Readers) {
        let ask = found.ask.filter(|a| found.best.is_none_or(|b| a.0 <= b.0));
        ask.into_iter().for_each(|(.., node)| self.probe(now, node));
        if let Some((.., node)) = found.meet.filter(|m| found.best.or(ask).is_none_or(|b| m.0 <= b.0)) {
            self.members[node].turn = found.top + TURN_MOST;
            self.probe(now, node);
        }
    }

    /// Adds the cost of one turn to the member. A turn in another zone costs more.
    fn take_turn(&mut self, now: Tenths, node: Node, found: &Readers, long: bool) {
        // Danger: long reads on top of an equal share of the other reads overload the first replica. Its
        // turns for other reads cost more.
        let part = self.long_work.read(now, SHARE_HALF) / self.read_work.read(now, SHARE_HALF).max(1.0);
        let even = long || found.first != Some(node);
        let cost = if even { 1.0 } else { 1.0 / (1.0 - found.count * part).max(1.0 / TURN_MOST) };
        let crosses = !is(&self.told, "zone", &self.members[node].zone);
        let price = if crosses { self.number("penalties.cross_zone", 0.0) * 100.0 * CROSSING } else { 0.0 };
        let m = &mut self.members[node];
        m.turn = m.turn.max(found.top - TURN_MOST) + cost * (1.0 + price);
    }

    /// Whether the read waits for a probe in flight. Danger: with many routers, a replica's position is
    /// rarely known when a read arrives, and all reads would crowd the primaries. A read waits for a member
    /// being probed, for half a usual latency at most.
    fn waits_for_a_check(&self, now: Tenths, number: i64, key: u64, known: bool) -> bool {
        let cmd = &self.open[&key];
        let wait = (self.usual(now, cmd.kind) / 2.0) as Tenths;
        let checked = |n: &Node| {
            let m = &self.members[*n];
            let works = !matches!(m.state, State::Healthy | State::TransportError) && (m.met || !known);
            works && m.probing && now < m.asked_at + wait && self.fresh_for(now, cmd, m) <= 0
        };
        self.sets[&number].nodes.iter().any(checked)
    }

    /// Probes the primary for evidence of the clock offset. Danger: with reads alone, whose answers need not
    /// carry a position, nothing ever confirms the offset to the members' clock. Two reports of a primary
    /// whose position advanced in between do.
    pub(super) fn ask_for_time(&mut self, now: Tenths, primary: Node) {
        let m = &self.members[primary];
        if !self.node_checks && !self.clock.is_confirmed() && m.asked_at + PAUSE <= now {
            self.probe(now, primary);
        }
    }

    /// Whether a read of this group may, at twice its latency without load, take longer than the smallest
    /// staleness bound.
    pub(super) fn outlasts(&self, kind: usize) -> bool {
        let time = self.groups.places[kind].target as f64 * USUAL_GUESS * 2.0;
        self.groups.places[kind].access == Access::Any && time > self.tightest as f64
    }

    /// Whether the member may be probed now. Danger: periodic probes of all members by all routers would
    /// outnumber the commands. A member is probed only for a waiting read: a broken one after its backoff,
    /// others by the age of their position, and less often if far behind.
    pub(super) fn ask_due(&self, now: Tenths, m: &Member) -> bool {
        let behind = (self.clock.now(m.checked_at) - m.position - self.tightest).clamp(0, 2 * SECOND);
        let rest = if m.position == 0 { PAUSE } else { PAUSE.max(self.tightest / 2).max(behind / 4) };
        if m.state == State::TransportError { self.rested(now, m) } else { m.checked_at + rest <= now }
    }

    /// Whether a broken member may be probed again. Danger: if all members of a set were unreachable, the set
    /// would be refused until the longest backoff is over, 10 s after they are back. While none of its
    /// members works, each is probed again after two seconds.
    pub(super) fn rested(&self, now: Tenths, m: &Member) -> bool {
        let works = |n: &Node| !self.members[*n].shut && self.members[*n].state != State::TransportError;
        let none = |set: &MemberSet| !set.nodes.iter().any(works);
        m.retry_at <= now || (m.asked_at + 2 * SECOND <= now && self.sets.get(&m.set).is_some_and(none))
    }

    /// Whether the member takes another dispatch: within `part` of its window, or with fewer than `least` in
    /// flight. Danger: a primary that is slow but not crowded would be spared until it idles, although no
    /// other member can take its writes; hence `least`.
    pub(super) fn has_room(&self, now: Tenths, node: Node, part: f64, least: f64) -> bool {
        let (m, out) = (&self.members[node], self.members[node].out.len() as f64);
        m.dial_at <= now
            && ((m.shy_until <= now && out < (m.window * part).max(1.0)) || (m.refused == 0 && out < least))
    }
}
