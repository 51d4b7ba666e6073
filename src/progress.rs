//! What a primary's advancing position proves of the time at which it was told.
//!
//! A primary is positioned at the present, but one that hangs or stands still tells the position from before, and reports
//! are of unknown age: how long ago a position was the present can't be read off it. If it tells a later position than it
//! told before, it went on in between. So the later position was the present at some time after the request for the
//! earlier one was sent. A position that does not advance proves nothing, however often it is told.

use crate::interface::Tenths;

/// The last position that one member told as the primary, in one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    last: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    position: Tenths,
    /// When the request was sent that it answered, the latest of those with this position.
    asked: Tenths,
}

impl Progress {
    /// Takes in a position that it tells as the primary, in the answer to a request sent at `asked`. The time since which the
    /// position has been the present at some moment, if this proves one.
    pub(crate) fn tells(&mut self, position: Tenths, asked: Tenths) -> Option<Tenths> {
        let Some(last) = self.last.filter(|last| last.position <= position) else {
            // Nothing to compare with, or an answer that was overtaken by a later one.
            self.last.get_or_insert(Told { position, asked });
            return None;
        };
        let advanced = position > last.position;
        let asked = if advanced { asked } else { asked.max(last.asked) };
        self.last = Some(Told { position, asked });
        advanced.then_some(last.asked)
    }

    /// It is no primary any more: what it tells as the next time says nothing of the time in between.
    pub(crate) fn ends(&mut self) {
        self.last = None;
    }
}

#[cfg(test)]
mod tests;
