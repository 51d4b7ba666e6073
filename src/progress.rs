//! Dates a primary's positions by their progress.
//!
//! A primary's position is its current time, but a primary that hangs sends an old one, and reports are of unknown age:
//! a position alone does not show how long ago it was current. If a primary sends a later position than before, it has
//! run in between. So the later position was current at some moment after the request for the earlier one was sent. A
//! position that does not advance proves nothing, however often it is sent.

use crate::interface::Tenths;

/// The last position that one member has sent as the primary, in one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    last: Option<LastPosition>,
}

#[derive(Clone, Copy, Debug)]
struct LastPosition {
    position: Tenths,
    /// When the latest request was sent that was answered with this position.
    requested_at: Tenths,
}

impl Progress {
    /// Records a position that the member sent as the primary, in the answer to a request sent at `requested_at`. If the
    /// position has advanced, returns a time after which the position was current at some moment.
    pub(crate) fn record(&mut self, position: Tenths, requested_at: Tenths) -> Option<Tenths> {
        let Some(last) = self.last.filter(|last| last.position <= position) else {
            // The first position, or an answer that was overtaken by a later one.
            self.last.get_or_insert(LastPosition { position, requested_at });
            return None;
        };
        let advanced = position > last.position;
        let requested_at = if advanced { requested_at } else { requested_at.max(last.requested_at) };
        self.last = Some(LastPosition { position, requested_at });
        advanced.then_some(last.requested_at)
    }

    /// The member is no longer the primary: positions of a later term are not compared with earlier ones.
    pub(crate) fn reset(&mut self) {
        self.last = None;
    }
}

#[cfg(test)]
mod tests;
