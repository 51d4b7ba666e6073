//! Each test builds the state that it needs and calls one function.

use super::*;
use rstest::rstest;

pub(super) const NOW: Tenths = 1_000_000;
const KINDS: [&str; 5] = ["any", "bounded", "session", "fresh", "write"];

/// Settings with a command group for each access; what is `extra` is told besides, or instead.
pub(super) fn told(extra: &[(&str, &str)]) -> Told {
    let mut told = Told::new();
    let mut tell = |name: &str, value: &str| _ = told.insert(name.to_owned(), value.to_owned());
    tell("request_classes.count", "5");
    tell("family_info.class_read", "any,bounded,session,fresh,write");
    tell("family_info.lag_allowed_ms", "0,300,0,0,0");
    for (i, kind) in KINDS.iter().enumerate() {
        tell(&format!("request_classes.{i}.name"), kind);
        tell(&format!("request_classes.{i}.aim_ms"), "250");
        tell(&format!("request_classes.{i}.hard_limit_ms"), "3000");
        tell(&format!("request_classes.{i}.late_value"), "0.5");
        tell(&format!("request_classes.{i}.semantics"), if i == 4 { "side_effect" } else { "pure" });
    }
    for name in ["cancel", "may_probe", "retry_after"] {
        tell(&format!("permissions.{name}"), "true");
    }
    tell("permissions.max_attempts", "6");
    tell("membership_mode", "automatic");
    for (name, value) in extra {
        tell(name, value);
    }
    told
}

/// A router with one set of three members, `a` the listed primary, and a command group for each access. A primary has
/// borne out its clock.
pub(super) fn router(extra: &[(&str, &str)]) -> Router {
    let mut router = Router::start(told(extra), 7, NOW - SECOND).expect("complete settings");
    router.clock.learn(NOW - SECOND, Evidence::of_primary(NOW - SECOND, NOW - SECOND, NOW - SECOND, 0));
    let entries: Vec<Entry> = ["a", "b", "c"].iter().map(|id| entry(id, Phase::Up, 0)).collect();
    router.members_changed(NOW - SECOND, true, &entries);
    router
}

pub(super) fn entry(id: &str, phase: Phase, started: Tenths) -> Entry {
    let primary = id == "a";
    Entry { node: id.into(), zone: "z".into(), machine: "m".into(), set: 1, phase, started, primary }
}

/// An open command of the access, known under the key 0.
pub(super) fn open(router: &mut Router, kind: &str) {
    let kind = KINDS.iter().position(|k| *k == kind).expect("a known kind");
    let (ends, patience) = (NOW + 20_000, NOW + 20_000);
    let cmd = Open { id: "cmd".into(), kind, set: 1, ends, patience, needs: NOW, ..Open::default() };
    router.by_id.insert("cmd".into(), 0);
    router.open.insert(0, cmd);
}

pub(super) fn ended(ending: Ending, primary: Option<bool>) -> DispatchEnd {
    let note = Note { primary, position: 0 };
    let (report, idled) = (Report::default(), None);
    DispatchEnd { dispatch: 0, ending, took: 100, idled, over: false, note, report }
}

pub(super) fn probed(ending: Ending, report: Report) -> ProbeEnd {
    ProbeEnd { ending, took: 0, primary: None, report }
}

pub(super) fn claim(primary: bool, asked: Tenths) -> RoleClaim {
    RoleClaim { primary, asked }
}

#[rstest]
#[case::just_begun(1)]
#[case::long_begun(100)]
fn a_stream_that_began_lately_has_its_own_rate(#[case] seconds: Tenths) {
    let mut sum = Decay::default();
    (0..seconds * 100).for_each(|i| sum.add(NOW + i * 100, 10 * SECOND, 100.0));
    let rate = sum.rate_since(NOW + seconds * SECOND, 10 * SECOND, NOW);
    assert!((0.95..1.05).contains(&rate), "{rate}");
}

#[rstest]
fn a_member_that_starts_gets_nothing_at_once() {
    let mut r = router(&[("rules.warm_after_ms", "1000")]);
    let credits: Vec<f64> = (0..50)
        .map(|_| {
            r.restarted(NOW, NOW, 1);
            r.members[1].credit
        })
        .collect();
    assert!(credits.iter().all(|c| *c < r.groups.places[0].target as f64), "{credits:?}");
}

#[rstest]
#[case::becomes_primary(State::Unknown, 1, true, 700.0 % 250.0)]
#[case::is_primary(State::Healthy, 1, true, 700.0)]
#[case::replica(State::Unknown, 1, false, 700.0)]
#[case::warm(State::Unknown, 0, true, f64::INFINITY)]
fn a_cold_member_that_becomes_primary_loses_whole_commands(
    #[case] state: State,
    #[case] started: Tenths,
    #[case] primary: bool,
    #[case] left: f64,
) {
    let mut r = router(&[("rules.warm_after_ms", "1000000")]);
    let m = &mut r.members[1];
    (m.state, m.started, m.credit, m.credit_at) = (state, started, 7_000.0, NOW);
    r.learn_role(NOW, 1, claim(primary, NOW));
    assert_eq!(r.cold_credit(NOW, &r.members[1]), 10.0 * left);
}

#[rstest]
#[case(0.0)]
#[case(1.0)]
fn decaying_sum_halves(#[case] halves: f64) {
    let mut sum = Decay::default();
    sum.add(NOW, 100, 8.0);
    assert_eq!(sum.read(NOW + (100.0 * halves) as Tenths, 100), 8.0 / halves.exp2());
}

#[rstest]
#[case::miss(Ending::Miss, Some(false), State::TopologyReject)]
#[case::answer_of_a_primary(Ending::Answered, Some(true), State::Healthy)]
#[case::connection(Ending::ConnectFailed, None, State::TransportError)]
#[case::a_reset_is_asked_about(Ending::Reset, None, State::Unknown)]
#[case::time_out_proves_nothing(Ending::TimedOut, None, State::Unknown)]
fn endings_rank_members(#[case] ending: Ending, #[case] role: Option<bool>, #[case] state: State) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.dispatch_ended(NOW, "cmd", ended(ending, role));
    assert_eq!(r.members[1].state, state);
}

#[rstest]
#[case::listed_primary_first([State::Unknown; 3], &[], Some(0))]
#[case::walks_past_the_tried([State::TopologyReject, State::Unknown, State::Unknown], &[0], Some(1))]
#[case::state_before_list([State::TopologyReject, State::TopologyReject, State::Unknown], &[], Some(2))]
#[case::broken_but_listed([State::TransportError, State::TopologyReject, State::TopologyReject], &[], Some(0))]
#[case::broken([State::Unknown, State::TransportError, State::TransportError], &[0], None)]
#[case::round_over([State::Unknown; 3], &[0, 1, 2], None)]
fn write_walks_by_rank(#[case] states: [State; 3], #[case] tried: &[Node], #[case] first: Option<Node>) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().tried = tried.to_vec();
    for (m, state) in r.members.iter_mut().zip(states) {
        m.state = state;
    }
    assert_eq!(r.scout(NOW, 1, 0), first);
}

#[rstest]
#[case::misses(false, PAUSE, PAUSE)]
#[case::broken(true, PAUSE, 2 * PAUSE - 1)]
fn held_round_pauses(#[case] broken: bool, #[case] least: Tenths, #[case] most: Tenths) {
    let mut r = router(&[]);
    open(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.tried, cmd.broken_round) = (vec![0, 1, 2], broken);
    r.scout(NOW, 1, 0);
    assert!((NOW + least..=NOW + most).contains(&r.sets[&1].round_at));
}

#[rstest]
fn held_writes_wait_on_one_scout() {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.sets.get_mut(&1).unwrap().scout = Some(9);
    assert_eq!(r.scout(NOW, 1, 0), None);
}

#[rstest]
fn half_the_dispatches_end_a_round() {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().dispatches = 3;
    assert_eq!(r.scout(NOW, 1, 0), None);
}

