//! What an edge says to readers, and what a publisher answers to each wish; lease and postponement in every order are in
//! tests/model.rs, whole fleets in tests/fleet.rs.

use super::*;
use rstest::rstest;
use std::collections::BTreeMap;
use vetchkeel_bounds::{Interval, Moment, SECOND, Tenths};

const OFFICE: OfficeId = OfficeId(1);
const RELEASE: Tenths = 100 * SECOND;

/// A clock that reads the true time, known to within 10 ms.
fn at(now: Tenths) -> Moment {
    Moment { mono: now, count: now, time: Some(Interval { earliest: now - 50, latest: now + 50 }) }
}

fn schedule(bulletin: u64, version: u64, release: Release, notice: Notice) -> Schedule {
    let ends = 10_000 * SECOND;
    let (bulletin, version) = (BulletinId(bulletin), Version(version));
    Schedule { bulletin, version, release, ends, unheard: Unheard::ToItsEnd, notice }
}

/// 1: announced, 2: secret, 3: withdrawn, all known; 4 is not. Leased for 400 s from 90 s on.
fn edge() -> Edge {
    let gate = GateTerms { renew: 5 * SECOND, retry: SECOND, drift_ppm: 200, bulletins: 3 };
    let terms = EdgeTerms { gate, hold: SECOND, holds: 4, grain: 10 * SECOND };
    let budget = Budget { per_second: 50, seconds: 600 };
    let mut edge = Edge::new(EdgeId(1), Incarnation(1), terms, budget, 1);
    edge.follow(OFFICE);
    while edge.next_decision(&at(90 * SECOND)).is_some() {}
    edge.heard(leased(1, 400), &at(90 * SECOND));
    while edge.next_decision(&at(90 * SECOND)).is_some() {}
    edge
}

fn leased(epoch: u64, seconds: i64) -> Reply {
    let length = seconds * SECOND;
    Reply {
        office: OFFICE,
        epoch: Epoch(epoch),
        edge: EdgeId(1),
        incarnation: Incarnation(1),
        request: 1,
        after: Version(0),
        through: Version(3),
        schedules: vec![
            schedule(1, 1, Release::At(RELEASE), Notice::Announced),
            schedule(2, 2, Release::At(RELEASE), Notice::Secret),
            schedule(3, 3, Release::Withdrawn, Notice::Secret),
        ],
        grant: Some(Grant { until: 90 * SECOND + length, length }),
    }
}

/// Readers that come back in each second, for `readers` refused at `now`.
fn comes_back(bulletin: u64, readers: usize, now: Tenths) -> BTreeMap<i64, u32> {
    let mut edge = edge();
    let mut seconds = BTreeMap::new();
    for _ in 0..readers {
        if let Answer::Refuse { come_back } = edge.read(OFFICE, BulletinId(bulletin), &at(now)) {
            *seconds.entry((now + come_back) / SECOND).or_insert(0) += 1;
        }
    }
    seconds
}

#[rstest]
#[case::announced(1, 92 * SECOND, 101)]
#[case::secret(2, 92 * SECOND, 100)]
#[case::just_before(1, RELEASE - 100, 101)]
fn the_refused_come_back_within_the_budget(#[case] bulletin: u64, #[case] now: Tenths, #[case] first: i64) {
    let seconds = comes_back(bulletin, 5_000, now);
    assert!(seconds.values().all(|n| *n <= 50), "{:?}", seconds.values().max());
    assert_eq!(seconds.keys().next(), Some(&first));
    assert!(seconds.keys().last().is_some_and(|last| *last <= first + 5_000 / 50));
}

/// The same draw for the same seed: a refusal of a secret bulletin is the same as of one that is not there.
#[rstest]
#[case::secret(2)]
#[case::withdrawn(3)]
fn a_refusal_tells_nothing(#[case] bulletin: u64) {
    let now = RELEASE - SECOND / 2;
    assert_eq!(comes_back(bulletin, 200, now), comes_back(4, 200, now));
}

#[rstest]
#[case::long_before(1, 92 * SECOND, false, false)]
#[case::held_when_near(1, RELEASE - 500, true, false)]
#[case::a_secret_is_not_held(2, RELEASE - 500, false, false)]
#[case::earliest_has_not_passed(1, RELEASE + 50, true, false)]
#[case::earliest_has_passed(1, RELEASE + 51, false, true)]
#[case::withdrawn(3, RELEASE + SECOND, false, false)]
#[case::unknown(4, RELEASE + SECOND, false, false)]
#[case::lease_over(1, 490 * SECOND, false, false)]
fn an_edge_answers(#[case] bulletin: u64, #[case] now: Tenths, #[case] holds: bool, #[case] serves: bool) {
    let mut edge = edge();
    while edge.next_decision(&at(now)).is_some() {}
    let answer = edge.read(OFFICE, BulletinId(bulletin), &at(now));
    assert_eq!(matches!(answer, Answer::Hold { .. }), holds, "{answer:?}");
    assert_eq!(answer == Answer::Serve, serves, "{answer:?}");
}

