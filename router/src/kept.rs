//! How long a kept connection may idle before it carries something again: told by the settings, and learned from
//! those that break as soon as they are written to. Machines between routers and nodes may be less patient than the
//! nodes themselves, and close without a sign.

use vetchkeel::Tenths;

/// What a node sends behind its answer, or its end, comes within this time.
const REST: Tenths = 10;
/// A write that breaks a kept connection does so within this time.
const AT_ONCE: Tenths = 50;
/// Ages are told apart by doublings of a tenth of a millisecond.
const AGES: usize = 24;
/// A connection of an age is not used while this part of those used broke, and this many at least.
const BROKEN_PART: f64 = 0.15;
const BROKEN_LEAST: f64 = 4.0;
/// Half-life of what was learned, so that it is tried again.
const LEARNED_HALF: f64 = 600_000.0;

#[derive(Clone, Copy, Default)]
struct Age {
    used: f64,
    broken: f64,
    at: Tenths,
}

impl Age {
    fn faded(&self, now: Tenths) -> Age {
        let left = (-((now - self.at).max(0) as f64) / LEARNED_HALF).exp2();
        Age { used: self.used * left, broken: self.broken * left, at: now }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// More may still come behind its last answer.
    Resting,
    Fit,
    TooOld,
}

pub struct Kept {
    told: Tenths,
    ages: [Age; AGES],
}

fn place(idled: Tenths) -> usize {
    ((64 - idled.max(0).leading_zeros()) as usize).min(AGES - 1)
}

impl Kept {
    pub fn new(told: Tenths) -> Kept {
        Kept { told, ages: [Age::default(); AGES] }
    }

    /// A connection that had idled for so long was used again: it broke at once, or it did not.
    pub fn used(&mut self, now: Tenths, idled: Tenths, broken_after: Option<Tenths>) {
        let age = &mut self.ages[place(idled)];
        *age = age.faded(now);
        age.used += 1.0;
        age.broken += broken_after.is_some_and(|after| after <= AT_ONCE) as u8 as f64;
    }

    /// For how long a connection may idle now.
    pub fn limit(&self, now: Tenths) -> Tenths {
        let breaks = |age: &Age| {
            let age = age.faded(now);
            age.broken >= BROKEN_LEAST && age.broken >= BROKEN_PART * age.used
        };
        // What breaks at once after a rest is no matter of age.
        let first = place(REST) + 1;
        let short = (first..AGES).find(|at| breaks(&self.ages[*at]));
        short.map_or(self.told, |at| self.told.min(1 << (at - 1)))
    }

    pub fn fitness(&self, now: Tenths, idled: Tenths) -> Fitness {
        match idled {
            idled if idled < REST => Fitness::Resting,
            idled if idled <= self.limit(now) => Fitness::Fit,
            _ => Fitness::TooOld,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const NOW: Tenths = 1_000_000;

    #[rstest]
    #[case::just_answered(0, Fitness::Resting)]
    #[case::rested(REST, Fitness::Fit)]
    #[case::at_the_limit_told(60_000, Fitness::Fit)]
    #[case::past_it(60_001, Fitness::TooOld)]
    fn a_connection_fits_between_its_rest_and_the_limit(#[case] idled: Tenths, #[case] want: Fitness) {
        assert_eq!(Kept::new(60_000).fitness(NOW, idled), want);
    }

    #[rstest]
    #[case::most_break(4, 2, Some(1), NOW, 1 << 11)]
    #[case::three_broke(3, 0, Some(1), NOW, 60_000)]
    #[case::few_break(6, 94, Some(1), NOW, 60_000)]
    #[case::they_break_later(4, 0, Some(AT_ONCE + 1), NOW, 60_000)]
    #[case::long_ago(4, 2, Some(1), NOW + 2_000_000, 60_000)]
    fn ages_that_break_at_once_are_not_used(
        #[case] broken: usize,
        #[case] whole: usize,
        #[case] after: Option<Tenths>,
        #[case] now: Tenths,
        #[case] limit: Tenths,
    ) {
        let mut kept = Kept::new(60_000);
        (0..broken).for_each(|_| kept.used(NOW, 3_000, after));
        (0..whole).for_each(|_| kept.used(NOW, 3_000, None));
        assert_eq!(kept.limit(now), limit);
    }
}
