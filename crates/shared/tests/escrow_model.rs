//! Every order of events of one lender and two borrowers, with lost, late, doubled and reordered messages and a restart of
//! each: the sum of what they may spend never passes the lender's home.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use stateright::{Checker, Model, Property};
use vetchkeel_shared::budgets::{Ask, Borrower, Grant, Lender, Rate, Seat, Terms};
use vetchkeel_shared::{Name, Start, Tenths};

const HOME: Rate = 2;
/// Half a loan.
const TICK: Tenths = 500;

struct Escrow {
    lender: Terms,
    borrower: Terms,
    /// How long a lender of a new life waits before it lends, beside what it should: 0 is right.
    hurry: Tenths,
    ticks: i64,
    /// How many asks each borrower may send in one life.
    asks: [u64; 2],
    /// How many lives the lender and the first borrower may have.
    lives: (u32, u32),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: i64,
    lender: Lender,
    life: u32,
    own: Rate,
    borrowers: Vec<(Borrower, u32, u64)>,
    // Whatever was sent may come at any time, any number of times, or never.
    asked: BTreeSet<(usize, u32, Ask)>,
    granted: BTreeSet<(usize, u32, Grant)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Ask(usize, Rate),
    Hear(usize, u32, Ask),
    Take(usize, u32, Grant),
    Own(Rate),
    NewLender,
    NewBorrower(usize),
}

impl State {
    /// Leaves out messages that are refused now and for good (by the code under test itself): they change nothing.
    fn drop_dead_letters(&mut self) {
        let now = self.tick * TICK;
        let State { lender, borrowers, asked, granted, .. } = self;
        granted.retain(|(at, of, grant)| borrowers[*at].0.clone().granted(now, life(*of), grant));
        if now >= lender.quiet_until() {
            asked.retain(|(at, of, ask)| lender.clone().asked(now, &name(*at), life(*of), ask).is_some());
        }
    }
}

fn name(at: usize) -> Name {
    Name::new(["a", "b", "lender"][at]).expect("short")
}

fn life(count: u32) -> Start {
    Start { at: 0, count }
}

fn terms(length: Tenths) -> Terms {
    let seats = BTreeMap::from([(name(2), Seat { floor: 0, home: HOME })]);
    Terms::new(1, HOME, seats, length, 0, 0).expect("good terms")
}

impl Model for Escrow {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let lender = Lender::new(&self.lender, &name(2), life(1), -self.lender.lent_for());
        let borrower = |_| (Borrower::new(&self.borrower, life(1)), 1, 0);
        let borrowers = (0..2).map(borrower).collect();
        let (asked, granted) = (BTreeSet::new(), BTreeSet::new());
        vec![State { tick: 0, lender, life: 1, own: 0, borrowers, asked, granted }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for (at, (_, life, asks)) in state.borrowers.iter().enumerate() {
            if *asks < self.asks[at] {
                // One may also want less than it did; the other always wants all.
                actions.extend((at == 0 && *asks > 0).then_some(Action::Ask(at, 0)));
                actions.push(Action::Ask(at, HOME));
            }
            if at == 0 && *life < self.lives.1 {
                actions.push(Action::NewBorrower(at));
            }
        }
        if state.life < self.lives.0 {
            actions.push(Action::NewLender);
        }
        if state.own == 0 {
            actions.push(Action::Own(HOME));
        }
        actions.extend(state.asked.iter().cloned().map(|(at, life, ask)| Action::Hear(at, life, ask)));
        actions.extend(state.granted.iter().cloned().map(|(at, life, grant)| Action::Take(at, life, grant)));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        let now = state.tick * TICK;
        match action {
            Action::Tick => {
                state.tick += 1;
                state.own = state.lender.own(state.tick * TICK, 0);
            }
            Action::Ask(at, want) => {
                let (borrower, life, asks) = &mut state.borrowers[at];
                *asks += 1;
                let ask = borrower.ask(now, want);
                state.asked.insert((at, *life, ask));
            }
            Action::Hear(at, of, ask) => {
                let grant = state.lender.asked(now, &name(at), life(of), &ask)?;
                state.granted.insert((at, state.life, grant));
            }
            Action::Take(at, of, grant) => {
                if !state.borrowers[at].0.granted(now, life(of), &grant) {
                    return None;
                }
            }
            Action::Own(want) => state.own = state.lender.own(now, want),
            Action::NewLender => {
                state.life += 1;
                state.own = 0;
                state.lender = Lender::new(&self.lender, &name(2), life(state.life), now - self.hurry);
            }
            Action::NewBorrower(at) => {
                let (borrower, of, asks) = &mut state.borrowers[at];
                *of += 1;
                *asks = 0;
                *borrower = Borrower::new(&self.borrower, life(*of));
            }
        }
        state.drop_dead_letters();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn sum(state: &State) -> Rate {
            let now = state.tick * TICK;
            state.own + state.borrowers.iter().map(|(borrower, _, _)| borrower.rate(now)).sum::<Rate>()
        }
        let mut properties = vec![
            Property::always("never above the home", |_, state| sum(state) <= HOME),
            Property::sometimes("all on loan to one", |_, state: &State| {
                state.borrowers[0].0.rate(state.tick * TICK) == HOME
            }),
            Property::sometimes("both hold some", |_, state: &State| {
                state.borrowers.iter().all(|(borrower, _, _)| borrower.rate(state.tick * TICK) > 0)
            }),
        ];
        if self.lives.0 > 1 {
            properties.push(Property::sometimes("lends again in a new life", |_, state: &State| {
                state.life == 2 && state.lender.lent() > 0
            }));
        }
        properties
    }
}

fn escrow(
    lender: Tenths,
    borrower: Tenths,
    hurry: Tenths,
    ticks: i64,
    asks: [u64; 2],
    lives: (u32, u32),
) -> Escrow {
    Escrow { lender: terms(lender), borrower: terms(borrower), hurry, ticks, asks, lives }
}

#[rstest]
#[case::many_asks(1, [3, 1], (1, 1))]
#[case::no_restart(4, [2, 1], (1, 1))]
#[case::lender_restarts(4, [2, 1], (2, 1))]
#[case::borrower_restarts(4, [1, 1], (1, 2))]
fn every_order_of_events_keeps_the_sum(
    #[case] ticks: i64,
    #[case] asks: [u64; 2],
    #[case] lives: (u32, u32),
) {
    let checker = escrow(1_000, 1_000, 0, ticks, asks, lives).checker().threads(3).spawn_bfs().join();
    println!(
        "{ticks} {asks:?} {lives:?}: {} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn a_loan_longer_than_its_fence_is_found() {
    let checker = escrow(1_000, 1_500, 0, 4, [1, 1], (1, 1)).checker().threads(3).spawn_bfs().join();
    assert!(checker.discovery("never above the home").is_some());
}

#[test]
fn a_lender_that_does_not_wait_after_its_start_is_found() {
    let checker = escrow(1_000, 1_000, 1_000, 4, [1, 1], (2, 1)).checker().threads(3).spawn_bfs().join();
    assert!(checker.discovery("never above the home").is_some());
}
