//! Where reads go that a replica may serve: turns over those that are new enough and have room, checks of those that may be,
//! and the primary where none is.

use super::*;

/// A member's turn, its place among equals, and the member.
type Turn = (f64, usize, Node);

/// What a look at a set's readers found.
#[derive(Default)]
struct Readers {
    /// One that may be sent the read.
    best: Option<Turn>,
    /// One whose position may be too old, or that is broken, to be asked.
    ask: Option<Turn>,
    /// One that was listed later and has never answered, to be asked.
    meet: Option<Turn>,
    /// The latest turn of all.
    top: f64,
    /// The first by id of those that work, which long reads keep to, and how many work.
    first: Option<Node>,
    count: f64,
    /// Some have answered and work.
    known: bool,
}

impl Router {
    /// Takes turns over the replicas that are fresh enough and have room; a slow one has less room.
    pub(super) fn pick_reader(&mut self, now: Tenths, number: i64, key: u64) -> Option<Node> {
        // Danger: long reads stop a replica applying. They keep to the first by id; the others stay fresh.
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
        // No replica qualifies or has room: the primary, as far as that leaves room for writes.
        let primary = self.primary(number)?;
        self.ask_for_time(now, primary);
        let spared = self.members[primary].spare_at <= now && self.has_room(now, primary, PRIMARY_SPARE, 0.0);
        spared.then_some(primary)
    }

    /// Whose turn it is: to be sent to, to be asked, to be met.
    fn look_at_readers(&self, now: Tenths, number: i64, key: u64, long: bool) -> Option<Readers> {
        let (cmd, set) = (&self.open[&key], self.sets.get(&number)?);
        // Danger: a list with names that are no members. One listed later that never answered is only asked,
        // when its turn comes, while others work, and nothing waits for it.
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

    /// Probes whoever's turn comes before that of the one that is sent to.
    fn ask_in_turn(&mut self, now: Tenths, found: &Readers) {
        let ask = found.ask.filter(|a| found.best.is_none_or(|b| a.0 <= b.0));
        ask.into_iter().for_each(|(.., node)| self.probe(now, node));
        if let Some((.., node)) = found.meet.filter(|m| found.best.or(ask).is_none_or(|b| m.0 <= b.0)) {
            self.members[node].turn = found.top + TURN_MOST;
            self.probe(now, node);
        }
    }

    /// A member's turn is over. One in another zone costs more.
    fn take_turn(&mut self, now: Tenths, node: Node, found: &Readers, long: bool) {
        // Danger: long reads on top of an even part of the rest crowd the first. Its turns cost more.
        let part = self.long_work.read(now, SHARE_HALF) / self.read_work.read(now, SHARE_HALF).max(1.0);
        let even = long || found.first != Some(node);
        let cost = if even { 1.0 } else { 1.0 / (1.0 - found.count * part).max(1.0 / TURN_MOST) };
        let crosses = !is(&self.told, "zone", &self.members[node].zone);
        let price = if crosses { self.number("penalties.cross_zone", 0.0) * 100.0 * CROSSING } else { 0.0 };
        let m = &mut self.members[node];
        m.turn = m.turn.max(found.top - TURN_MOST) + cost * (1.0 + price);
    }

    /// Danger: where routers are many, hardly any replica's position is known when a read comes, and all
    /// reads crowd the primaries. One being checked is waited for, for half a usual latency at most.
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

    /// Danger: beside reads alone, whose answers need not tell a position, nothing ever bears the members' clock out. Two
    /// reports of a primary whose position went on in between do.
    pub(super) fn ask_for_time(&mut self, now: Tenths, primary: Node) {
        let m = &self.members[primary];
        if !self.node_checks && !self.clock.is_confirmed() && m.asked_at + PAUSE <= now {
            self.probe(now, primary);
        }
    }

    /// A read that may outlast the tightest bound, at twice its unhurried time.
    pub(super) fn outlasts(&self, kind: usize) -> bool {
        let time = self.groups.places[kind].target as f64 * USUAL_GUESS * 2.0;
        self.groups.places[kind].access == Access::Any && time > self.tightest as f64
    }

    /// Danger: standing checks by all routers of all members outgrow the commands. A member is asked only
    /// for a waiting read: a broken one after its backoff, else by its position's age, far behind less often.
    pub(super) fn ask_due(&self, now: Tenths, m: &Member) -> bool {
        let behind = (self.clock.now(m.checked_at) - m.position - self.tightest).clamp(0, 2 * SECOND);
        let rest = if m.position == 0 { PAUSE } else { PAUSE.max(self.tightest / 2).max(behind / 4) };
        if m.state == State::TransportError { self.rested(now, m) } else { m.checked_at + rest <= now }
    }

    /// Danger: a set whose members were all out of reach is turned away until the longest rest is over, 10 s
    /// after they are back. While none of it works, each is asked again after two seconds.
    pub(super) fn rested(&self, now: Tenths, m: &Member) -> bool {
        let works = |n: &Node| !self.members[*n].shut && self.members[*n].state != State::TransportError;
        let none = |set: &MemberSet| !set.nodes.iter().any(works);
        m.retry_at <= now || (m.asked_at + 2 * SECOND <= now && self.sets.get(&m.set).is_some_and(none))
    }

    /// Danger: a primary that is slow, not crowded, is spared until it idles; nobody else takes its writes.
    pub(super) fn has_room(&self, now: Tenths, node: Node, part: f64, least: f64) -> bool {
        let (m, out) = (&self.members[node], self.members[node].out.len() as f64);
        m.dial_at <= now
            && ((m.shy_until <= now && out < (m.window * part).max(1.0)) || (m.refused == 0 && out < least))
    }
}
