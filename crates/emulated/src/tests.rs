//! Each test builds a few members and shows one effect.

use super::*;
use rstest::rstest;

const MS: Micros = 1_000;

fn group(name: &str, access: Access, share: f64) -> Group {
    let effect = if access == Access::Write { Effect::Mutating } else { Effect::Replayable };
    let (target, timeout, benefit, late_share) = (200 * MS, 1_000 * MS, 1.0, 0.0);
    let work = Draw::Fixed(10_000.0);
    Group {
        name: name.into(),
        access,
        effect,
        share,
        work,
        target,
        timeout,
        benefit,
        late_share,
        blocks: false,
    }
}

/// One set of three members in zones a, b, a; two cores and a queue of four each; two routers.
fn plan() -> Plan {
    let machine = Machine { name: "std".into(), cores: 2, speed: 1.0, queue: 4, connections: 10 };
    let at = Draw::Fixed;
    Plan {
        zones: vec!["a".into(), "b".into()],
        ways: WaysPlan { same: at(200.0), cross: at(700.0) },
        machines: vec![machine],
        groups: vec![group("look", Access::Any, 1.0), group("order", Access::Write, 1.0)],
        sets: vec![(0..3).map(|i| MemberPlan { zone: i % 2, machine: 0 }).collect()],
        routers: vec![0, 1],
        copying: Copying {
            ship: at(10_000.0),
            apply: at(2_000.0),
            detect: at(1_000_000.0),
            elect: at(500_000.0),
            switch: at(300_000.0),
            seed_age: at(3_000_000.0),
        },
        checks: Checks::Nothing,
        reports: Reports { refresh: 100 * MS, probe_work: 0.0, positions: true },
        warming: Warming { from: 0.25, over: 4 * SECOND, multiple: 2.0, span: SECOND },
        list: ListPlan {
            mode: ListMode::Push,
            late: at(1_000_000.0),
            role_late: at(2_000_000.0),
            spread: at(1_000.0),
            drain_grace: 500 * MS,
        },
        connections: Connections { work: 0.0, handshake: 1.0, idle: 15 * SECOND, dial_timeout: 250 * MS },
        clocks_apart: 0,
        cancel_stops_running: true,
    }
}

struct Play {
    members: Members,
    jobs: u64,
}

fn play_of(plan: Plan, troubles: Vec<Trouble>) -> Play {
    Play { members: Members::new(plan, troubles, 7), jobs: 0 }
}

fn play(troubles: Vec<Trouble>) -> Play {
    play_of(plan(), troubles)
}

impl Play {
    /// All that is said up to `now`, with its time.
    fn until(&mut self, now: Micros) -> Vec<(Micros, Said)> {
        let mut said = Vec::new();
        while let Some(at) = self.members.wake_at().filter(|at| *at <= now) {
            while let Some(one) = self.members.next_said(at) {
                said.push((at, one));
            }
        }
        said
    }

    fn ask(&mut self, now: Micros, node: usize, needs: Needs, work: Micros) {
        self.jobs += 1;
        let query = Query { job: self.jobs, group: 0, work: work as f64, needs, blocks: false };
        self.members.query(now, node, query);
    }

    /// What becomes of one query that reaches `node` at `now`, and when; None if nothing within 20 s.
    fn fate(&mut self, now: Micros, node: usize, needs: Needs) -> Option<(Verdict, Micros)> {
        self.until(now);
        self.ask(now, node, needs, 10 * MS);
        let job = self.jobs;
        let said = self.until(now + 20 * SECOND);
        said.into_iter().find_map(|(at, s)| match s {
            Said::Ended(e) if e.job == job => Some((e.verdict, at.max(now) - now)),
            _ => None,
        })
    }

    fn write_for(&mut self, from: Micros, until: Micros, every: Micros) {
        let mut at = from;
        while at < until {
            self.until(at);
            if let Some(primary) = self.members.primary_of(0) {
                self.ask(at, primary, Needs::Primary, MS);
            }
            at += every;
        }
        self.until(until);
    }
}

