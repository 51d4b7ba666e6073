//! State of one probe: a direct ping, then indirect pings through helpers, then failure.

use crate::{Name, Start, Tenths};

/// The probe in flight. There is at most one at a time.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) peer: Name,
    pub(crate) start: Start,
    pub(crate) sent: Tenths,
    /// When the helpers are asked; `None` afterwards.
    pub(crate) helpers_at: Option<Tenths>,
    pub(crate) deadline: Tenths,
    pub(crate) answered: bool,
    /// Number of helpers asked, and of those that reported that they got no answer either.
    pub(crate) helpers: i64,
    pub(crate) nacks: i64,
}

impl Probe {
    /// When the probe needs attention next.
    pub(crate) fn due(&self) -> Tenths {
        match self.helpers_at {
            Some(at) if !self.answered => at.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// Extends the probe by a time during which the observer did not run.
    pub(crate) fn postpone(&mut self, by: Tenths) {
        self.deadline += by;
        self.helpers_at = self.helpers_at.map(|at| at + by);
    }
}

/// A probe carried out for another instance.
#[derive(Clone, Debug)]
pub(crate) struct IndirectProbe {
    /// The requester and its number for the probe.
    pub(crate) from: std::net::SocketAddr,
    pub(crate) number: u64,
    /// When the requester is notified that there was no answer; `None` afterwards.
    pub(crate) nack_at: Option<Tenths>,
    pub(crate) deadline: Tenths,
}