#[rstest]
#[case::fresh_enough(NOW - 2_999, true)]
#[case::at_the_bound(NOW - 3_000, false)]
#[case::old(NOW - 9_000, false)]
fn bounded_reads_need_a_proven_position(#[case] position: Tenths, #[case] lawful: bool) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    r.members[1].position = position;
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
#[case::behind_the_token(-1, false)]
#[case::at_the_token(0, true)]
fn session_reads_need_their_token(#[case] past: Tenths, #[case] lawful: bool) {
    let mut r = router(&[]);
    open(&mut r, "session");
    r.members[1].position = NOW + past;
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
#[case::carried("carried", Some(500), NOW + 1 - 500)]
#[case::carried_none("carried", Some(0), 0)]
#[case::carried_left_out("carried", None, NOW + 1)]
#[case::remembered("remembered", None, 77)]
fn token_becomes_a_position(#[case] mode: &str, #[case] age: Option<Tenths>, #[case] needs: Tenths) {
    let mut r = router(&[("family_info.token_mode", mode)]);
    r.sessions.write("s".into(), 77, 0, SESSIONS_LEAST);
    let (id, command_group, session) = ("x".into(), "session".into(), Some("s".into()));
    let (customer, time_left, token_age) = (None, 9_000, age);
    let cmd = Command { id, command_group, customer, set: 1, time_left, token_age, session, repeat: false };
    r.command_arrived(NOW, cmd).unwrap();
    assert_eq!(r.open[&0].needs, needs);
}

#[rstest]
fn commit_of_an_answered_write_is_remembered() {
    let mut r = router(&[]);
    open(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.session, cmd.out) = (Some("s".into()), BTreeMap::from([(0, (0, NOW))]));
    let note = Note { primary: Some(true), position: 500 };
    r.dispatch_ended(NOW, "cmd", DispatchEnd { note, ..ended(Ending::Answered, None) });
    assert_eq!(r.sessions.written(&Some("s".into()), 0), 501);
}

#[rstest]
#[case::untouched(None, true)]
#[case::may_have_run(Some((0, NOW)), false)]
fn mutating_is_not_sent_again(#[case] ran: Option<(Node, Tenths)>, #[case] lawful: bool) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().maybe_ran = ran;
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
#[case::miss(Ending::Miss, None)]
#[case::full(Ending::Full, None)]
#[case::connection(Ending::ConnectFailed, None)]
#[case::never_sent(Ending::NeverSent, None)]
#[case::error(Ending::Error, Some((1, NOW)))]
#[case::time_out(Ending::TimedOut, Some((1, NOW)))]
#[case::reset(Ending::Reset, Some((1, NOW)))]
fn endings_prove_what_ran(#[case] ending: Ending, #[case] ran: Option<(Node, Tenths)>) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.dispatch_ended(NOW, "cmd", ended(ending, None));
    assert_eq!(r.open[&0].maybe_ran, ran);
}

#[rstest]
#[case::in_window("token", "cell", 10, true)]
#[case::past_window("token", "cell", 60_000, false)]
fn keyed_keeps_to_its_window(
    #[case] effect: &str,
    #[case] group: &str,
    #[case] age: Tenths,
    #[case] ok: bool,
) {
    let class = |name: &str| format!("request_classes.4.{name}");
    let (a, b, c) = (class("semantics"), class("group"), class("window_ms"));
    let mut r = router(&[(&a, effect), (&b, group), (&c, "5000")]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().maybe_ran = Some((0, NOW - age));
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, ok);
}

#[rstest]
#[case::drain_grace_but_for_a_hold_up("any", None, NOW, 3_500)]
#[case::age("bounded", None, NOW - 2_000, 1_000)]
#[case::window("write", Some(NOW - 48_000), NOW, 1_990)]
fn a_dispatch_says_until_when_it_may_be_written(
    #[case] kind: &str,
    #[case] ran: Option<Tenths>,
    #[case] position: Tenths,
    #[case] left: Tenths,
) {
    let class = |name: &str| format!("request_classes.4.{name}");
    let (a, b, c) = (class("semantics"), class("group"), class("window_ms"));
    let mut r = router(&[(&a, "token"), (&b, "all"), (&c, "5000"), ("rules.drain_grace_ms", "500")]);
    open(&mut r, kind);
    r.open.get_mut(&0).unwrap().maybe_ran = ran.map(|at| (0, at));
    r.members[1].position = position;
    assert!(r.send(NOW, 0, 1));
    let until = |d: &Decision| if let Decision::Dispatch { until, .. } = d { Some(*until) } else { None };
    assert_eq!(r.ready.iter().find_map(until), Some(NOW + left));
}

#[rstest]
#[case::refused_connections(Ending::ConnectFailed, NOW + 10_000)]
#[case::never_sent(Ending::NeverSent, NOW + 10_000)]
#[case::a_miss(Ending::Miss, NOW + 20_000)]
fn patience_grows_once_something_was_written(#[case] ending: Ending, #[case] patience: Tenths) {
    let mut r = router(&[]);
    open(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.patience, cmd.out) = (NOW + 10_000, BTreeMap::from([(0, (0, NOW))]));
    r.dispatch_ended(NOW, "cmd", ended(ending, None));
    assert_eq!(r.open[&0].patience, patience);
}

#[rstest]
#[case::in_time(NOW + 1, 0)]
#[case::out_of_patience(NOW, 1)]
fn a_waiting_command_out_of_patience_is_told_to_come_back(#[case] patience: Tenths, #[case] answers: usize) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.settle(NOW - 1, 0);
    r.open.get_mut(&0).unwrap().patience = patience;
    r.settle(NOW, 0);
    assert_eq!(r.ready.iter().filter(|d| matches!(d, Decision::Throttle { .. })).count(), answers);
}

#[rstest]
#[case::in_window(10, 0)]
#[case::past_window(60_000, 1)]
fn keyed_past_its_window_is_answered_at_once(#[case] age: Tenths, #[case] answers: usize) {
    let class = |name: &str| format!("request_classes.4.{name}");
    let (a, b, c) = (class("semantics"), class("group"), class("window_ms"));
    let mut r = router(&[(&a, "token"), (&b, "cell"), (&c, "5000")]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().maybe_ran = Some((0, NOW - age));
    r.settle(NOW, 0);
    assert_eq!(r.ready.iter().filter(|d| matches!(d, Decision::Fail { .. })).count(), answers);
}

#[rstest]
#[case::one_in_ten_is_later(2.4, true)]
#[case::one_in_seven_is_later(2.0, false)]
fn what_waits_is_given_up_before_it_is_hopeless(#[case] left: f64, #[case] waits: bool) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().ends = NOW + (r.usual(NOW, 0) * left) as Tenths;
    // Settled when it came, and again when it has waited.
    (0..2).for_each(|_| r.settle(NOW, 0));
    assert_eq!(r.open.contains_key(&0), waits);
}

#[rstest]
#[case::untouched(None, true)]
#[case::may_have_run(Some((0, NOW)), false)]
fn given_up_writes_are_throttled_only_when_harmless(
    #[case] ran: Option<(Node, Tenths)>,
    #[case] harmless: bool,
) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.open.get_mut(&0).unwrap().maybe_ran = ran;
    r.give_up(NOW, 0, GaveUp::Deadline);
    assert_eq!(matches!(r.ready[0], Decision::Throttle { .. }), harmless);
}

#[rstest]
#[case::within_the_bound(1_000, 0, true)]
#[case::behind_it(4_000, 0, false)]
#[case::tried_again(4_000, 1_100, true)]
fn a_miss_shuts_only_reads_that_need_as_much(
    #[case] behind: Tenths,
    #[case] later: Tenths,
    #[case] fresh: bool,
) {
    let mut r = router(&[("family_info.server_checks", "wait")]);
    open(&mut r, "session");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    let note = Note { primary: Some(false), position: NOW - behind };
    r.dispatch_ended(NOW, "cmd", DispatchEnd { note, ..ended(Ending::Miss, None) });
    r.open.get_mut(&0).unwrap().kind = 1;
    assert_eq!(r.fresh_for(NOW + later, &r.open[&0], &r.members[1]) > 0, fresh);
}

#[rstest]
#[case::late_benefit("true", "0.5", 2_500)]
#[case::none_when_late("true", "0", 6_000)]
#[case::not_allowed("false", "0", 0)]
fn throttled_clients_are_told_when_to_come_back(
    #[case] allowed: &str,
    #[case] late: &str,
    #[case] expected: Tenths,
) {
    let heeded = ("permissions.max_retry_after_ms", "600");
    let mut r =
        router(&[("permissions.retry_after", allowed), heeded, ("request_classes.0.late_value", late)]);
    open(&mut r, "any");
    r.give_up(NOW, 0, GaveUp::Deadline);
    assert_eq!(r.ready[0], Decision::Throttle { command: "cmd".into(), hold_off: expected });
}

#[rstest]
#[case::first_tries(false, false, 0)]
#[case::repeat(true, false, 1)]
#[case::beyond_its_share(false, true, 2)]
fn repeats_and_excess_wait_behind(#[case] repeat: bool, #[case] excess: bool, #[case] rank: u8) {
    let settings = [("projects.count", "1"), ("projects.0.name", "p"), ("projects.0.share", "0.5")];
    let mut r = router(&settings);
    for _ in 0..20 {
        r.beyond_share(NOW, if excess { "p" } else { "other" });
        r.all_traffic.add(NOW, USUAL_HALF, if excess { 0.0 } else { 1.0 });
    }
    let (id, command_group, customer) = ("x".into(), "any".into(), Some("p".into()));
    let (set, time_left, token_age, session) = (1, 9_000, None, None);
    let cmd = Command { id, command_group, customer, set, time_left, token_age, session, repeat };
    r.command_arrived(NOW, cmd).unwrap();
    assert_eq!(r.open[&0].rank, rank);
}

#[rstest]
#[case::drains(Phase::Draining, "false", true)]
#[case::gone(Phase::Removed, "false", true)]
#[case::gone_but_not_binding(Phase::Removed, "true", false)]
fn told_members_get_nothing_new(#[case] phase: Phase, #[case] soft: &str, #[case] shut: bool) {
    let mut r = router(&[("rules.soft_removal", soft)]);
    r.members_changed(NOW, false, &[entry("b", phase, 0)]);
    open(&mut r, "any");
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, !shut);
}

#[rstest]
#[case::left_out_of_a_full_list(true, true)]
#[case::left_out_of_a_change(false, false)]
fn absent_members_are_gone(#[case] whole: bool, #[case] shut: bool) {
    let mut r = router(&[]);
    r.members_changed(NOW, whole, &[entry("a", Phase::Up, 0)]);
    assert_eq!(r.knows("b"), !shut);
}

#[rstest]
#[case::nothing_out(None, None, "false", false)]
#[case::a_dispatch_out(Some((1, NOW)), None, "false", true)]
#[case::may_have_run_there(None, Some((1, NOW)), "false", true)]
#[case::not_binding_and_not_broken(None, None, "true", true)]
fn members_that_are_gone_are_forgotten(
    #[case] out: Option<(Node, Tenths)>,
    #[case] ran: Option<(Node, Tenths)>,
    #[case] soft: &str,
    #[case] known: bool,
) {
    let mut r = router(&[("rules.soft_removal", soft)]);
    open(&mut r, "any");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.out, cmd.maybe_ran) = (out.map(|o| (0, o)).into_iter().collect(), ran);
    r.members_changed(NOW, false, &[entry("b", Phase::Removed, 0)]);
    assert_eq!((r.knows("b"), r.sets[&1].nodes.contains(&1)), (known, known));
}

#[rstest]
#[case::gone("b", Phase::Removed, &["b"])]
#[case::never_known("x", Phase::Removed, &["x"])]
#[case::draining("b", Phase::Draining, &[])]
#[case::new("x", Phase::Up, &[])]
fn the_host_is_told_whom_to_forget(#[case] id: &str, #[case] phase: Phase, #[case] forgotten: &[&str]) {
    let mut r = router(&[]);
    r.members_changed(NOW, false, &[entry(id, phase, 0)]);
    let told =
        r.ready.iter().filter_map(|d| if let Decision::Forget { node } = d { Some(&**node) } else { None });
    assert_eq!(told.collect::<Vec<&str>>(), forgotten);
}

/// Besides the set of three, one of two: `d` and `e`.
#[rstest]
#[case::a_row(false, &[("b", 1, Phase::Draining)], &[1])]
#[case::a_new_member(false, &[("x", 2, Phase::Up)], &[2])]
#[case::a_member_gone(false, &[("d", 2, Phase::Removed)], &[2])]
#[case::rows_of_both(false, &[("b", 1, Phase::Up), ("d", 2, Phase::Up)], &[1, 2])]
#[case::nothing(false, &[], &[])]
#[case::one_absent(true, &[("a", 1, Phase::Up), ("b", 1, Phase::Up), ("d", 2, Phase::Up), ("e", 2, Phase::Up)], &[1, 2])]
#[case::a_set_absent(true, &[("a", 1, Phase::Up)], &[1, 2])]
fn a_change_of_the_list_touches_the_sets_that_it_names(
    #[case] whole: bool,
    #[case] rows: &[(&str, i64, Phase)],
    #[case] touched: &[i64],
) {
    let entries = |rows: &[(&str, i64, Phase)]| -> Vec<Entry> {
        rows.iter().map(|(id, set, phase)| Entry { set: *set, ..entry(id, *phase, 0) }).collect()
    };
    let mut r = router(&[]);
    r.members_changed(NOW, false, &entries(&[("d", 2, Phase::Up), ("e", 2, Phase::Up)]));
    r.dirty.clear();
    r.members_changed(NOW, whole, &entries(rows));
    assert_eq!(r.dirty.into_iter().collect::<Vec<i64>>(), touched);
}

#[rstest]
#[case::joined(&["a", "b", "c", "d"], &[1, 2, 3, 0])]
#[case::one_less(&["b", "c"], &[1, 0])]
fn ties_follow_the_sets_members(#[case] listed: &[&str], #[case] ties: &[usize]) {
    let mut r = router(&[("me", "3")]);
    let entries: Vec<Entry> = listed.iter().map(|id| entry(id, Phase::Up, 0)).collect();
    r.members_changed(NOW, true, &entries);
    let tie = |id: &&str| r.members[r.nodes[*id]].tie;
    assert_eq!(listed.iter().map(tie).collect::<Vec<usize>>(), ties);
}

#[rstest]
fn a_member_that_comes_back_under_its_id_is_known_again() {
    let mut r = router(&[]);
    r.members_changed(NOW, false, &[entry("b", Phase::Removed, 0), entry("c", Phase::Removed, 0)]);
    r.members_changed(NOW, false, &[entry("b", Phase::Up, NOW)]);
    r.members_changed(NOW, false, &[entry("a", Phase::Up, 0)]);
    assert!(r.knows("b"), "forgotten by the place that it had before");
    assert_eq!((r.sets[&1].nodes.len(), r.vacant.len()), (2, 1));
}

#[rstest]
#[case::most_break(4, 2, 1, NOW, Some(2_048))]
#[case::three_broke(3, 0, 1, NOW, None)]
#[case::few_break(6, 94, 1, NOW, None)]
#[case::they_break_later(4, 0, AT_ONCE + 1, NOW, None)]
#[case::long_ago(4, 2, 1, NOW + 4 * SHARE_HALF, None)]
fn connections_of_an_age_that_breaks_at_once_are_not_kept(
    #[case] broken: usize,
    #[case] whole: usize,
    #[case] took: Tenths,
    #[case] now: Tenths,
    #[case] most: Option<Tenths>,
) {
    let mut r = router(&[]);
    for ending in [vec![Ending::Reset; broken], vec![Ending::Answered; whole]].concat() {
        open(&mut r, "any");
        r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
        r.dispatch_ended(NOW, "cmd", DispatchEnd { took, idled: Some(3_000), ..ended(ending, None) });
    }
    assert_eq!(r.idle_most(now), most);
}

#[rstest]
fn members_under_ever_new_ids_take_the_places_of_those_gone() {
    let mut r = router(&[]);
    for i in 0..100 {
        let (id, before) = (format!("n{i}"), format!("n{}", i - 1));
        r.members_changed(NOW + i, false, &[entry(&before, Phase::Removed, 0), entry(&id, Phase::Up, 0)]);
    }
    assert_eq!((r.members.len(), r.nodes.len(), r.sets[&1].nodes.len()), (5, 4, 4));
}

#[rstest]
#[case::remembered(NOW - SESSION_KEPT + 2, NOW - SESSION_KEPT + 2)]
#[case::forgotten(NOW - SESSION_KEPT - 5, NOW - SESSION_KEPT)]
fn a_forgotten_session_counts_as_written_when_it_was_forgotten(#[case] wrote: Tenths, #[case] needs: Tenths) {
    let mut r = router(&[("family_info.token_mode", "remembered")]);
    (1..SESSIONS_LEAST).for_each(|i| r.sessions.write(format!("{i}"), 1, 0, SESSIONS_LEAST));
    r.sessions.write("s".into(), wrote, 0, SESSIONS_LEAST);
    open(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.session, cmd.out) = (Some("t".into()), BTreeMap::from([(0, (0, NOW))]));
    r.dispatch_ended(NOW, "cmd", ended(Ending::Answered, None));
    assert!(r.sessions.count() <= 2, "{}", r.sessions.count());
    let (id, command_group, session) = ("x".into(), "session".into(), Some("s".into()));
    let (customer, time_left, token_age, repeat) = (None, 9_000, None, false);
    let cmd = Command { id, command_group, customer, set: 1, time_left, token_age, session, repeat };
    r.command_arrived(NOW, cmd).unwrap();
    assert_eq!(r.open[&0].needs, needs);
}

/// This router's clock is behind theirs: a commit looks as if it were yet to come.
#[rstest]
#[case::a_little(1_500)]
#[case::an_hour(3_600 * SECOND)]
fn a_commit_that_looks_yet_to_come_is_remembered(#[case] ahead: Tenths) {
    let mut r = router(&[("family_info.token_mode", "remembered")]);
    r.clock = MemberClock::default();
    open(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.session, cmd.out) = (Some("s".into()), BTreeMap::from([(0, (0, NOW - 100))]));
    let note = Note { primary: Some(true), position: NOW - 20 + ahead };
    r.dispatch_ended(NOW, "cmd", DispatchEnd { note, ..ended(Ending::Answered, None) });
    assert!(r.sessions.written(&Some("s".into()), 0) > NOW - 20 + ahead);
}

/// A session whose last write is not told: it may be of just now, by the members' clock.
#[rstest]
fn a_token_that_is_left_out_is_as_late_as_the_members_clock_may_be() {
    let mut r = router(&[("family_info.token_mode", "carried")]);
    r.clock.learn(NOW, Evidence::of_any(NOW + SECOND, NOW));
    let (id, command_group) = ("x".into(), "session".into());
    let (customer, time_left, token_age, session, repeat) = (None, 9_000, None, None, false);
    let cmd = Command { id, command_group, customer, set: 1, time_left, token_age, session, repeat };
    r.command_arrived(NOW, cmd).unwrap();
    assert!(r.open[&0].needs > NOW + SECOND);
}

#[rstest]
#[case::warm(0, 0.0, 0.0, true)]
#[case::credit_left(NOW - 10, 2_500.0, 0.0, true)]
#[case::credit_spent(NOW - 10, 2_400.0, 0.0, false)]
#[case::credit_grown(NOW - 10, 2_400.0, 9e7, true)]
fn cold_members_have_a_credit(
    #[case] started: Tenths,
    #[case] credit: f64,
    #[case] usual: f64,
    #[case] ok: bool,
) {
    let mut r = router(&[("rules.start_capacity", "0.2"), ("rules.warm_after_ms", "18000")]);
    open(&mut r, "any");
    let m = &mut r.members[1];
    (m.started, m.credit, m.credit_at) = (started, credit, NOW - 100);
    r.done_work.add(NOW, USUAL_HALF, usual);
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, ok);
}