fn on(kind: Kind, node: usize, from: Micros, until: Micros) -> Trouble {
    Trouble { kind, on: On::Members(vec![node]), from, until }
}

fn anywhere(kind: Kind, from: Micros, until: Micros) -> Trouble {
    Trouble { kind, on: On::Members(Vec::new()), from, until }
}

// ---- what is due when ----

/// Against a plain sort, with times near, far, beyond all slots, equal, and set late.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn an_agenda_gives_things_back_in_order_of_time_and_setting(#[case] seed: u64) {
    let (mut agenda, mut plain, mut dice) = (Agenda::default(), Vec::new(), dice(seed, "agenda"));
    let (mut now, mut taken, mut number) = (0, Vec::new(), 0u64);
    for _ in 0..4_000 {
        for _ in 0..crate::draw::one_of(&mut dice, 4) {
            let spread = [0, 100, 9_000, 2_000_000, 30_000_000][crate::draw::one_of(&mut dice, 5)];
            let at = now + Draw::Between(0.0, spread as f64).sample(&mut dice) as Micros;
            agenda.set(at, number);
            plain.push((at, number));
            number += 1;
        }
        if let Some(at) = agenda.first() {
            now = at.max(now);
            taken.extend(agenda.take(now));
        }
    }
    assert_eq!(agenda.count(), plain.len() - taken.len());
    while let Some(at) = agenda.first() {
        now = at.max(now);
        taken.extend(agenda.take(now));
    }
    // Whatever is set is set for then or later, so the order taken is the order sorted.
    plain.sort_unstable();
    assert_eq!(taken, plain);
}

// ---- a member without trouble ----

#[rstest]
#[case::on_a_core(2, 10 * MS, Verdict::Answered)]
#[case::after_another(3, 20 * MS, Verdict::Answered)]
#[case::no_room(7, 0, Verdict::Full)]
fn queries_take_cores_then_the_queue_then_nothing(
    #[case] count: u64,
    #[case] took: Micros,
    #[case] last: Verdict,
) {
    let mut p = play(vec![]);
    (0..count).for_each(|_| p.ask(0, 1, Needs::Nothing, 10 * MS));
    let said = p.until(SECOND);
    let ended = said.iter().find_map(|(at, s)| match s {
        Said::Ended(e) if e.job == count => Some((*at, e.verdict)),
        _ => None,
    });
    assert_eq!(ended, Some((took, last)));
}

#[rstest]
#[case::primary(0, Verdict::Answered)]
#[case::replica(1, Verdict::Miss)]
fn only_the_primary_takes_writes(#[case] node: usize, #[case] verdict: Verdict) {
    assert_eq!(play(vec![]).fate(0, node, Needs::Primary).map(|f| f.0), Some(verdict));
}

#[rstest]
#[case::answers_from_what_it_has(Checks::Nothing, Verdict::Answered, 10 * MS)]
#[case::refuses(Checks::Refuse, Verdict::Miss, 0)]
#[case::waits_and_catches_up(Checks::Wait(50 * MS), Verdict::Answered, 20 * MS)]
#[case::waits_in_vain(Checks::Wait(5 * MS), Verdict::Miss, 5 * MS)]
fn a_read_that_needs_newer_data(#[case] checks: Checks, #[case] verdict: Verdict, #[case] took: Micros) {
    let mut p = play_of(Plan { checks, ..plan() }, vec![]);
    assert_eq!(p.fate(SECOND, 1, Needs::Position(SECOND)), Some((verdict, took)));
}

#[rstest]
fn a_replica_has_the_log_late_and_applies_one_after_the_other() {
    let mut p = play(vec![]);
    // Five commits at once at 1 ms: they are here at 11 ms, and applied by 21 ms.
    p.members.plan.machines[0].cores = 8;
    (0..5).for_each(|i| p.members.sets[0].log.commit(MS + i, 2_000.0));
    let at = |p: &mut Play, ms: Micros| p.members.position(ms * MS, 1);
    assert_eq!((at(&mut p, 11), at(&mut p, 14)), (MS - 1, MS));
    assert!(at(&mut p, 22) >= 12 * MS);
}

