//! Model checks every order of events of one lender and two borrowers, with lost, late, duplicated and reordered
//! messages and a restart of each: the summed rate that they may spend never exceeds the lender's lendable rate.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use stateright::{Checker, Model, Property};
use vetchkeel_shared::budgets::{Allotment, Borrower, Lender, LoanGrant, LoanRequest, Rate, Terms};
use vetchkeel_shared::{Name, Start, Tenths};

const LENDABLE: Rate = 2;
/// Half the duration of a loan.
const TICK: Tenths = 500;

struct Escrow {
    lender: Terms,
    borrower: Terms,
    /// By how much a restarted lender shortens its wait before it lends; 0 is correct.
    skipped_wait: Tenths,
    ticks: i64,
    /// How many requests each borrower may send in one incarnation.
    requests: [u64; 2],
    /// How many incarnations the lender and the first borrower may have.
    incarnations: (u32, u32),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: i64,
    lender: Lender,
    incarnation: u32,
    own_use: Rate,
    borrowers: Vec<(Borrower, u32, u64)>,
    // Any message in flight may arrive at any time, any number of times, or never.
    requests_in_flight: BTreeSet<(usize, u32, LoanRequest)>,
    grants_in_flight: BTreeSet<(usize, u32, LoanGrant)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    SendRequest(usize, Rate),
    DeliverRequest(usize, u32, LoanRequest),
    DeliverGrant(usize, u32, LoanGrant),
    ReserveOwnUse(Rate),
    RestartLender,
    RestartBorrower(usize),
}

impl State {
    /// Drops messages that the code under test rejects now and forever: they have no effect.
    fn drop_rejected_messages(&mut self) {
        let now = self.tick * TICK;
        let State { lender, borrowers, requests_in_flight, grants_in_flight, .. } = self;
        grants_in_flight
            .retain(|(at, of, grant)| borrowers[*at].0.clone().handle_grant(now, incarnation(*of), grant));
        if now >= lender.lends_from() {
            requests_in_flight.retain(|(at, of, request)| {
                lender.clone().handle_request(now, &name(*at), incarnation(*of), request).is_some()
            });
        }
    }
}

fn name(at: usize) -> Name {
    Name::new(["a", "b", "lender"][at]).expect("short")
}

fn incarnation(count: u32) -> Start {
    Start { at: 0, count }
}

fn terms(loan_duration: Tenths) -> Terms {
    let allotments = BTreeMap::from([(name(2), Allotment { floor: 0, lendable: LENDABLE })]);
    Terms::new(1, LENDABLE, allotments, loan_duration, 0, 0).expect("valid terms")
}