#[rstest]
#[case::seen_to_die(true, NOW)]
#[case::silent_only(false, 0)]
fn members_seen_to_die_come_back_cold(#[case] died: bool, #[case] started: Tenths) {
    let mut r = router(&[]);
    (r.members[1].state, r.members[1].died) = (State::TransportError, died);
    r.probe_ended(NOW, "b", probed(Ending::Answered, Report::default()));
    assert_eq!(r.members[1].started, started);
}

#[rstest]
fn turns_pass_over_replicas() {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.members[0].state = State::Healthy;
    r.members[1].turn = 1.0;
    assert_eq!(r.pick_reader(NOW, 1, 0), Some(2));
}

#[rstest]
#[case::first_has_room(0, Some(1))]
#[case::first_is_full(NOW + 1, None)]
fn long_reads_keep_to_one_replica(#[case] shy_until: Tenths, #[case] node: Option<Node>) {
    let mut r = router(&[("request_classes.0.aim_ms", "2000")]);
    open(&mut r, "any");
    (r.members[0].state, r.members[0].shy_until) = (State::Healthy, NOW + 1);
    (r.members[1].turn, r.members[1].shy_until) = (9.0, shy_until);
    assert_eq!(r.pick_reader(NOW, 1, 0), node);
}

#[rstest]
#[case::in_hand_well_inside_the_bound("700", false)]
#[case::beside_the_bound("800", true)]
fn a_read_is_long_that_may_outlast_the_tightest_bound(#[case] target: &str, #[case] long: bool) {
    let r = router(&[("request_classes.0.aim_ms", target)]);
    assert_eq!(r.outlasts(0), long);
}