#[rstest]
fn nothing_is_applied_while_a_long_read_holds_the_replica() {
    let mut p = play(vec![]);
    p.members.query(0, 1, Query { job: 1, group: 0, work: 300_000.0, needs: Needs::Nothing, blocks: true });
    p.write_for(MS, 200 * MS, 20 * MS);
    let (blocked, free) = (p.members.position(200 * MS, 1), p.members.position(200 * MS, 2));
    p.until(400 * MS);
    assert!(blocked < 10 * MS && free > 180 * MS && p.members.position(400 * MS, 1) > 380 * MS);
}

#[rstest]
fn reports_are_as_old_as_their_last_refresh() {
    let mut p = play(vec![]);
    p.until(199 * MS);
    p.members.probe(0, 1);
    let said = p.until(199 * MS);
    let Some((_, Said::Probed { report, .. })) = said.first() else { panic!("a report") };
    assert_eq!(*report, Report { position: 100 * MS, primary: true });
}

#[rstest]
fn a_table_of_connections_has_an_end() {
    let mut p = play(vec![]);
    let dials: Vec<Dialled> = (0..11).map(|_| p.members.dial(1)).collect();
    assert_eq!((dials[9], dials[10]), (Dialled::Accepted(1), Dialled::Refused));
    p.members.hang_up(1);
    assert_eq!(p.members.dial(1), Dialled::Accepted(1));
}

#[rstest]
#[case::drops_the_waiting_one(true, 3, true)]
#[case::stops_the_running_one(true, 1, true)]
#[case::lets_the_running_one_go_on(false, 1, false)]
fn a_query_that_nobody_waits_for(#[case] stops: bool, #[case] job: u64, #[case] dropped: bool) {
    let mut p = play_of(Plan { cancel_stops_running: stops, ..plan() }, vec![]);
    (0..3).for_each(|_| p.ask(0, 1, Needs::Nothing, 10 * MS));
    assert_eq!(p.members.withdraw(MS, 1, job), dropped);
}

// ---- troubles ----

#[rstest]
fn a_crash_resets_what_is_held_and_comes_back_cold() {
    let mut p = play(vec![on(Kind::Crash { listed: true }, 1, 5 * MS, SECOND)]);
    p.ask(0, 1, Needs::Nothing, 10 * MS);
    let said = p.until(500 * MS);
    assert!(matches!(said.as_slice(), [(_, Said::Died { node: 1, fell: false })]), "{said:?}");
    assert_eq!(p.members.dial(1), Dialled::Refused);
    // Back with a quarter of its capacity: 10 ms of work take nearly four times as long.
    let (verdict, took) = p.fate(SECOND, 1, Needs::Nothing).expect("it runs again");
    assert!(verdict == Verdict::Answered && (35 * MS..=40 * MS).contains(&took), "{took}");
}

#[rstest]
#[case::crash(Kind::Crash { listed: true })]
#[case::hang(Kind::Hang)]
fn a_primary_that_goes_is_replaced_by_election(#[case] kind: Kind) {
    let mut p = play(vec![on(kind, 0, SECOND, 9 * SECOND)]);
    p.until(SECOND + 900 * MS);
    assert_eq!(p.members.primary_of(0), Some(0), "not given up yet");
    p.until(2 * SECOND + 100 * MS);
    assert_eq!(p.members.primary_of(0), None);
    let stands = p.members.position(2 * SECOND + 400 * MS, 2);
    assert!(stands <= SECOND, "positions stand still while there is no primary");
    p.until(2 * SECOND + 600 * MS);
    assert_eq!(p.members.primary_of(0), Some(1));
    p.until(10 * SECOND);
    assert_eq!(
        p.fate(10 * SECOND, 0, Needs::Primary).map(|f| f.0),
        Some(Verdict::Miss),
        "it is a replica now"
    );
}

#[rstest]
fn a_primary_that_is_back_soon_stays_one() {
    let mut p = play(vec![on(Kind::Crash { listed: true }, 0, SECOND, SECOND + 500 * MS)]);
    p.until(5 * SECOND);
    assert_eq!((p.members.primary_of(0), p.members.happened().elections), (Some(0), 0));
}

