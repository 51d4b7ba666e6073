//! Connections that this router's machine cannot open because it has no port, socket, buffer or route for a
//! moment. That proves nothing about the member: the command is offered again at once, and the member is not
//! dialled for a short while.

use super::*;

/// First pause before a member is dialled again, and how often the pause doubles.
const DIAL_PAUSE_MIN: Tenths = 10;
const DIAL_PAUSE_MAX_DOUBLINGS: u32 = 6;
/// After this many local dial failures in a row (0.7 s) a member counts as unreachable, since the set may be
/// reachable through another member.
const UNREACHABLE_AFTER: u32 = 16;

impl Router {
    /// Handles a dispatch whose connection could not be opened on this machine. It does not count as an
    /// attempt, as no member saw it.
    pub(super) fn dispatch_not_dialled(
        &mut self,
        now: Tenths,
        key: u64,
        dispatch: u32,
        command_complete: bool,
    ) {
        let Some(cmd) = self.open.get_mut(&key) else { return };
        let Some((node, _)) = cmd.in_flight.remove(&dispatch) else { return };
        cmd.uncounted_dispatches += 1;
        cmd.tried.retain(|tried| *tried != node);
        let closed = cmd.closed;
        self.members[node].in_flight.remove(&(key, dispatch));
        self.pause_dialling(now, node);
        match (command_complete, closed) {
            (true, _) => self.close(key),
            (_, true) => self.forget(key),
            _ => self.schedule_settle(now, key),
        }
    }

    /// Handles a probe whose connection could not be opened on this machine: it is repeated after the pause.
    pub(super) fn probe_not_dialled(&mut self, now: Tenths, node: Node) {
        self.members[node].probing = false;
        let again = self.pause_dialling(now, node);
        self.timers.insert((again, Task::Probe(node)));
    }

    /// Danger: without a pause, commands that are offered again at once would dial in a loop while the
    /// machine has no resources.
    fn pause_dialling(&mut self, now: Tenths, node: Node) -> Tenths {
        let m = &mut self.members[node];
        let until = now + self.rng.jittered(DIAL_PAUSE_MIN << m.dial_failures.min(DIAL_PAUSE_MAX_DOUBLINGS));
        (m.dial_failures, m.next_dial_at) = (m.dial_failures + 1, until);
        let (set, out_of_reach) =
            (m.set, m.dial_failures >= UNREACHABLE_AFTER && m.state != State::TransportError);
        if out_of_reach {
            self.mark_broken(now, node);
        }
        self.sets_to_serve.insert(set);
        self.timers.insert((until, Task::ServeSet(set)));
        until
    }

    /// A connection to the member was opened: the next dispatch may dial without a pause.
    pub(super) fn reset_dial_pause(&mut self, node: Node) {
        (self.members[node].dial_failures, self.members[node].next_dial_at) = (0, 0);
    }
}