#[rstest]
fn the_turns_cost_stays_with_the_long_reads_where_their_replica_lags() {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    r.members[0].state = State::Healthy;
    r.members[2].position = NOW;
    r.read_work.add(NOW, SHARE_HALF, 100.0);
    r.long_work.add(NOW, SHARE_HALF, 25.0);
    assert_eq!((r.pick_reader(NOW, 1, 0), r.members[2].turn), (Some(2), 1.0));
}

#[rstest]
#[case::crossing_is_free("0", 1.0)]
#[case::crossing_has_a_price("0.05", 3.0)]
fn turns_in_another_zone_cost_by_the_price_of_crossing(#[case] price: &str, #[case] turn: f64) {
    let mut r = router(&[("zone", "y"), ("penalties.cross_zone", price)]);
    open(&mut r, "any");
    r.members[0].state = State::Healthy;
    assert_eq!((r.pick_reader(NOW, 1, 0), r.members[1].turn), (Some(1), turn));
}

#[rstest]
#[case::primary_when_none_qualifies(NOW - 9_000, NOW, Some(0))]
#[case::replica_when_one_does(NOW - 9, NOW, Some(1))]
#[case::one_being_checked_is_waited_for(NOW - 9_000, NOW - SECOND, None)]
fn reads_fall_to_the_primary_last(
    #[case] position: Tenths,
    #[case] checked: Tenths,
    #[case] node: Option<Node>,
) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    (r.members[0].state, r.members[2].shut) = (State::Healthy, true);
    (r.members[1].position, r.members[1].checked_at) = (position, checked);
    assert_eq!(r.pick_reader(NOW, 1, 0), node);
}

#[rstest]
#[case::in_time(100, State::Unknown, None)]
#[case::too_long(1_000, State::Unknown, Some(0))]
#[case::broken(100, State::TransportError, Some(0))]
fn checks_are_waited_for_a_while(#[case] since: Tenths, #[case] state: State, #[case] node: Option<Node>) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    (r.members[0].state, r.members[2].shut) = (State::Healthy, true);
    let m = &mut r.members[1];
    (m.probing, m.asked_at, m.state) = (true, NOW - since, state);
    assert_eq!(r.pick_reader(NOW, 1, 0), node);
}

#[rstest]
#[case::its_turn(0.0, 1)]
#[case::not_its_turn(9.0, 0)]
fn a_name_that_never_answered_is_asked_beside_the_known(#[case] turn: f64, #[case] probes: usize) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.members[0].state = State::Healthy;
    (r.members[2].met, r.members[1].turn, r.members[2].turn) = (false, 1.0, turn);
    assert_eq!((r.pick_reader(NOW, 1, 0), r.ready.len()), (Some(1), probes));
}

#[rstest]
#[case::never_answered(false, BACKOFF_MAX)]
#[case::answered_before(true, PAUSE)]
fn a_name_that_never_answered_rests_long(#[case] met: bool, #[case] least: Tenths) {
    let mut r = router(&[]);
    (r.members[1].met, r.members[1].fails) = (met, 1);
    r.probe_ended(NOW, "b", probed(Ending::TimedOut, Report::default()));
    assert!((NOW + least..NOW + 2 * least).contains(&r.members[1].retry_at));
}

/// With a probe that is lost just before they are back, all within the 4 s that a router may idle for.
#[rstest]
#[case::never_met(false, 0)]
#[case::for_long(true, 9)]
fn while_no_member_works_one_is_asked_within_a_while(#[case] met: bool, #[case] fails: u32) {
    let mut r = router(&[]);
    for node in 0..3 {
        (r.members[node].met, r.members[node].fails) = (met, fails);
        r.break_member(NOW, node);
    }
    open(&mut r, "any");
    let at = NOW + 5 * SECOND / 2;
    assert_eq!(r.pick_reader(at, 1, 0), None);
    r.seek(at, 1);
    assert!(r.ready.iter().any(|d| matches!(d, Decision::Probe { .. })), "nobody is asked 2.5 s later");
}

/// What was set before the command was sent is due when its dispatch ends. It has no time for a third offer.
#[rstest]
#[case::not_yet_due(NOW + 9)]
#[case::due(NOW + 11)]
fn a_further_attempt_is_offered_though_an_old_settling_is_due(#[case] ends: Tenths) {
    let mut r = router(&[]);
    while r.next_decision(NOW).is_some() {}
    let (id, command_group) = ("cmd".into(), "write".into());
    let (time_left, customer, token_age, session) = (1_000, None, None, None);
    let command =
        Command { id, command_group, customer, set: 1, time_left, token_age, session, repeat: false };
    r.command_arrived(NOW, command).expect("a known group");
    let sent = std::iter::from_fn(|| r.next_decision(NOW)).any(|d| matches!(d, Decision::Dispatch { .. }));
    assert!(sent, "a first dispatch");
    r.dispatch_ended(ends, "cmd", ended(Ending::Miss, Some(false)));
    let decided: Vec<Decision> = std::iter::from_fn(|| r.next_decision(ends)).collect();
    assert!(decided.iter().any(|d| matches!(d, Decision::Dispatch { .. })), "{decided:?}");
}

#[rstest]
#[case::beside_one_that_works(State::Unknown, NOW - 3 * SECOND, false)]
#[case::beside_none(State::TransportError, NOW - 3 * SECOND, true)]
#[case::asked_lately(State::TransportError, NOW - SECOND, false)]
fn a_broken_member_rests_less_where_none_works(
    #[case] others: State,
    #[case] asked_at: Tenths,
    #[case] rested: bool,
) {
    let mut r = router(&[]);
    r.members.iter_mut().for_each(|m| m.state = others);
    let m = &mut r.members[1];
    (m.state, m.retry_at, m.asked_at) = (State::TransportError, NOW + 5 * SECOND, asked_at);
    assert_eq!(r.rested(NOW, &r.members[1]), rested);
}

#[rstest]
#[case::first_settled_later(NOW + 500)]
#[case::first_settled_in_the_same_turn(NOW)]
#[case::first_settled_before(NOW - 1)]
fn a_command_that_comes_back_is_settled_once(#[case] before: Tenths) {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.settle_at(before, 0);
    r.settle_at(NOW, 0);
    let settles: Vec<_> = r.agenda.iter().filter(|(_, task)| *task == Task::Settle(0)).collect();
    assert_eq!(settles, [&(NOW, Task::Settle(0))]);
}

/// The miss of a write comes in the turn in which its own first settling is due, past its patience.
#[rstest]
fn a_write_that_was_missed_late_is_offered_to_the_known_primary() {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.agenda.clear();
    r.settle_at(NOW - 1, 0);
    let cmd = r.open.get_mut(&0).expect("open");
    (cmd.patience, cmd.dispatches) = (NOW - 10, 1);
    cmd.out.insert(0, (1, NOW - 100));
    r.members[0].state = State::Healthy;
    r.dispatch_ended(NOW, "cmd", ended(Ending::Miss, Some(false)));
    r.open.get_mut(&0).expect("open").ends = NOW + 100;
    let sent = r.next_decision(NOW);
    assert!(matches!(&sent, Some(Decision::Dispatch { node, .. }) if &**node == "a"), "{sent:?}");
}

#[rstest]
fn a_seeking_round_asks_each_in_turn() {
    let mut r = router(&[]);
    open(&mut r, "write");
    (r.members[0].asked_at, r.members[0].checked_at) = (NOW, 0);
    r.members[1].checked_at = NOW - PAUSE;
    r.members[2].asked_at = NOW;
    r.seek(NOW, 1);
    assert_eq!(r.ready.pop_front(), Some(Decision::Probe { node: "b".into() }));
}

#[rstest]
#[case::none_proven(NOW - 9_000, 1)]
#[case::one_proven(NOW - 9, 0)]
fn waiting_reads_have_replicas_checked(#[case] position: Tenths, #[case] probes: usize) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    (r.members[1].position, r.members[1].turn) = (position, -1.0);
    r.pick_reader(NOW, 1, 0);
    assert_eq!(r.ready.iter().filter(|d| matches!(d, Decision::Probe { .. })).count(), probes);
}

#[rstest]
#[case::position_run_out(State::Unknown, NOW - 2_000, NOW - 1_999, true)]
#[case::asked_lately(State::Unknown, NOW - 1_000, NOW - 4_000, false)]
#[case::far_behind(State::Unknown, NOW - 2_000, NOW - 90_000, false)]
#[case::never_reported(State::Unknown, NOW - 2_000, 0, true)]
#[case::broken_before_its_backoff(State::TransportError, 0, 1, false)]
fn members_are_asked_about_by_need(
    #[case] state: State,
    #[case] checked_at: Tenths,
    #[case] position: Tenths,
    #[case] due: bool,
) {
    let r = router(&[]);
    let m = Member { state, checked_at, position, retry_at: NOW + 1, ..Member::default() };
    assert_eq!(r.ask_due(NOW, &m), due);
}