#[rstest]
fn a_hanging_member_answers_when_it_moves_again() {
    let mut p = play(vec![on(Kind::Hang, 1, 0, 300 * MS)]);
    assert_eq!(p.fate(MS, 1, Needs::Nothing), Some((Verdict::Answered, 309 * MS)));
}

#[rstest]
fn a_write_that_a_given_up_primary_held_ends_in_an_error() {
    let mut p = play(vec![on(Kind::Hang, 0, 0, 4 * SECOND)]);
    assert_eq!(p.fate(MS, 0, Needs::Primary).map(|f| f.0), Some(Verdict::Miss));
    let mut p = play(vec![on(Kind::Hang, 0, 5 * MS, 4 * SECOND)]);
    assert_eq!(p.fate(0, 0, Needs::Primary).map(|f| f.0), Some(Verdict::Error));
}

#[rstest]
fn pauses_come_again_and_again() {
    let mut p = play(vec![on(Kind::Pauses { length: 100 * MS, every: 500 * MS }, 1, 0, 10 * SECOND)]);
    let took = |p: &mut Play, ms| p.fate(ms * MS, 1, Needs::Nothing).expect("answered").1;
    assert_eq!([took(&mut p, 20), took(&mut p, 20_000)], [90 * MS, 10 * MS]);
    let mut p = play(vec![on(Kind::Pauses { length: 100 * MS, every: 500 * MS }, 1, 0, 10 * SECOND)]);
    assert_eq!(took(&mut p, 1_050), 60 * MS);
}

#[rstest]
fn a_slow_member_takes_longer_and_one_in_the_middle_of_it_too() {
    let mut p = play(vec![on(Kind::Slow { times: 4.0 }, 1, 5 * MS, SECOND)]);
    assert_eq!(p.fate(0, 1, Needs::Nothing), Some((Verdict::Answered, 25 * MS)));
}

#[rstest]
fn a_replica_that_applies_slowly_falls_behind_and_answers_as_quickly() {
    let mut p = play(vec![on(Kind::SlowApply { times: 20.0 }, 1, 0, 10 * SECOND)]);
    p.write_for(0, SECOND, 10 * MS);
    assert!(p.members.position(SECOND, 1) < 400 * MS && p.members.position(SECOND, 2) > 900 * MS);
    assert_eq!(p.fate(SECOND, 1, Needs::Nothing).map(|f| f.1), Some(10 * MS));
}

#[rstest]
fn flapping_dies_and_returns_until_it_is_over() {
    let kind = Kind::Flapping { down: 200 * MS, up: 300 * MS, listed: false };
    let mut p = play(vec![on(kind, 1, 0, 2 * SECOND)]);
    let said = p.until(5 * SECOND);
    let count = |want: fn(&Said) -> bool| said.iter().filter(|(_, s)| want(s)).count();
    assert_eq!(count(|s| matches!(s, Said::Died { .. })), 4);
    assert_eq!(count(|s| matches!(s, Said::Started { .. })), 4);
    assert_eq!(count(|s| matches!(s, Said::News { .. })), 0, "the list says nothing");
    assert!(p.members.alive(1));
}

#[rstest]
#[case::both_ways(false, None, None)]
#[case::one_way(true, None, Some(700))]
fn a_cut_zone_loses_messages(
    #[case] one_way: bool,
    #[case] out: Option<Micros>,
    #[case] back: Option<Micros>,
) {
    let cut = Kind::ZoneCut { zone: 0, to: None, one_way };
    let mut p = play(vec![anywhere(cut, 0, SECOND)]);
    p.until(MS);
    assert_eq!((p.members.delay(0, 1), p.members.delay(1, 0), p.members.delay(0, 0)), (out, back, Some(200)));
    p.until(2 * SECOND);
    assert_eq!(p.members.delay(0, 1), Some(700));
}

