//! One probe: asked directly, then through helpers, then failed.

use crate::{Name, Start, Tenths};

/// The probe that runs. There is one at a time.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) peer: Name,
    pub(crate) start: Start,
    pub(crate) sent: Tenths,
    /// When helpers are asked; none once they are.
    pub(crate) helpers_at: Option<Tenths>,
    pub(crate) ends: Tenths,
    pub(crate) answered: bool,
    /// Helpers that were asked, and those that said they got no answer either.
    pub(crate) helpers: i64,
    pub(crate) regrets: i64,
}

impl Probe {
    /// When something is to be done about it.
    pub(crate) fn due(&self) -> Tenths {
        match self.helpers_at {
            Some(at) if !self.answered => at.min(self.ends),
            _ => self.ends,
        }
    }

    /// Time that did not pass for the observer does not count.
    pub(crate) fn put_off(&mut self, by: Tenths) {
        self.ends += by;
        self.helpers_at = self.helpers_at.map(|at| at + by);
    }
}

/// A probe carried out for another instance.
#[derive(Clone, Debug)]
pub(crate) struct Errand {
    /// Who asked, and under which number.
    pub(crate) from: std::net::SocketAddr,
    pub(crate) number: u64,
    /// When it is told that there was no answer; none once it is.
    pub(crate) regret_at: Option<Tenths>,
    pub(crate) ends: Tenths,
}