#[rstest]
#[case::newer_than_the_note(NOW + 1, State::Healthy)]
#[case::older_than_the_note(NOW - 1, State::TopologyReject)]
fn note_outweighs_an_older_report(#[case] position: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    (r.members[1].noted_at, r.members[1].state) = (NOW, State::TopologyReject);
    r.members[1].roles.claims_replica(NOW, NOW);
    r.learn_report(NOW + 2, NOW + 2, 1, Report { primary: Some(true), position: Some(position) });
    assert_eq!(r.members[1].state, state);
}

#[rstest]
#[case::one_heavy_command(1, State::Healthy)]
#[case::several_overdue(3, State::TransportError)]
fn silence_is_told_from_one_heavy_command(#[case] overdue: u32, #[case] state: State) {
    let mut r = router(&[]);
    open(&mut r, "write");
    (r.members[0].state, r.members[0].heard) = (State::Healthy, NOW - 9_000);
    let sent = NOW - (r.usual(NOW, 4) * 3.0) as Tenths;
    r.open.get_mut(&0).unwrap().out.insert(0, (0, sent));
    r.members[0].out = (0..overdue).map(|i| ((0, i), sent)).collect();
    r.overdue(NOW, 0, 0);
    assert_eq!(r.members[0].state, state);
}

#[rstest]
#[case::probe_due(NOW - 90_000, 1)]
#[case::answered_a_probe_since(NOW, 0)]
fn a_late_dispatch_earns_one_probe(#[case] checked_at: Tenths, #[case] probes: usize) {
    let mut r = router(&[]);
    open(&mut r, "any");
    let sent = NOW - 3_000;
    r.open.get_mut(&0).unwrap().out.insert(0, (1, sent));
    (r.members[1].heard, r.members[1].checked_at) = (NOW - 90_000, checked_at);
    r.overdue(NOW, 0, 0);
    assert_eq!(r.ready.iter().filter(|d| matches!(d, Decision::Probe { .. })).count(), probes);
}

#[rstest]
fn one_member_a_pause_is_asked_for_the_primary() {
    let mut r = router(&[]);
    r.members[0].checked_at = NOW;
    (0..2).for_each(|_| r.seek(NOW, 1));
    assert_eq!(r.ready, [Decision::Probe { node: "b".into() }]);
}

#[rstest]
#[case::refused_at_once(1, State::Healthy)]
#[case::not_reached(2_500, State::TransportError)]
fn refused_connection_is_not_death(#[case] took: Tenths, #[case] state: State) {
    let mut r = router(&[("permissions.dial_timeout_ms", "250")]);
    open(&mut r, "write");
    r.members[0].state = State::Healthy;
    r.open.get_mut(&0).unwrap().out.insert(0, (0, NOW));
    r.dispatch_ended(NOW, "cmd", DispatchEnd { took, ..ended(Ending::ConnectFailed, None) });
    assert_eq!((r.members[0].state, r.has_room(NOW, 0, 1.0, 0.0)), (state, state != State::Healthy));
}

#[rstest]
#[case::it_works("true", State::Healthy, &[Ending::Answered], State::Healthy, false)]
#[case::one_probe_broke_too("true", State::Healthy, &[Ending::Reset, Ending::Answered], State::Healthy, false)]
#[case::it_died("true", State::Healthy, &[Ending::ConnectFailed; 2], State::TransportError, true)]
#[case::it_was_broken_before("true", State::TransportError, &[], State::TransportError, true)]
#[case::nobody_may_ask("false", State::Healthy, &[], State::TransportError, true)]
fn a_connection_that_breaks_is_not_a_death(
    #[case] may_probe: &str,
    #[case] before: State,
    #[case] probes: &[Ending],
    #[case] state: State,
    #[case] died: bool,
) {
    let mut r = router(&[("permissions.may_probe", may_probe)]);
    open(&mut r, "write");
    r.members[0].state = before;
    r.open.get_mut(&0).unwrap().out.insert(0, (0, NOW));
    r.dispatch_ended(NOW, "cmd", ended(Ending::Reset, None));
    probes.iter().for_each(|ending| r.probe_ended(NOW, "a", probed(*ending, Report::default())));
    assert_eq!((r.members[0].state, r.members[0].died), (state, died));
}

#[rstest]
#[case::connections_scarce(5.0, true)]
#[case::enough(0.0, false)]
fn idle_connections_are_let_go_while_scarce(#[case] refusals: f64, #[case] gone: bool) {
    let mut r = router(&[]);
    (r.agenda, r.dirty) = Default::default();
    r.scarce.add(NOW, USUAL_HALF, refusals);
    r.used.insert(1);
    assert_eq!(r.next_decision(NOW) == Some(Decision::LetGo { node: "b".into() }), gone);
}

#[rstest]
fn connections_of_a_forgotten_member_are_not_let_go_by_name() {
    let mut r = router(&[]);
    r.scarce.add(NOW, USUAL_HALF, 2.0);
    r.used.insert(1);
    r.members_changed(NOW, false, &[entry("b", Phase::Removed, 0)]);
    let decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW)).collect();
    assert!(!decisions.iter().any(|d| matches!(d, Decision::LetGo { .. })), "{decisions:?}");
}

#[rstest]
#[case::probes_answer(NOW - 10, true)]
#[case::nothing_answers(NOW - 50_000, false)]
fn lost_dispatches_leave_the_window(#[case] checked_at: Tenths, #[case] left: bool) {
    let mut r = router(&[]);
    open(&mut r, "write");
    let sent = NOW - 10_000;
    r.open.get_mut(&0).unwrap().out.insert(0, (0, sent));
    r.members[0].out.insert((0, 0), sent);
    (r.members[0].heard, r.members[0].checked_at) = (sent - 1, checked_at);
    r.overdue(NOW, 0, 0);
    assert_eq!(r.members[0].out.is_empty(), left);
}

#[rstest]
#[case::first(0, State::Healthy)]
#[case::second(1, State::TransportError)]
fn one_lost_probe_proves_nothing(#[case] fails: u32, #[case] state: State) {
    let mut r = router(&[]);
    (r.members[0].state, r.members[0].fails) = (State::Healthy, fails);
    r.probe_ended(NOW, "a", probed(Ending::TimedOut, Report::default()));
    assert_eq!(r.members[0].state, state);
}

#[rstest]
#[case::one_out("2", 1, 0, true)]
#[case::its_part_out("2", 2, 0, false)]
#[case::no_more_connections("2", 1, 1, false)]
#[case::many_routers("100", 0, 0, false)]
fn a_slow_primary_is_kept_busy_by_all_routers_together(
    #[case] routers: &str,
    #[case] out: u64,
    #[case] refused: u32,
    #[case] sent: bool,
) {
    let mut r = router(&[("balancers", routers)]);
    open(&mut r, "write");
    let m = &mut r.members[0];
    (m.state, m.window, m.shy_until, m.refused) = (State::Healthy, WINDOW_LEAST, NOW + 500, refused);
    m.out = (1..=out).map(|key| ((key, 0), NOW)).collect();
    assert_eq!(r.offer(NOW, 1, 0), sent);
}

#[rstest]
fn full_member_gets_half_its_window() {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.members[1].window = 8.0;
    r.dispatch_ended(NOW, "cmd", ended(Ending::Full, None));
    assert_eq!(r.members[1].window, 4.0);
}

#[rstest]
#[case::answered_late(Ending::Answered, 3_000, false)]
#[case::answered_early(Ending::Answered, 100, true)]
fn window_follows_latency(#[case] ending: Ending, #[case] took: Tenths, #[case] grows: bool) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.members[1].window = 1.5;
    r.dispatch_ended(NOW, "cmd", DispatchEnd { took, ..ended(ending, None) });
    assert_eq!(r.members[1].window > 1.5, grows);
}

#[rstest]
#[case::late_answers(1.0, 0, true)]
#[case::late_answers_cheapest_group(1.0, 4, false)]
#[case::early_answers(0.1, 4, true)]
fn late_answers_slow_the_pace(#[case] ratio: f64, #[case] rank: usize, #[case] sent: bool) {
    let mut r = router(&[]);
    (r.pace, r.paced_at) = (1.0, NOW - SECOND);
    r.asked_work.add(NOW, SLOW_HALF, 1e5);
    (0..50).for_each(|_| r.slow.add(NOW, SLOW_HALF, ratio));
    r.in_pace(NOW, rank);
    r.allowance -= 20_000.0;
    assert_eq!(r.in_pace(NOW, rank), sent);
}

#[rstest]
#[case::answers_in_time(1.0, 0.1, false)]
#[case::answers_late(1.0, 1.0, true)]
#[case::unknown_while_the_whole_is_slow(1.0, f64::NAN, true)]
#[case::unknown_while_the_whole_is_well(0.1, f64::NAN, false)]
fn the_pace_holds_for_sets_that_are_slow_themselves(#[case] all: f64, #[case] own: f64, #[case] paced: bool) {
    let mut r = router(&[]);
    open(&mut r, "any");
    let number = r.open[&0].set;
    (0..50).for_each(|_| r.slow.add(NOW, SLOW_HALF, all));
    let set = r.sets.get_mut(&number).unwrap();
    (0..6).filter(|_| !own.is_nan()).for_each(|_| set.slow.add(NOW, SET_HALF, own));
    // Far behind its pace, with commands of a set whose answers may tell otherwise.
    (r.pace, r.paced_at, r.allowance) = (PACE_LEAST, NOW, -1e9);
    r.settle(NOW, 0);
    r.serve(NOW, number);
    assert_eq!(r.open[&0].out.is_empty(), paced);
}

