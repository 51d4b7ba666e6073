//! Connections that the router's own machine cannot open: no port, socket, buffer or route to be had for a moment. That
//! says nothing of the member. The command is offered again at once, the member is not dialled for a short while.

use super::*;

/// The first pause before a member is dialled again, and how often it doubles.
const DIAL_PAUSE: Tenths = 10;
const DOUBLINGS: u32 = 6;
/// So many dials in a row that failed here (0.7 s) are taken for a member out of reach: another way may lead to the set.
const OUT_OF_REACH: u32 = 16;

impl Router {
    /// A dispatch whose connection could not be opened here. The attempt is given back, as no member saw it.
    pub(super) fn not_dialled(&mut self, now: Tenths, key: u64, dispatch: u32, over: bool) {
        let Some(cmd) = self.open.get_mut(&key) else { return };
        let Some((node, _)) = cmd.out.remove(&dispatch) else { return };
        cmd.given_back += 1;
        cmd.tried.retain(|tried| *tried != node);
        let closed = cmd.closed;
        self.members[node].out.remove(&(key, dispatch));
        self.pause_dials(now, node);
        match (over, closed) {
            (true, _) => self.close(key),
            (_, true) => self.forget(key),
            _ => self.settle_at(now, key),
        }
    }

    /// A probe whose connection could not be opened here: it is due again after the pause.
    pub(super) fn probe_not_dialled(&mut self, now: Tenths, node: Node) {
        self.members[node].probing = false;
        let again = self.pause_dials(now, node);
        self.agenda.insert((again, Task::Ask(node)));
    }

    /// Danger: commands that are offered again at once would dial in a circle while the machine has nothing to give.
    fn pause_dials(&mut self, now: Tenths, node: Node) -> Tenths {
        let m = &mut self.members[node];
        let until = now + self.rng.jittered(DIAL_PAUSE << m.local_errors.min(DOUBLINGS));
        (m.local_errors, m.dial_at) = (m.local_errors + 1, until);
        let (set, out_of_reach) = (m.set, m.local_errors >= OUT_OF_REACH && m.state != State::TransportError);
        if out_of_reach {
            self.break_member(now, node);
        }
        self.dirty.insert(set);
        self.agenda.insert((until, Task::Look(set)));
        until
    }

    /// A connection to the member was open: the next command has one.
    pub(super) fn dialled(&mut self, node: Node) {
        (self.members[node].local_errors, self.members[node].dial_at) = (0, 0);
    }
}