#[rstest]
fn a_replica_behind_a_cut_stands_still_and_catches_up() {
    let mut p = play(vec![anywhere(Kind::ZoneCut { zone: 1, to: None, one_way: false }, 100 * MS, SECOND)]);
    p.write_for(0, 900 * MS, 10 * MS);
    assert!(p.members.position(900 * MS, 1) <= 100 * MS && p.members.position(900 * MS, 2) > 800 * MS);
    p.until(2 * SECOND);
    assert!(p.members.position(2 * SECOND, 1) > 1_900 * MS);
}

#[rstest]
fn a_primary_that_is_cut_off_is_given_up_and_its_last_commits_are_lost() {
    let mut p = play(vec![]);
    p.members.plan.sets[0][1].zone = 1;
    let mut cut = plan();
    cut.sets = vec![vec![
        MemberPlan { zone: 0, machine: 0 },
        MemberPlan { zone: 1, machine: 0 },
        MemberPlan { zone: 1, machine: 0 },
    ]];
    let mut p = play_of(
        cut,
        vec![anywhere(Kind::ZoneCut { zone: 0, to: None, one_way: false }, 100 * MS, 5 * SECOND)],
    );
    p.write_for(0, 3 * SECOND, 50 * MS);
    assert!(p.members.primary_of(0) == Some(1) && p.members.happened().lost_commits > 10);
    p.until(6 * SECOND);
    assert_eq!(p.fate(6 * SECOND, 0, Needs::Primary).map(|f| f.0), Some(Verdict::Miss));
}

#[rstest]
#[case::lost(Kind::LostAnswers { part: 1.0 }, Verdict::Lost)]
#[case::reset(Kind::Resets { part: 1.0 }, Verdict::Reset)]
fn answers_that_do_not_come(#[case] kind: Kind, #[case] verdict: Verdict) {
    let mut p = play(vec![on(kind, 1, 0, SECOND)]);
    assert_eq!(p.fate(MS, 1, Needs::Nothing).map(|f| f.0), Some(verdict));
    assert_eq!(p.fate(2 * SECOND, 1, Needs::Nothing).map(|f| f.0), Some(Verdict::Answered));
}

#[rstest]
fn squeezed_connections() {
    let mut p = play(vec![on(Kind::Squeeze { part: 0.2 }, 1, 0, SECOND)]);
    p.until(MS);
    let dials: Vec<Dialled> = (0..3).map(|_| p.members.dial(1)).collect();
    assert_eq!(dials, [Dialled::Accepted(1), Dialled::Accepted(1), Dialled::Refused]);
}

#[rstest]
fn a_draining_primary_hands_over_without_losing_a_commit() {
    let mut p = play(vec![on(Kind::Drain, 0, SECOND, 5 * SECOND)]);
    p.write_for(0, 2 * SECOND, 10 * MS);
    assert_eq!((p.members.primary_of(0), p.members.happened().lost_commits), (Some(1), 0));
    assert_eq!(p.fate(2 * SECOND, 0, Needs::Nothing).map(|f| f.0), Some(Verdict::Full));
    let sheets: Vec<Sheet> = std::iter::from_fn(|| p.members.list_news(0)).collect();
    assert!(sheets.iter().flat_map(|s| s.rows.iter()).any(|r| r.node == 0 && r.phase == Phase::Draining));
}

#[rstest]
fn a_replacement_takes_the_address_with_an_old_copy() {
    let mut p = play(vec![on(Kind::Replace, 1, 4 * SECOND, 5 * SECOND)]);
    p.until(4 * SECOND + MS);
    assert_eq!(p.members.dial(1), Dialled::Silent);
    p.until(5 * SECOND + MS);
    // Who dials the old member's address reaches the new one.
    assert_eq!((p.members.dial(1), p.members.place_of(3)), (Dialled::Accepted(3), 1));
    let copy = p.members.nodes[3].copy.heard;
    assert!(copy <= 5 * SECOND, "{copy}");
    p.until(6 * SECOND + 100 * MS);
    let rows: Vec<Row> =
        std::iter::from_fn(|| p.members.list_news(0)).flat_map(|s| s.rows.to_vec()).collect();
    assert!(
        rows.iter().any(|r| r.node == 3 && r.started > 0)
            && rows.iter().any(|r| r.node == 1 && r.phase == Phase::Gone)
    );
}