#[rstest]
#[case::first_error(false, 1.0, false)]
#[case::second_error(true, 1.0, true)]
#[case::nothing_cures_errors(false, 0.0, true)]
fn errors_earn_one_dispatch_where_that_helps(#[case] erred: bool, #[case] cured: f64, #[case] done: bool) {
    let mut r = router(&[]);
    open(&mut r, "any");
    (0..20).for_each(|_| r.cured.add(NOW, USUAL_HALF, cured));
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.out, cmd.erred) = (BTreeMap::from([(0, (1, NOW))]), erred);
    r.dispatch_ended(NOW, "cmd", ended(Ending::Error, None));
    r.settle(NOW, 0);
    assert_eq!(r.ready.iter().any(|d| matches!(d, Decision::Throttle { .. })), done);
}

#[rstest]
#[case::no_long_reads(0.0, 1.0)]
#[case::a_quarter_of_the_work(25.0, 2.0)]
fn turns_cost_more_where_long_reads_go(#[case] long: f64, #[case] turn: f64) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.members[0].state = State::Healthy;
    (r.members[1].turn, r.members[2].turn) = (0.0, 0.5);
    r.read_work.add(NOW, SHARE_HALF, 100.0);
    r.long_work.add(NOW, SHARE_HALF, long);
    assert_eq!((r.pick_reader(NOW, 1, 0), r.members[1].turn), (Some(1), turn));
}

#[rstest]
#[case::one(1.0, true)]
#[case::a_half(0.5, false)]
fn window_below_one_is_a_pause(#[case] window: f64, #[case] room: bool) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.members[1].window = window;
    r.dispatch_ended(NOW, "cmd", DispatchEnd { took: 2_000, ..ended(Ending::Answered, None) });
    assert_eq!(r.has_room(NOW, 1, 1.0, 0.0), room);
}

#[rstest]
#[case::first_failure(0, "automatic")]
#[case::never_past_the_clock_where_lists_are_pushed(9, "automatic")]
#[case::nor_where_they_are_asked_for(9, "manual")]
fn failed_list_is_asked_for_again(#[case] fails: u32, #[case] mode: &str) {
    let mut r = router(&[("rules.ask_every_ms", "10000"), ("membership_mode", mode)]);
    r.list_fails = fails;
    r.list_failed(NOW);
    assert!(r.agenda.iter().any(|(at, task)| *task == Task::Watch && *at > NOW && *at < NOW + SECOND));
}

#[rstest]
#[case::departed("left")]
#[case::unknown("never seen")]
fn news_of_what_is_over_changes_nothing(#[case] id: &str) {
    let mut r = router(&[]);
    r.dispatch_ended(NOW, id, ended(Ending::Answered, Some(true)));
    assert_eq!(r.members[0].state, State::Unknown);
}

#[rstest]
fn unreadable_setting_is_named() {
    let told = Told::from([("request_classes.count".to_owned(), "many".to_owned())]);
    let why = Router::start(told, 1, NOW).err().expect("no start");
    assert!(why.contains("request_classes.count") && why.contains("many"));
}

#[rstest]
#[case::first_listed_by_many("300", "d", 0, 0)]
#[case::first_listed_by_few("3", "d", 0, 1)]
#[case::started_again("300", "a", NOW - 10, 1)]
fn many_routers_ask_about_members_that_start_again_not_when_first_listed(
    #[case] balancers: &str,
    #[case] id: &str,
    #[case] started: Tenths,
    #[case] asks: usize,
) {
    let mut r = router(&[("balancers", balancers)]);
    r.agenda.clear();
    r.members_changed(NOW, false, &[entry(id, Phase::Up, started)]);
    assert_eq!(r.agenda.iter().filter(|(_, task)| matches!(task, Task::Ask(_))).count(), asks);
}

