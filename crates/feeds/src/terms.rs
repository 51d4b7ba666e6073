//! The bounds and times that gateways and desks work by. All of one fleet use the same.

use crate::words::{MILLISECOND, SECOND, Tenths};

/// Times in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A gateway pushes for so long after it sent the stamp that a desk echoed last.
    pub lease: Tenths,
    /// A desk goes to no other gateway for so long after its last echo, unless it was let go. Longer than the lease by
    /// what clocks may differ in their rates over it.
    pub fence: Tenths,
    /// A stamp is sent at least so often.
    pub ping: Tenths,
    /// What is not acknowledged is sent again after so long.
    pub resend: Tenths,
    /// A desk takes a gateway for gone that it hasn't heard for so long.
    pub silence: Tenths,
    /// A gateway that doesn't answer a resume token for so long is passed over.
    pub attempt: Tenths,
    /// A subscription whose lease is over is forgotten after so long.
    pub lapsed: Tenths,
    /// A desk that acknowledges nothing for so long, or stays behind the window, is told to come back.
    pub patience: Tenths,
    /// It comes back after so long.
    pub rest: Tenths,
    /// A handover that isn't ready for so long goes back.
    pub offer: Tenths,
    /// Entries of a feed's window; older ones are on the shelf.
    pub window: usize,
    /// Entries of a feed on the shelf.
    pub shelf: u64,
    /// Entries sent to a desk beyond what it acknowledged, and in one push.
    pub unacknowledged: u64,
    pub push: usize,
    /// Subscriptions that a gateway holds, and those behind the window among them.
    pub room: usize,
    pub behind: usize,
    /// Desks admitted a second, beyond those whose place is kept.
    pub admissions: i64,
    /// Desks that may be told a time to come back at, ahead of now.
    pub booked: Tenths,
    /// Pushes a second.
    pub pushes: i64,
    /// A gateway whose pushes or whose feeds lag for so long is outpaced.
    pub outpaced: Tenths,
    /// Handovers under way from one gateway.
    pub moves: usize,
    /// Moves wait for so long after the fleet changed, and are chosen anew so often.
    pub settle: Tenths,
    pub rebalance: Tenths,
    /// A gateway holds at most this part of its fair share, in percent, before others are preferred.
    pub uneven: u64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease: 800 * MILLISECOND,
            fence: SECOND,
            ping: 200 * MILLISECOND,
            resend: 150 * MILLISECOND,
            silence: 600 * MILLISECOND,
            attempt: 250 * MILLISECOND,
            lapsed: 10 * SECOND,
            patience: 5 * SECOND,
            rest: 5 * SECOND,
            offer: SECOND,
            window: 1_024,
            shelf: 16_384,
            unacknowledged: 64,
            push: 16,
            room: 20_000,
            behind: 256,
            admissions: 2_000,
            booked: 5 * SECOND,
            pushes: 200_000,
            outpaced: 2 * SECOND,
            moves: 64,
            settle: SECOND,
            rebalance: 2 * SECOND,
            uneven: 110,
        }
    }
}

impl Terms {
    /// What is wrong with them, if anything: the safety of a handover rests on these.
    pub fn wrong(&self) -> Option<&'static str> {
        match self {
            // Danger: with a lease as long as the fence, a desk may be served by the next gateway while the last one
            // still pushes.
            t if t.lease >= t.fence => Some("lease: less than the fence expected"),
            t if t.ping * 2 > t.lease => Some("ping: at most half of the lease expected"),
            t if t.push == 0 || t.unacknowledged == 0 || t.window < t.unacknowledged as usize => {
                Some("window: at least what may be unacknowledged expected, and that at least 1")
            }
            t if t.admissions <= 0 || t.pushes <= 0 => {
                Some("admissions, pushes: more than 0 a second expected")
            }
            _ => None,
        }
    }
}