/// A cold member of two cores at a quarter does half a second of work a second, and falls at twice that.
#[rstest]
#[case::each_under_its_part_but_not_together(11, true)]
#[case::together_under(9, false)]
fn a_cold_member_is_pushed_over(#[case] queries: u64, #[case] falls: bool) {
    let mut p = play(vec![on(Kind::Crash { listed: true }, 1, 0, SECOND)]);
    p.until(SECOND);
    (0..queries).for_each(|i| p.ask(SECOND + i as Micros, 1, Needs::Nothing, 100 * MS));
    let said = p.until(30 * SECOND);
    let fell = said.iter().any(|(_, s)| matches!(s, Said::Died { fell: true, .. }));
    assert_eq!((fell, p.members.alive(1)), (falls, !falls));
}

// ---- the list ----

#[rstest]
#[case::late(vec![], 1_001)]
#[case::down(vec![anywhere(Kind::ListDown, 0, 3 * SECOND)], 3_001)]
#[case::stale(vec![anywhere(Kind::ListStale, 0, 3 * SECOND)], 3_001)]
fn the_list_tells_late(#[case] more: Vec<Trouble>, #[case] told_ms: Micros) {
    let mut p = play([vec![on(Kind::Drain, 1, 0, 9 * SECOND)], more].concat());
    let mut told = None;
    for ms in 0..5_000 {
        let heard = p.until(ms * MS).iter().any(|(_, s)| matches!(s, Said::News { router: 0 }));
        told = told.or(if heard { p.members.list_news(0).map(|_| ms) } else { None });
    }
    assert_eq!(told, Some(told_ms));
}

#[rstest]
fn a_watch_breaks_and_asking_fails_while_the_list_is_down() {
    let mut watched = plan();
    watched.list.mode = ListMode::Watch;
    let mut p = play_of(watched, vec![anywhere(Kind::ListDown, SECOND, 2 * SECOND)]);
    assert!(p.members.ask_list(0).is_some_and(|s| s.whole && s.rows.len() == 3));
    let said = p.until(SECOND);
    assert!(matches!(said.as_slice(), [(_, Said::WatchBroke { router: 0 })]), "{said:?}");
    assert!(p.members.ask_list(0).is_none());
    p.until(2 * SECOND);
    assert!(p.members.ask_list(0).is_some());
}

#[rstest]
fn a_router_may_come_back_with_the_list_it_had() {
    let routers = Kind::Routers { which: vec![1], old_list: true };
    let mut p = play(vec![on(Kind::Drain, 2, SECOND, 9 * SECOND), anywhere(routers, 500 * MS, 6 * SECOND)]);
    let drained = |sheet: &Sheet| sheet.rows.iter().any(|r| r.node == 2 && r.phase == Phase::Draining);
    let _ = p.members.first_list(1, false);
    let said = p.until(7 * SECOND);
    let starts = |s: &(Micros, Said)| matches!(s, (at, Said::RouterStarts { router: 1, old_list: true }) if *at == 6 * SECOND);
    assert!(said.iter().any(starts));
    // It was told nothing while it was away: it starts with what it had, and hears of the drain after that.
    assert!(!drained(&p.members.first_list(1, true)) && p.members.list_news(1).is_some_and(|s| drained(&s)));
    assert!(drained(&p.members.first_list(1, false)));
}

// ---- the traffic ----

fn traffic(troubles: Vec<Trouble>, rhythm: Rhythm) -> Vec<Arrival> {
    let plan_of = TrafficPlan {
        rate: 1_000.0,
        rhythm,
        sets: vec![1.0, 1.0, 1.0, 1.0],
        customers: vec![0.5, 0.3, 0.2],
        routers: vec![1.0, 1.0],
        sessions: 500,
        until: 20 * SECOND,
    };
    let mut traffic = Traffic::new(plan_of, &plan().groups, &troubles, 3);
    std::iter::from_fn(|| traffic.next_arrival()).collect()
}