#[rstest]
#[case::few_routers("3", 0.3)]
#[case::many_routers("300", 0.01)]
fn time_outs_narrow_a_window_down_to_the_fleets_least(#[case] balancers: &str, #[case] least: f64) {
    let mut r = router(&[("balancers", balancers)]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.members[1].window = least;
    r.dispatch_ended(NOW, "cmd", DispatchEnd { took: 20_000, ..ended(Ending::TimedOut, None) });
    assert!((r.members[1].window - least).abs() < 1e-9, "window {}", r.members[1].window);
}

#[rstest]
#[case::refuses_beside_an_answered_probe(1, 3)]
#[case::never_refused(0, 0)]
fn idle_connections_are_let_go_where_working_members_refuse(#[case] refused: u32, #[case] let_go: usize) {
    let mut r = router(&[]);
    for _ in 0..2 {
        r.members[1].refused = refused;
        r.probe_ended(NOW, "b", probed(Ending::Answered, Report::default()));
    }
    let all = std::iter::from_fn(|| r.next_decision(NOW));
    assert_eq!(all.filter(|d| matches!(d, Decision::LetGo { .. })).count(), let_go);
}

#[rstest]
fn a_forgotten_member_has_no_connection_to_let_go() {
    let mut r = router(&[]);
    r.scarce.add(NOW, USUAL_HALF, 9.0);
    r.used.insert(1);
    r.members_changed(NOW, false, &[entry("b", Phase::Removed, 0)]);
    (r.agenda, r.dirty) = Default::default();
    assert_eq!(r.next_decision(NOW), Some(Decision::Forget { node: "b".into() }));
    assert_eq!(r.next_decision(NOW), None);
}

#[rstest]
fn equal_turns_go_by_rotated_ids() {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.members[0].state = State::Healthy;
    (r.members[1].tie, r.members[2].tie) = (1, 0);
    assert_eq!(r.pick_reader(NOW, 1, 0), Some(2));
}

#[rstest]
#[case::writes_have_it(1_200, true, false)]
#[case::reads_too(2_800, true, true)]
fn small_windows_of_a_primary_spare_less_for_reads(
    #[case] past: Tenths,
    #[case] room: bool,
    #[case] read: bool,
) {
    let mut r = router(&[]);
    open(&mut r, "any");
    (1..3).for_each(|n| r.members[n].shut = true);
    (r.members[0].state, r.members[0].window) = (State::Healthy, 0.25);
    r.open.get_mut(&0).unwrap().out.insert(0, (0, NOW));
    r.dispatch_ended(NOW, "cmd", ended(Ending::Answered, Some(true)));
    assert_eq!(r.has_room(NOW + past, 0, 1.0, 0.0), room);
    assert_eq!(r.pick_reader(NOW + past, 1, 0).is_some(), read);
}

#[rstest]
#[case::never_noted(None, true)]
#[case::noted_as_primary(Some(true), true)]
#[case::noted_as_replica_before(Some(false), false)]
fn a_report_excuses_no_old_read_after_a_note(#[case] noted: Option<bool>, #[case] lawful: bool) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    r.members[1].state = State::Healthy;
    noted.into_iter().for_each(|primary| match primary {
        true => _ = r.members[1].roles.claims_primary(NOW - 2),
        false => r.members[1].roles.claims_replica(NOW - 2, NOW - 2),
    });
    r.learn_report(NOW - 1, NOW - 1, 1, Report { primary: Some(true), position: Some(NOW - 90 * SECOND) });
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
fn no_router_sends_at_once_to_a_member_that_has_just_started() {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    r.members[1].position = NOW;
    let mut lawful = |_: &u32| {
        r.restarted(NOW, NOW, 1);
        r.lawful_for(NOW, 0, 1) > 0
    };
    assert_eq!((0..100).filter(|n| lawful(n)).count(), 0);
}

#[rstest]
fn the_pace_rises_faster_than_it_falls() {
    let mut r = router(&[]);
    (r.pace, r.paced_at) = (0.5, NOW - SECOND);
    r.in_pace(NOW, 0);
    assert!(r.pace >= 1.0, "{}", r.pace);
}

#[rstest]
#[case::permitted("true", true)]
#[case::not_permitted("false", false)]
fn what_nobody_waits_for_is_called_off_as_far_as_it_may_be(#[case] cancel: &str, #[case] written: bool) {
    let mut r = router(&[("permissions.cancel", cancel)]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r.command_left("cmd");
    let call_off = Decision::CallOff { command: "cmd".into(), dispatch: 0, written };
    assert_eq!(r.ready, [call_off]);
}

#[rstest]
#[case::nothing_came(|_: &mut Router| (), true)]
#[case::drained(|r: &mut Router| r.members_changed(NOW + 1, false, &[entry("b", Phase::Draining, 0)]), false)]
#[case::gone(|r: &mut Router| r.members_changed(NOW + 1, false, &[entry("b", Phase::Removed, 0)]), false)]
#[case::restarted(|r: &mut Router| r.members_changed(NOW + 1, false, &[entry("b", Phase::Up, NOW)]), false)]
#[case::restarted_in_this_moment(|r: &mut Router| r.members_changed(NOW, false, &[entry("b", Phase::Up, NOW)]), false)]
#[case::back_from_its_death(|r: &mut Router| r.restarted(NOW + 1, NOW + 1, 1), false)]
#[case::back_in_this_moment(|r: &mut Router| r.restarted(NOW, NOW, 1), false)]
#[case::its_client_left(|r: &mut Router| r.command_left("cmd"), false)]
#[case::over(|r: &mut Router| r.open.get_mut(&0).unwrap().ends = NOW + 2, false)]
fn what_waited_for_its_connection_is_written_only_if_it_still_may(
    #[case] comes: impl Fn(&mut Router),
    #[case] may: bool,
) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    comes(&mut r);
    assert_eq!(r.may_write(NOW + 2, "cmd", 0), may);
}

#[rstest]
#[case::the_list_is_heard(0, NOW - 5, State::Unknown, true)]
#[case::turned_away_without_a_list(1, NOW - 5, State::Unknown, false)]
#[case::never_turned_away(1, 0, State::Unknown, true)]
#[case::the_primary_would_have_handed_over(1, NOW - 5, State::Healthy, true)]
fn without_a_list_a_replica_that_turns_dispatches_away_may_be_draining(
    #[case] list_fails: u32,
    #[case] turned_away: Tenths,
    #[case] state: State,
    #[case] lawful: bool,
) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.list_fails = list_fails;
    (r.members[1].turned_away, r.members[1].state) = (turned_away, state);
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
#[case::turned_away(Ending::Full, NOW - 9, 0, NOW)]
#[case::answered_what_was_sent_before(Ending::Answered, NOW - 9, NOW - 5, NOW - 5)]
#[case::answered_what_was_sent_later(Ending::Answered, NOW - 2, NOW - 5, 0)]
fn a_later_answer_shows_that_a_member_takes_work_again(
    #[case] ending: Ending,
    #[case] sent: Tenths,
    #[case] before: Tenths,
    #[case] after: Tenths,
) {
    let mut r = router(&[]);
    open(&mut r, "any");
    r.members[1].turned_away = before;
    r.open.get_mut(&0).unwrap().out.insert(0, (1, sent));
    r.dispatch_ended(NOW, "cmd", ended(ending, None));
    assert_eq!(r.members[1].turned_away, after);
}

#[rstest]
fn two_command_groups_of_one_name_end_the_start() {
    let told = [
        ("count", "2"),
        ("0.name", "a"),
        ("1.name", "a"),
        ("0.hard_limit_ms", "9"),
        ("1.hard_limit_ms", "9"),
    ];
    let told = told.map(|(name, value)| (format!("request_classes.{name}"), value.to_owned())).into();
    let why = Router::start(told, 7, NOW).err().expect("not to be told apart");
    assert_eq!(why, "expected another name for request_classes.1, found 'a' at 0 too");
}

#[rstest]
#[case::effect("request_classes.4.semantics", "pure")]
#[case::access("family_info.class_read", "any,bounded,session,fresh,fresh")]
#[case::target("request_classes.4.aim_ms", "50")]
#[case::late_share("request_classes.4.late_value", "0")]
#[case::benefit("request_classes.4.importance", "9")]
#[case::attempts("permissions.max_attempts", "1")]
#[case::hold_off("permissions.retry_after", "false")]
#[case::name("request_classes.4.name", "other")]
#[case::dropped("request_classes.count", "4")]
fn a_command_in_hand_keeps_the_group_it_came_in_with(#[case] name: &str, #[case] value: &str) {
    let mut r = router(&[]);
    open(&mut r, "write");
    let group = r.groups.places[4].clone();
    r.reconfigure(told(&[(name, value)])).expect("settings that are whole");
    assert_eq!(r.groups.places[r.open[&0].kind], group);
    assert_ne!(r.groups.named.get("write"), Some(&4));
    assert_eq!(r.order[0], 4, "it has its turn: {:?}", r.order);
}

#[rstest]
#[case::effect("request_classes.4.semantics", "pure", |r: &Router, at: usize| r.groups.places[at].effect == Effect::Replayable)]
#[case::target("request_classes.4.aim_ms", "50", |r: &Router, at: usize| r.groups.places[at].target == 500)]
#[case::attempts("permissions.max_attempts", "1", |r: &Router, at: usize| r.groups.places[at].attempts == 1)]
#[case::cheapest("request_classes.4.aim_ms", "50", |r: &Router, _: usize| r.cheap == 1_500)]
#[case::tightest("family_info.lag_allowed_ms", "0,40,0,0,0", |r: &Router, _: usize| r.tightest == 400)]
#[case::many_routers("balancers", "100", |r: &Router, _: usize| r.least < WINDOW_LEAST)]
#[case::checks("family_info.server_checks", "wait", |r: &Router, _: usize| r.node_checks)]
#[case::cancel("permissions.cancel", "false", |r: &Router, _: usize| !r.allows("permissions.cancel"))]
fn new_settings_hold_for_what_comes(
    #[case] name: &str,
    #[case] value: &str,
    #[case] holds: fn(&Router, usize) -> bool,
) {
    let mut r = router(&[]);
    r.reconfigure(told(&[(name, value)])).expect("settings that are whole");
    assert!(holds(&r, r.groups.named["write"]));
}

#[rstest]
#[case::no_count("request_classes.count", "many")]
#[case::no_name("request_classes.count", "6")]
#[case::name_twice("request_classes.4.name", "any")]
#[case::no_time("request_classes.4.hard_limit_ms", "soon")]
#[case::no_number("rules.drain_grace_ms", "half a second")]
#[case::less_than_nothing("rules.fall_ms", "-1")]
#[case::endless("rules.warm_after_ms", "inf")]
#[case::not_a_number("penalties.cross_zone", "NaN")]
#[case::attempts("permissions.max_attempts", "1.5")]
#[case::share("projects.count", "1")]
fn wrong_settings_change_nothing(#[case] name: &str, #[case] value: &str) {
    let mut r = router(&[]);
    let before = (r.told.clone(), r.groups.places.clone(), r.groups.named.clone(), r.order.clone());
    let wrong = r.reconfigure(told(&[("request_classes.0.aim_ms", "77"), (name, value)]));
    assert!(wrong.is_err());
    assert_eq!((r.told, r.groups.places, r.groups.named, r.order), before);
}

#[rstest]
#[case::same(&[], 5)]
#[case::other_target(&[("request_classes.0.aim_ms", "77")], 5)]
#[case::renamed(&[("request_classes.0.name", "other")], 5)]
fn places_of_command_groups_are_used_again(#[case] change: &[(&str, &str)], #[case] most: usize) {
    let mut r = router(&[]);
    (0..100)
        .for_each(|i| r.reconfigure(told(if i % 2 == 0 { change } else { &[] })).expect("whole settings"));
    assert!(r.groups.places.len() <= most, "{}", r.groups.places.len());
}

#[rstest]
fn what_was_measured_goes_on_under_its_name() {
    let share = |share| [("projects.count", "1"), ("projects.0.name", "acme"), ("projects.0.share", share)];
    let mut r = router(&share("0.5"));
    r.beyond_share(NOW, "acme");
    r.groups.places[0].latency.add(NOW, USUAL_HALF, 900.0);
    let (usual, counted) = (r.usual(NOW, 0), r.shares["acme"].1);
    let (count, name, share) = ("projects.count", "projects.0.name", "projects.0.share");
    let change = [(count, "1"), (name, "acme"), (share, "0.2"), ("request_classes.0.importance", "3")];
    r.reconfigure(told(&change)).expect("settings that are whole");
    assert_eq!((r.usual(NOW, r.groups.named["any"]), r.shares["acme"]), (usual, (0.2, counted)));
}

#[rstest]
#[case::dearer("3")]
#[case::cheaper("0.1")]
fn commands_in_hand_leave_the_others_their_places_in_the_pace(#[case] benefit: &str) {
    let mut r = router(&[]);
    open(&mut r, "write");
    let change = told(&[("request_classes.4.importance", benefit)]);
    let behind = |r: &Router| r.order.iter().rev().position(|place| *place == r.groups.named["any"]);
    let alone = Router::start(change.clone(), 7, NOW).expect("settings that are whole");
    r.reconfigure(change).expect("settings that are whole");
    assert_eq!(behind(&r), behind(&alone));
}

/// A write is out at the member `b`, and its connection can't be opened here.
fn not_dialled(r: &mut Router) {
    open(r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.dispatches, cmd.tried) = (1, vec![1]);
    cmd.out.insert(0, (1, NOW));
    r.dispatch_ended(NOW, "cmd", ended(Ending::NotDialled, None));
}

#[rstest]
fn a_dial_that_fails_here_is_no_attempt_and_tells_nothing_of_the_member() {
    let mut r = router(&[]);
    r.members[1].state = State::Healthy;
    not_dialled(&mut r);
    let (cmd, m) = (&r.open[&0], &r.members[1]);
    assert_eq!((cmd.attempts(), cmd.maybe_ran, cmd.broken_round, cmd.tried.len()), (0, None, false, 0));
    assert_eq!((m.state, m.refused, m.fails, m.died), (State::Healthy, 0, 0, false));
    assert!(m.dial_at > NOW && m.dial_at <= NOW + 20, "{}", m.dial_at - NOW);
}

#[rstest]
#[case::not_yet(0, None)]
#[case::after_the_pause(20, Some(1))]
fn a_member_that_cannot_be_dialled_is_dialled_again_after_a_pause(
    #[case] later: Tenths,
    #[case] node: Option<Node>,
) {
    let mut r = router(&[]);
    (r.members[0].state, r.members[2].state) = (State::TopologyReject, State::TopologyReject);
    (r.members[0].noted_at, r.members[2].noted_at) = (NOW, NOW);
    not_dialled(&mut r);
    assert_eq!(r.scout(NOW + later, 1, 0), node);
    assert!(r.sets[&1].round_at <= NOW, "the round goes on");
}

#[rstest]
fn a_probe_that_cannot_be_dialled_is_no_silence_and_is_made_again() {
    let mut r = router(&[]);
    (r.members[1].refused, r.members[1].probing) = (1, true);
    r.probe_ended(NOW, "b", probed(Ending::NotDialled, Report::default()));
    let m = &r.members[1];
    assert_eq!((m.state, m.fails, m.died, m.probing), (State::Unknown, 0, false, false));
    assert!(r.agenda.contains(&(m.dial_at, Task::Ask(1))));
}

#[rstest]
fn dials_that_fail_here_for_long_count_as_a_member_out_of_reach() {
    let mut r = router(&[]);
    for _ in 0..16 {
        assert_eq!(r.members[1].state, State::Unknown);
        r.probe_ended(NOW, "b", probed(Ending::NotDialled, Report::default()));
    }
    assert_eq!((r.members[1].state, r.members[1].died), (State::TransportError, false));
}

#[rstest]
fn an_open_connection_ends_the_pause_between_dials() {
    let mut r = router(&[]);
    r.probe_ended(NOW, "b", probed(Ending::NotDialled, Report::default()));
    r.probe_ended(NOW, "b", probed(Ending::Answered, Report::default()));
    assert_eq!((r.members[1].local_errors, r.members[1].dial_at), (0, 0));
}

#[rstest]
#[case::newer_than_its_last_answer(NOW + 5)]
#[case::older_than_its_last_answer(NOW - 5_000)]
fn a_report_of_a_demotion_ends_a_primarys_excuse(#[case] position: Tenths) {
    let mut r = router(&[]);
    open(&mut r, "session");
    r.learn_role(NOW, 0, claim(true, NOW));
    (r.members[0].noted_at, r.members[0].position) = (NOW, position);
    let out = (0, NOW);
    r.open.get_mut(&0).unwrap().out.insert(0, out);
    r.open.get_mut(&0).unwrap().needs = NOW + 10;
    assert!(r.may_write(NOW + 20, "cmd", 0), "a primary has it all");
    // Its connection is still being opened when a probe tells.
    r.probe_ended(
        NOW + 30,
        "a",
        probed(Ending::Answered, Report { primary: Some(false), position: Some(position) }),
    );
    assert!(!r.may_write(NOW + 40, "cmd", 0), "a replica may lack what the session wrote");
}

#[rstest]
#[case::asked_since(10, true)]
#[case::asked_before(11, false)]
fn an_answer_as_primary_renews_the_excuse_that_a_report_ended(#[case] took: Tenths, #[case] renews: bool) {
    let mut r = router(&[]);
    open(&mut r, "session");
    r.learn_role(NOW, 0, claim(true, NOW));
    let replica = Report { primary: Some(false), position: Some(NOW - 5_000) };
    r.probe_ended(NOW, "a", probed(Ending::Answered, replica));
    r.open.get_mut(&0).unwrap().out.insert(0, (0, NOW));
    r.dispatch_ended(NOW + 10, "cmd", DispatchEnd { took, ..ended(Ending::Answered, Some(true)) });
    let cmd = &r.open[&0];
    assert_eq!(r.takes_for(NOW + 20, cmd, &r.members[0]) > 0, renews);
}

#[rstest]
#[case::never(None, false, false)]
#[case::by_an_answer(Some(0), false, true)]
#[case::by_a_report_that_may_be_old(Some(REPORT_DELAY), false, false)]
#[case::by_a_report_where_the_clock_is_theirs(Some(REPORT_DELAY), true, true)]
fn a_bounded_read_needs_a_clock_that_a_primary_has_borne_out(
    #[case] age: Option<Tenths>,
    #[case] exact: bool,
    #[case] lawful: bool,
) {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    r.members[1].position = NOW;
    r.clock = MemberClock::default();
    exact.then(|| r.shares_clock());
    age.into_iter().for_each(|age| _ = r.clock.learn(NOW, Evidence::of_primary(NOW, NOW, NOW, age)));
    assert_eq!(r.lawful_for(NOW, 0, 1) > 0, lawful);
}

#[rstest]
fn a_primary_that_a_clock_behind_calls_yet_to_come_is_known_all_the_same() {
    let mut r = router(&[]);
    r.learn_report(NOW, NOW, 1, Report { primary: Some(true), position: Some(NOW + 36_000 * SECOND) });
    assert_eq!((r.members[1].state, r.members[1].position), (State::Healthy, 0));
}

#[rstest]
#[case::clock_right(0, 20)]
#[case::clock_behind(3_600, 20)]
#[case::clock_ahead(-60, 20)]
fn a_member_that_has_just_started_is_cold_whatever_the_clock_says(
    #[case] apart: Tenths,
    #[case] ago: Tenths,
) {
    let mut r = router(&[("rules.warm_after_ms", "18000")]);
    r.clock = MemberClock::default();
    let theirs = NOW + apart * SECOND;
    r.members_changed(NOW, false, &[entry("b", Phase::Up, theirs - ago)]);
    assert!(r.cold_credit(NOW, &r.members[1]).is_finite());
    let answer = |r: &mut Router, at: Tenths| {
        r.learn_report(at, at, 0, Report { primary: Some(true), position: Some(at + apart * SECOND) })
    };
    answer(&mut r, NOW);
    for at in (1..6).map(|i| NOW + i * SECOND / 6) {
        answer(&mut r, at);
        assert!(r.cold_credit(at, &r.members[1]).is_finite(), "cold while the clock becomes known");
    }
    assert!(r.cold_credit(NOW + SECOND, &r.members[1]).is_finite(), "cold once the clock is known");
    assert!(r.cold_credit(NOW + 19 * SECOND, &r.members[1]).is_infinite(), "warm in its time");
}

#[rstest]
#[case::past(NOW - 1, NOW - 1)]
#[case::yet_to_come(NOW + 10_000, 0)]
#[case::endless(Tenths::MAX, 0)]
#[case::before_all_time(Tenths::MIN, 0)]
fn a_position_yet_to_come_is_none(#[case] told: Tenths, #[case] want: Tenths) {
    for primary in [None, Some(true), Some(false)] {
        let mut r = router(&[]);
        open(&mut r, "bounded");
        r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW - 100));
        let end = DispatchEnd { note: Note { primary, position: told }, ..ended(Ending::Answered, primary) };
        r.dispatch_ended(NOW, "cmd", end);
        // What it tells as the primary says nothing of it as a replica.
        let want = if primary == Some(true) { 0 } else { want };
        assert_eq!(r.members[1].position, want, "{primary:?} in a note");
        let mut r = router(&[]);
        r.probe_ended(NOW, "b", probed(Ending::Answered, Report { primary, position: Some(told) }));
        assert_eq!(r.members[1].position, want, "{primary:?} in a report");
        assert_eq!(r.clock.now(NOW), NOW, "one moves no clock");
    }
}

