use super::*;
use rstest::rstest;

const NOW: Tenths = 5_000_000;

fn answering() -> ConnectionReuse {
    let mut reuse = ConnectionReuse::default();
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::AfterBarrier);
    reuse.barrier_answered(NOW, 40);
    reuse
}

/// Guards against a second copy of an answer that is taken for the next one, however late it comes.
#[rstest]
fn every_answer_of_a_member_that_answers_barriers_is_followed_by_one() {
    let mut reuse = answering();
    let later = (0..100).map(|i| reuse.answer_ended(NOW + i * 1_000, i));
    assert!(later.into_iter().all(|next| next == NextUse::AfterBarrier));
}

/// Guards against losing more than one connection to a member that doesn't answer an empty query.
#[rstest]
#[case::silent(false)]
#[case::closing(true)]
fn one_connection_at_a_time_tries_a_barrier(#[case] closes: bool) {
    let mut reuse = ConnectionReuse::default();
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::AfterBarrier);
    if closes {
        reuse.barrier_unanswered(NOW);
    }
    let during_trial = reuse.answer_ended(NOW + 1, 300);
    assert_eq!(during_trial, NextUse::From(NOW + 1 + if closes { 300 } else { MAX_WAIT }));
    for after in [TRIAL_TIMEOUT, RETRY_TRIAL_AFTER - 1] {
        assert_eq!(reuse.answer_ended(NOW + after, 300), NextUse::From(NOW + after + 300));
    }
    let retried_at = NOW + TRIAL_TIMEOUT + RETRY_TRIAL_AFTER;
    assert_eq!(reuse.answer_ended(retried_at, 300), NextUse::AfterBarrier);
    assert_eq!(reuse.answer_ended(retried_at, 300), NextUse::From(retried_at + 300));
    reuse.barrier_answered(retried_at, 5);
    assert_eq!(reuse.answer_ended(retried_at, 300), NextUse::AfterBarrier);
}

#[rstest]
#[case::short(1, MIN_WAIT)]
#[case::usual(1_700, 1_700)]
#[case::long(90_000, MAX_WAIT)]
fn wait_follows_the_longest_recent_exchange(#[case] took: Tenths, #[case] wait: Tenths) {
    let mut reuse = ConnectionReuse::default();
    reuse.answer_ended(NOW, took);
    reuse.barrier_unanswered(NOW);
    assert_eq!(reuse.answer_ended(NOW + PERIOD, 1), NextUse::From(NOW + PERIOD + wait));
    assert_eq!(reuse.answer_ended(NOW + 2 * PERIOD, 1), NextUse::From(NOW + 2 * PERIOD + MIN_WAIT));
}

#[rstest]
fn late_answer_to_the_first_barrier_counts() {
    let mut reuse = ConnectionReuse::default();
    reuse.answer_ended(NOW, 200);
    let late = NOW + TRIAL_TIMEOUT;
    assert!(matches!(reuse.answer_ended(late, 200), NextUse::From(_)));
    reuse.barrier_answered(late, TRIAL_TIMEOUT);
    assert_eq!(reuse.answer_ended(late, 200), NextUse::AfterBarrier);
}

#[rstest]
fn connection_closed_here_is_no_evidence_against_barriers() {
    let mut reuse = ConnectionReuse::default();
    reuse.answer_ended(NOW, 200);
    reuse.barrier_abandoned();
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::AfterBarrier);
}

/// Guards against a member that is replaced by one that never answers barriers, under the same name.
#[rstest]
fn member_that_stops_answering_barriers_is_tried_anew() {
    let mut reuse = answering();
    for _ in 1..MAX_UNANSWERED {
        reuse.barrier_unanswered(NOW);
    }
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::AfterBarrier);
    reuse.barrier_unanswered(NOW);
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::AfterBarrier);
    assert_eq!(reuse.answer_ended(NOW, 200), NextUse::From(NOW + MAX_WAIT));
}

/// Guards against a new connection for each statement that comes while a barrier is on its way, and against waiting for a member
/// that hangs.
#[rstest]
fn statement_waits_for_a_barrier_unless_it_is_overdue() {
    let reuse = answering();
    assert!(reuse.is_worth_waiting(80));
    assert!(!reuse.is_worth_waiting(81));
    assert!(!ConnectionReuse::default().is_worth_waiting(0), "it may never be answered");
}
