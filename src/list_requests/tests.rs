use super::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;
use std::collections::BTreeSet;

const SECOND: Tenths = 10_000;
const START: Tenths = 1_000 * SECOND;
/// The version of the list that the router has at first.
const KNOWN: u64 = 41;

/// A host by the clock: it makes each request that is due after a pause of the module.
struct Host {
    requests: ListRequests,
    now: Tenths,
    /// The pause after a failure, and when those that run now end: one, and one more from before a reload.
    pause: Tenths,
    retries: BTreeSet<Tenths>,
    open: Vec<RequestId>,
    made: Vec<NewRequest>,
}

impl Host {
    fn new(version: u64) -> Host {
        let requests = ListRequests::new(version);
        let mut host = Host {
            requests,
            now: START,
            pause: SECOND / 5,
            retries: BTreeSet::new(),
            open: vec![],
            made: vec![],
        };
        host.request();
        host
    }

    fn request(&mut self) {
        if let Some(request) = self.requests.next_request(self.now) {
            self.open.retain(|open| Some(*open) != request.replaces);
            self.open.push(request.id);
            self.made.push(request);
        }
    }

    fn schedule(&mut self) {
        if self.requests.needs_retry() {
            self.retries.insert(self.now + self.pause);
        }
    }

    fn break_connection(&mut self, id: RequestId) {
        self.close(&[id]);
        self.requests.connection_closed(id);
        self.schedule();
    }

    fn close(&mut self, closed: &[RequestId]) {
        self.open.retain(|open| !closed.contains(open));
    }

    /// Lets the time pass up to `until` after the start.
    fn run(&mut self, until: Tenths) {
        let until = START + until;
        loop {
            let due = self.requests.due_at();
            let next =
                due.into_iter().chain(self.retries.first().copied()).min().filter(|next| *next <= until);
            let Some(next) = next else { break };
            self.now = next;
            if self.retries.remove(&next) {
                self.request();
                continue;
            }
            assert!(self.requests.handle_timeout(next).is_some(), "a time limit that is due passes");
            self.schedule();
        }
        self.now = until;
    }

    /// Input of this request's connection; an empty line, if it is not the head.
    fn input(&mut self, id: RequestId, is_first: bool) -> InputEffect {
        let input = ListInput { at: self.now, is_first, made_progress: !is_first, ..ListInput::default() };
        let effect = self.requests.input_received(id, input);
        self.close(&effect.closes);
        effect
    }

    /// A part of a value that stays incomplete.
    fn piece(&mut self, id: RequestId) {
        let input = ListInput { at: self.now, ..ListInput::default() };
        self.requests.input_received(id, input);
    }

    fn list(&mut self, id: RequestId, version: u64) -> Result<AcceptedList, OlderVersion> {
        assert!(self.open.contains(&id), "request {id} is closed");
        let received = self.requests.list_received(id, self.now, version, true);
        match &received {
            Ok(accepted) => self.close(&accepted.closes.clone()),
            Err(_) => self.break_connection(id),
        }
        received
    }

    /// How many requests were made up to `until` after the start.
    fn made_by(&mut self, until: Tenths) -> usize {
        self.run(until);
        self.made.len()
    }
}

#[rstest]
fn late_answer_to_the_first_request_is_accepted_and_the_others_are_closed() {
    let mut host = Host::new(KNOWN);
    assert_eq!(host.made_by(5 * SECOND), 4);
    let accepted = host.list(1, 42).expect("a newer list");
    assert_eq!((accepted.is_current, accepted.closes.len()), (true, 2));
    assert_eq!(host.open, [1]);
    assert_eq!(host.requests.due_at(), Some(START + 8 * SECOND), "only silence matters now");
    host.request();
    assert_eq!(host.made.len(), 4, "the watch needs no further request");
}

#[rstest]
fn open_requests_are_bounded_and_their_distances_grow() {
    let mut host = Host::new(KNOWN);
    for tenth in 0..300 {
        host.run(tenth * SECOND / 10);
        assert!(host.open.len() <= MAX_PENDING, "{:?}", host.open);
        assert_eq!(host.open[0], 1, "the oldest is kept");
    }
    // 1.2 s apart up to the third, then 1.7 s.
    assert_eq!(host.made.len(), 19);
    assert!(host.made.iter().all(|request| request.since_version == 0));
}