#[rstest]
fn the_host_may_log_why_a_command_is_given_up_and_which_states_change() {
    let mut r = router(&[]);
    open(&mut r, "write");
    r.learn_role(NOW, 0, claim(true, NOW));
    r.learn_role(NOW, 1, claim(true, NOW));
    r.open.get_mut(&0).unwrap().maybe_ran = Some((0, NOW));
    r.settle(NOW, 0);
    let state = |node: &str, from, to, reason| Event::State { node: node.into(), from, to, reason };
    let expected = [
        state("a", State::Unknown, State::Healthy, StateReason::Role),
        state("b", State::Unknown, State::Healthy, StateReason::Role),
        state("a", State::Healthy, State::Unknown, StateReason::Superseded),
        Event::GaveUp { command: "cmd".into(), reason: GaveUp::MayHaveRun, attempts: 0 },
    ];
    assert_eq!(r.take_events(), expected);
    assert_eq!(r.take_events(), []);
}

/// After a slow time the usual latency stays high for a while, and what has little time left is given up once it has waited. A check
/// that is out when it comes is waited for all the same: its answer comes within a few milliseconds.
#[rstest]
#[case::in_a_slow_time(1_500.0)]
#[case::in_a_usual_time(500.0)]
fn a_read_with_little_time_left_waits_for_the_check_that_is_out(#[case] usual: f64) {
    let mut r = router(&[]);
    let kind = r.groups.named["bounded"];
    (0..100).for_each(|_| r.groups.places[kind].latency.add(NOW, USUAL_HALF, usual));
    r.members[2].shut = true;
    (r.members[1].met, r.members[1].position, r.members[1].checked_at) = (true, NOW - 4_000, NOW - SECOND);
    let (id, command_group, customer, time_left) = ("x".into(), "bounded".into(), None, 2_000);
    let (set, token_age, session, repeat) = (1, None, None, false);
    let cmd = Command { id, command_group, customer, set, time_left, token_age, session, repeat };
    r.command_arrived(NOW, cmd).unwrap();
    let mut decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW)).collect();
    decisions.retain(|d| matches!(d, Decision::Probe { node } if &**node == "b"));
    assert_eq!(decisions.len(), 1, "its position is asked for");
    let refused = std::iter::from_fn(|| r.next_decision(NOW + 2 * r.tick)).next();
    assert_eq!(refused, None, "not given up while the check is out");
    let report = Report { primary: Some(false), position: Some(NOW) };
    r.probe_ended(NOW + 30, "b", probed(Ending::Answered, report));
    let sent = std::iter::from_fn(|| r.next_decision(NOW + 30))
        .any(|d| matches!(d, Decision::Dispatch { node, .. } if &*node == "b"));
    assert!(sent);
}