impl Model for Escrow {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let lender = Lender::new(&self.lender, &name(2), incarnation(1), -self.lender.lender_duration());
        let borrower = |_| (Borrower::new(&self.borrower, incarnation(1)), 1, 0);
        let borrowers = (0..2).map(borrower).collect();
        let (requests_in_flight, grants_in_flight) = (BTreeSet::new(), BTreeSet::new());
        vec![State {
            tick: 0,
            lender,
            incarnation: 1,
            own_use: 0,
            borrowers,
            requests_in_flight,
            grants_in_flight,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for (at, (_, incarnation, requests)) in state.borrowers.iter().enumerate() {
            if *requests < self.requests[at] {
                // The first borrower may also request less than before; the second always requests all.
                actions.extend((at == 0 && *requests > 0).then_some(Action::SendRequest(at, 0)));
                actions.push(Action::SendRequest(at, LENDABLE));
            }
            if at == 0 && *incarnation < self.incarnations.1 {
                actions.push(Action::RestartBorrower(at));
            }
        }
        if state.incarnation < self.incarnations.0 {
            actions.push(Action::RestartLender);
        }
        if state.own_use == 0 {
            actions.push(Action::ReserveOwnUse(LENDABLE));
        }
        actions.extend(
            state
                .requests_in_flight
                .iter()
                .cloned()
                .map(|(at, incarnation, request)| Action::DeliverRequest(at, incarnation, request)),
        );
        actions.extend(
            state
                .grants_in_flight
                .iter()
                .cloned()
                .map(|(at, incarnation, grant)| Action::DeliverGrant(at, incarnation, grant)),
        );
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        let now = state.tick * TICK;
        match action {
            Action::Tick => {
                state.tick += 1;
                state.own_use = state.lender.reserve(state.tick * TICK, 0);
            }
            Action::SendRequest(at, want) => {
                let (borrower, incarnation, requests) = &mut state.borrowers[at];
                *requests += 1;
                let request = borrower.request(now, want);
                state.requests_in_flight.insert((at, *incarnation, request));
            }
            Action::DeliverRequest(at, of, request) => {
                let grant = state.lender.handle_request(now, &name(at), incarnation(of), &request)?;
                state.grants_in_flight.insert((at, state.incarnation, grant));
            }
            Action::DeliverGrant(at, of, grant) => {
                if !state.borrowers[at].0.handle_grant(now, incarnation(of), &grant) {
                    return None;
                }
            }
            Action::ReserveOwnUse(want) => state.own_use = state.lender.reserve(now, want),
            Action::RestartLender => {
                state.incarnation += 1;
                state.own_use = 0;
                state.lender = Lender::new(
                    &self.lender,
                    &name(2),
                    incarnation(state.incarnation),
                    now - self.skipped_wait,
                );
            }
            Action::RestartBorrower(at) => {
                let (borrower, of, requests) = &mut state.borrowers[at];
                *of += 1;
                *requests = 0;
                *borrower = Borrower::new(&self.borrower, incarnation(*of));
            }
        }
        state.drop_rejected_messages();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn total_rate(state: &State) -> Rate {
            let now = state.tick * TICK;
            state.own_use + state.borrowers.iter().map(|(borrower, _, _)| borrower.rate(now)).sum::<Rate>()
        }
        let mut properties = vec![
            Property::always("never above the lendable rate", |_, state| total_rate(state) <= LENDABLE),
            Property::sometimes("all on loan to one borrower", |_, state: &State| {
                state.borrowers[0].0.rate(state.tick * TICK) == LENDABLE
            }),
            Property::sometimes("both borrowers have a loan", |_, state: &State| {
                state.borrowers.iter().all(|(borrower, _, _)| borrower.rate(state.tick * TICK) > 0)
            }),
        ];
        if self.incarnations.0 > 1 {
            properties.push(Property::sometimes("lends again in a new incarnation", |_, state: &State| {
                state.incarnation == 2 && state.lender.lent() > 0
            }));
        }
        properties
    }
}

fn escrow(
    lender: Tenths,
    borrower: Tenths,
    skipped_wait: Tenths,
    ticks: i64,
    requests: [u64; 2],
    incarnations: (u32, u32),
) -> Escrow {
    Escrow { lender: terms(lender), borrower: terms(borrower), skipped_wait, ticks, requests, incarnations }
}

#[rstest]
#[case::many_requests(1, [3, 1], (1, 1))]
#[case::no_restart(4, [2, 1], (1, 1))]
#[case::lender_restarts(4, [2, 1], (2, 1))]
#[case::borrower_restarts(4, [1, 1], (1, 2))]
fn summed_rates_stay_within_the_lendable_rate_in_every_order(
    #[case] ticks: i64,
    #[case] requests: [u64; 2],
    #[case] incarnations: (u32, u32),
) {
    let checker =
        escrow(1_000, 1_000, 0, ticks, requests, incarnations).checker().threads(3).spawn_bfs().join();
    println!(
        "{ticks} {requests:?} {incarnations:?}: {} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn model_finds_a_loan_longer_than_the_lenders_count() {
    let checker = escrow(1_000, 1_500, 0, 4, [1, 1], (1, 1)).checker().threads(3).spawn_bfs().join();
    assert!(checker.discovery("never above the lendable rate").is_some());
}

#[test]
fn model_finds_a_lender_that_lends_at_once_after_restart() {
    let checker = escrow(1_000, 1_000, 1_000, 4, [1, 1], (2, 1)).checker().threads(3).spawn_bfs().join();
    assert!(checker.discovery("never above the lendable rate").is_some());
}
