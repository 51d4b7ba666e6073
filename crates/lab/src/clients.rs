//! How clients ask: a wish is a first try and its retries. The wish ends with an answer, or when no try is left.

use crate::setup::ClientsPlan;
use crate::tally::Outcome;
use vetchkeel_emulated::Micros;

/// What a client wants, whatever number of tries it takes.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    pub asked: Micros,
    /// When the client gives it up for good.
    pub deadline: Micros,
    pub router: usize,
    pub group: usize,
    pub set: usize,
    pub customer: usize,
    pub session: u32,
    pub work: f64,
    pub mutating: bool,
    pub tries: u32,
}

/// What a client does when a try has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    TryAgain(Micros),
    End(Outcome),
}

impl Wish {
    /// How long the next try may take.
    pub fn time_left(&self, now: Micros, timeout: Micros, plan: &ClientsPlan) -> Micros {
        ((timeout as f64 * plan.try_share) as Micros).min(self.deadline - now)
    }

    /// A try has ended. `hold_off`: how long a throttling answer asks to stay away. What may have run is tried again
    /// only if it may run twice.
    pub fn next(&self, now: Micros, outcome: Outcome, hold_off: Micros, plan: &ClientsPlan) -> Next {
        let harmless = outcome == Outcome::Throttled || !self.mutating;
        let wait = if plan.heeds { plan.backoff.max(hold_off) } else { plan.backoff };
        let again = now + wait;
        if outcome != Outcome::Answered && harmless && self.tries <= plan.retries && again < self.deadline {
            Next::TryAgain(again)
        } else {
            Next::End(outcome)
        }
    }
}