#[rstest]
#[case::never_begun(&[], true)]
#[case::in_long_pieces(&[10, 20, 30], false)]
fn oldest_request_is_replaced_once_it_has_stalled(#[case] heard_at: &[Tenths], #[case] replaced: bool) {
    let mut host = Host::new(KNOWN);
    for second in heard_at {
        host.run(second * SECOND);
        host.piece(1);
    }
    host.run(32 * SECOND);
    assert_eq!(!host.open.contains(&1), replaced);
}

#[rstest]
fn list_of_a_later_request_counts_if_the_first_two_are_never_answered() {
    let mut host = Host::new(KNOWN);
    assert_eq!(host.made_by(4 * SECOND), 3);
    host.list(3, 42).expect("a newer list");
    assert_eq!(host.open, [3]);
}

#[rstest]
fn head_does_not_answer_a_request_for_the_full_list() {
    let mut host = Host::new(KNOWN);
    host.input(1, true);
    host.input(1, false);
    assert_eq!(host.made_by(2 * SECOND), 2, "a further one is made beside it");
    assert_eq!(host.open, [1, 2]);
}

/// A watch whose list is in use, and that has been closed by discovery.
fn closed_watch() -> Host {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.break_connection(1);
    host.run(SECOND / 2);
    assert_eq!(host.made[1].since_version, 42, "the changes since then are requested");
    host
}

#[rstest]
fn request_for_changes_is_answered_by_a_head_in_time() {
    let mut host = closed_watch();
    assert!(!host.input(2, true).nothing_changed);
    host.run(3 * SECOND);
    assert_eq!(host.made.len(), 2);
    // Without an empty line it is silent after 3 s, and the full list is requested.
    host.run(4 * SECOND);
    assert_eq!(host.made[2].since_version, 0);
}

#[rstest]
fn late_head_does_not_answer_a_request_for_changes_but_an_empty_line_does() {
    let mut host = closed_watch();
    assert_eq!(host.made_by(3 * SECOND), 4);
    host.input(2, true);
    assert_eq!(host.open, [2, 3, 4]);
    host.input(2, false);
    assert_eq!(host.open, [2]);
}

#[rstest]
fn older_list_is_confirmed_only_by_a_request_made_after_it() {
    let mut host = Host::new(KNOWN);
    assert_eq!(host.made_by(3 * SECOND / 2), 2);
    assert_eq!(host.list(1, 7), Err(OlderVersion { in_use: KNOWN }));
    // It was on its way already when the first one came.
    assert_eq!(host.list(2, 7), Err(OlderVersion { in_use: KNOWN }));
    host.run(2 * SECOND);
    assert!(host.list(3, 7).expect("confirmed").is_current);
    assert_eq!(host.list(3, 6), Err(OlderVersion { in_use: 7 }));
}

#[rstest]
fn rejected_list_leads_to_a_request_beside_one_that_is_not_overdue() {
    let mut host = Host::new(KNOWN);
    host.run(3 * SECOND / 2);
    assert!(host.list(1, 7).is_err());
    host.run(2 * SECOND);
    assert_eq!(host.open, [2, 3]);
    // A list of the request before that is not older is used all the same.
    assert!(host.list(2, 43).is_ok());
}

#[rstest]
fn value_that_cannot_be_used_leads_to_a_request_for_the_full_list() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.requests.invalid_value_received(1);
    host.break_connection(1);
    host.run(SECOND / 2);
    assert_eq!(host.made[1].since_version, 0);
}

#[rstest]
fn reload_closes_unanswered_requests_and_keeps_the_watch_until_the_new_list() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    assert_eq!(host.requests.change_address(), []);
    host.request();
    assert_eq!(host.made[1].since_version, 0);
    let still_read = host.list(1, 43).expect("a change");
    assert!(!still_read.is_current && still_read.closes.is_empty());
    assert_eq!(host.list(1, 40), Err(OlderVersion { in_use: 43 }));
    // It has broken, which makes no difference to the request at the new address.
    assert!(host.retries.is_empty());
    assert_eq!(host.requests.change_address(), [2]);
    host.request();
    assert!(host.list(3, 5).expect("versions of the new address").is_current);
}