#[rstest]
#[case::of_another_process(|r: &mut Reply| r.incarnation = Incarnation(0), false)]
#[case::never_asked_for(|r: &mut Reply| r.request = 9, false)]
#[case::whole(|_: &mut Reply| {}, true)]
#[case::after_what_is_not_here(|r: &mut Reply| (r.after, r.through) = (Version(4), Version(5)), false)]
#[case::no_room(|r: &mut Reply| {
    r.through = Version(4);
    r.schedules.push(schedule(4, 4, Release::Withdrawn, Notice::Secret));
}, false)]
#[case::longer_than_a_batch(|r: &mut Reply| r.schedules = vec![r.schedules[0]; BATCH + 1], false)]
fn a_lease_counts_only_whole(#[case] change: fn(&mut Reply), #[case] opens: bool) {
    let gate = GateTerms { renew: 5 * SECOND, retry: SECOND, drift_ppm: 200, bulletins: 3 };
    let mut gate = Gate::new(EdgeId(1), Incarnation(1), gate);
    gate.follow(OFFICE);
    while gate.next_decision(&at(90 * SECOND)).is_some() {}
    gate.heard(Reply { request: 0, grant: None, ..leased(1, 400) }, &at(90 * SECOND));
    let mut reply = leased(1, 400);
    change(&mut reply);
    gate.heard(reply, &at(90 * SECOND));
    while gate.next_decision(&at(RELEASE + SECOND)).is_some() {}
    assert_eq!(gate.serves(OFFICE, BulletinId(1), &at(RELEASE + SECOND)), opens);
}

/// A publisher whose one edge was leased at 95 s for 10 s, with bulletin 1 due at 100 s; what it answers to `change` at
/// `now`, if the edge hears nothing.
fn answer(now: Tenths, change: Change, until: Tenths) -> Option<Outcome> {
    let terms = PublisherTerms {
        lease: 10 * SECOND,
        retry: SECOND,
        drift_ppm: 200,
        bulletins: 4,
        holders: 4,
        changes: 4,
    };
    let mut record = Record { epoch: Epoch(1), ..Record::default() };
    let stands = schedule(1, 1, Release::At(RELEASE), Notice::Secret);
    let stands = Schedule { unheard: Unheard::For(2 * SECOND), ..stands };
    record.apply(&Write::Entry(Entry { schedule: stands, floor: RELEASE, settled: true, ticket: 1 }));
    let mut publisher = Publisher::new(OFFICE, terms, record);
    let mut answered = None;
    let mut pull = |publisher: &mut Publisher, now: Tenths| {
        while let Some(decision) = publisher.next_decision(&at(now)) {
            match decision {
                PublisherDecision::Persist { number, .. } => publisher.written(number),
                PublisherDecision::Answer { outcome, .. } => answered = Some(outcome),
                PublisherDecision::Send(_) => {}
            }
        }
    };
    for request in 1..=2 {
        publisher.heard(FromEdge::Ask(Ask {
            office: OFFICE,
            epoch: Epoch(1),
            edge: EdgeId(1),
            incarnation: Incarnation(1),
            request,
            applied: Version(1),
        }));
        pull(&mut publisher, 95 * SECOND);
    }
    publisher.wish(Wish { ticket: 2, bulletin: BulletinId(1), change });
    pull(&mut publisher, now);
    pull(&mut publisher, until);
    answered
}

const LATER: Change = Change::Move { release: 200 * SECOND };
const REFUSED: Option<Outcome> = Some(Outcome::Refused(Reason::TooLate));

#[rstest]
#[case::waits_for_the_edge(96, LATER, 99, None)]
#[case::too_late_once_the_old_release_may_have_come(96, LATER, 100, Some(Outcome::TooLate))]
#[case::asked_too_late(100, LATER, 100, REFUSED)]
#[case::earlier_holds_at_once(96, Change::Move { release: 98 * SECOND }, 96, Some(Outcome::Confirmed))]
#[case::lifted(96, Change::Lift, 96, Some(Outcome::Confirmed))]
#[case::withdrawn_while_the_edge_may_serve(101, Change::Withdraw, 106, None)]
#[case::withdrawn_and_unheard_for_too_long(101, Change::Withdraw, 108, Some(Outcome::Stopped))]
fn a_publisher_answers(
    #[case] now: i64,
    #[case] change: Change,
    #[case] until: i64,
    #[case] expected: Option<Outcome>,
) {
    assert_eq!(answer(now * SECOND, change, until * SECOND), expected);
}
