//! Working out one need: slopes are asked for by name, and what was used or is missing is noted.

use crate::answer::Used;
use crate::{Built, Scaled, Slopes};
use std::collections::{BTreeMap, BTreeSet};

/// Which of a slope's values is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    Low,
    Mean,
    High,
}

/// One need being worked out at one share of the size.
pub struct Work<'a> {
    pub at: Scaled<'a>,
    pub built: Built,
    slopes: &'a Slopes,
    bound: Bound,
    /// What is used is noted.
    noting: bool,
    pub(crate) used: BTreeMap<String, Used>,
    pub(crate) missing: BTreeSet<String>,
}

impl<'a> Work<'a> {
    /// One that only works out.
    pub(crate) fn quiet(at: Scaled<'a>, built: Built, slopes: &'a Slopes, bound: Bound) -> Work<'a> {
        Work { noting: false, ..Work::new(at, built, slopes, bound) }
    }

    pub(crate) fn new(at: Scaled<'a>, built: Built, slopes: &'a Slopes, bound: Bound) -> Work<'a> {
        Work { at, built, slopes, bound, noting: true, used: BTreeMap::new(), missing: BTreeSet::new() }
    }

    /// What a slope comes to at this size of what it counts, its base included.
    pub fn line(&mut self, name: &str, size: f64) -> f64 {
        self.from(name, size, true)
    }

    /// What so many more cost, without the base.
    pub fn each(&mut self, name: &str, size: f64) -> f64 {
        self.from(name, size, false)
    }

    fn from(&mut self, name: &str, size: f64, base: bool) -> f64 {
        let Some(slope) = self.slopes.get(name) else {
            self.missing.insert(name.to_owned());
            return 0.0;
        };
        if self.noting && self.used.get(name).is_none_or(|u| u.size < size) {
            self.used.insert(name.to_owned(), Used::new(name, slope, size));
        }
        let value = match self.bound {
            Bound::Low => slope.low,
            Bound::Mean => slope.value,
            Bound::High => slope.high,
        };
        // A fit may come out below nothing by its noise: nothing gets cheaper by being more, and nothing costs less than
        // nothing.
        let base = if base { slope.base } else { 0.0 };
        (base + value.max(0.0) * size).max(0.0)
    }
}