#[rstest]
fn reload_keeps_the_watch_of_the_address_before_through_a_second_reload() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.requests.change_address();
    host.request();
    let closes = host.requests.change_address();
    host.close(&closes);
    host.request();
    assert_eq!(host.open, [1, 3]);
    assert_eq!(host.list(3, 5).expect("the first list there").closes, [1]);
}

#[rstest]
fn failures_of_overdue_requests_schedule_no_second_retry() {
    let mut host = Host::new(KNOWN);
    host.run(SECOND);
    assert_eq!(host.retries.len(), 1);
    host.requests.connection_closed(1);
    assert!(!host.requests.needs_retry());
    host.run(2 * SECOND);
    assert_eq!(host.made.len(), 2);
}

#[rstest]
fn silent_watch_is_read_until_another_request_brings_the_list() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.run(5 * SECOND);
    assert_eq!(host.open, [1, 2, 3]);
    let change = host.list(1, 43).expect("a change that came slowly");
    assert!(!change.is_current && change.closes.is_empty());
    // What the silent watch has brought is not undone, and only a later request confirms an older list.
    assert_eq!(host.list(2, 42), Err(OlderVersion { in_use: 43 }));
    assert_eq!(host.list(1, 42), Err(OlderVersion { in_use: 43 }));
    assert_eq!(host.list(3, 44).expect("a newer list").closes, []);
}

#[rstest]
fn silent_watch_that_speaks_again_holds_back_no_request() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.run(4 * SECOND);
    host.input(1, false);
    host.run(9 * SECOND);
    assert_eq!(host.open, [1, 2, 5, 6], "requests go on, and the silent watch is read beside them");
    host.list(2, 42).expect("the list");
    assert_eq!(host.open, [2]);
}

#[rstest]
fn silent_watch_is_read_after_a_reload_too() {
    let mut host = Host::new(KNOWN);
    host.list(1, 42).expect("a newer list");
    host.run(4 * SECOND);
    let closes = host.requests.change_address();
    host.close(&closes);
    host.request();
    assert!(!host.list(1, 43).expect("a change").is_current);
    // The versions of the new address are its own.
    assert_eq!(host.list(3, 5).expect("the first list there").closes, [1]);
}

/// One event drawn by chance at an open request, or a reload.
fn random_event(host: &mut Host, chance: &mut WyRand) {
    let id = host.open[chance.generate_range(0..host.open.len())];
    match chance.generate_range(0..8) {
        0 => _ = host.input(id, true),
        1 => _ = host.input(id, false),
        2 => host.piece(id),
        3 | 4 => _ = host.list(id, chance.generate_range(KNOWN - 2..KNOWN + 20)),
        5 => {
            host.requests.invalid_value_received(id);
            host.break_connection(id);
        }
        6 => host.break_connection(id),
        _ => {
            let closes = host.requests.change_address();
            host.close(&closes);
            host.request();
        }
    }
}

/// Guards against a state in which nothing is due any more, so that no list would ever arrive, and against open connections
/// that add up.
#[rstest]
fn something_is_always_due_and_connections_are_bounded() {
    for seed in 0..500 {
        let (mut host, mut chance) = (Host::new(KNOWN), WyRand::new_seed(seed));
        for _ in 0..200 {
            if !host.open.is_empty() && chance.generate_range(0..3) > 0 {
                random_event(&mut host, &mut chance);
            }
            assert!(host.open.len() <= MAX_PENDING + 1, "seed {seed}: {:?}", host.open);
            assert!(host.retries.len() <= 2, "seed {seed}: {:?}", host.retries);
            let is_due = host.requests.due_at().is_some() || !host.retries.is_empty();
            assert!(is_due, "seed {seed}: nothing is due, open {:?}", host.open);
            let passes = chance.generate_range(0..2 * SECOND as u64) as Tenths;
            host.run(host.now - START + passes);
        }
    }
}