fn part(arrivals: &[Arrival], from: Micros, until: Micros, which: impl Fn(&Arrival) -> bool) -> (f64, f64) {
    let there: Vec<&Arrival> = arrivals.iter().filter(|a| a.at >= from && a.at < until).collect();
    let rate = there.len() as f64 / ((until - from) as f64 / 1e6);
    (rate, there.iter().filter(|a| which(a)).count() as f64 / there.len().max(1) as f64)
}

#[rstest]
#[case::burst(Kind::Burst { times: 3.0 }, 3_000.0, None)]
#[case::hot_set(Kind::HotSet { set: 2, part: 0.6 }, 1_000.0, Some(0.7))]
#[case::noisy(Kind::Noisy { customer: 2, times: 11.0 }, 3_000.0, Some(0.73))]
#[case::surge(Kind::Surge { group: 1, part: 0.75 }, 2_000.0, Some(0.75))]
fn troubles_of_the_traffic(#[case] kind: Kind, #[case] rate: f64, #[case] share: Option<f64>) {
    let which: fn(&Arrival) -> bool = match kind {
        Kind::HotSet { .. } => |a| a.set == 2,
        Kind::Noisy { .. } => |a| a.customer == 2,
        _ => |a| a.group == 1,
    };
    let arrivals = traffic(vec![anywhere(kind, 5 * SECOND, 15 * SECOND)], Rhythm::Poisson);
    let (before, usual) = part(&arrivals, 0, 5 * SECOND, which);
    let (during, struck) = part(&arrivals, 5 * SECOND, 15 * SECOND, which);
    assert!((before - 1_000.0).abs() < 60.0 && (during - rate).abs() < 0.06 * rate, "{before} {during}");
    assert!(share.is_none_or(|s| (struck - s).abs() < 0.05 && usual < s - 0.2), "{usual} {struck}");
}

#[rstest]
fn bursts_keep_the_mean_rate_and_scatter_more() {
    let bursts = Rhythm::Bursts { times: 3.0, on: SECOND / 2, off: SECOND };
    let per_100ms = |arrivals: &[Arrival]| {
        let counts: Vec<f64> =
            (0..200).map(|i| part(arrivals, i * 100 * MS, (i + 1) * 100 * MS, |_| true).0 / 10.0).collect();
        let mean = counts.iter().sum::<f64>() / 200.0;
        (mean, counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / 200.0 / mean)
    };
    let (mean, spread) = per_100ms(&traffic(vec![], bursts));
    let (_, poisson) = per_100ms(&traffic(vec![], Rhythm::Poisson));
    assert!((50.0..160.0).contains(&mean) && spread > 20.0 * poisson, "{mean} {spread} {poisson}");
}

#[rstest]
fn recorded_times_are_played_over_and_over() {
    let recorded = Rhythm::Recorded { times: vec![0, 3 * SECOND], length: 8 * SECOND };
    let times: Vec<Micros> = traffic(vec![], recorded).iter().map(|a| a.at / SECOND).collect();
    assert_eq!(times, [0, 3, 8, 11, 16, 19]);
}

#[rstest]
#[case::fixed(Draw::Fixed(5.0))]
#[case::between(Draw::Between(2.0, 8.0))]
#[case::exponential(Draw::Exponential(5.0))]
#[case::log_normal(Draw::LogNormal(5.0, 0.8))]
#[case::heavy(Draw::Heavy(5.0, 2.5))]
fn draws_have_their_mean_and_scatter(#[case] draw: Draw) {
    let mut dice = dice(1, "test");
    let drawn: Vec<f64> = (0..400_000).map(|_| draw.sample(&mut dice)).collect();
    let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
    let scatter = drawn.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / drawn.len() as f64 / mean / mean;
    assert!((mean / draw.mean() - 1.0).abs() < 0.03, "{mean}");
    // The second moment of a heavy tail converges slowly.
    let slack = if matches!(draw, Draw::Heavy(..)) { 0.5 } else { 0.05 };
    assert!(
        (scatter - draw.scatter()).abs() <= slack * draw.scatter().max(0.1),
        "{scatter} {}",
        draw.scatter()
    );
}
