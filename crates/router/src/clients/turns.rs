//! Serves clients in turns: measures what each step of a client takes, and postpones clients that have used up their share of a
//! round.

use super::*;
use std::time::Instant;
use vetchkeel::FairShare;

/// The shares of the clients, and when the step at hand began.
pub(super) struct Turns {
    share: FairShare<ClientKey>,
    step_began: Instant,
}

impl Default for Turns {
    fn default() -> Turns {
        Turns { share: FairShare::default(), step_began: Instant::now() }
    }
}

impl Turns {
    /// The next client's turn begins: the time until now is not its.
    pub(super) fn start_turn(&mut self) {
        self.step_began = Instant::now();
    }

    pub(super) fn has_postponed(&self) -> bool {
        self.share.has_postponed()
    }

    /// How often a client was postponed so far, and how many wait for a later round.
    pub(super) fn counts(&self) -> (u64, usize) {
        (self.share.postponements(), self.share.waiting())
    }

    fn take_step_time(&mut self) -> Duration {
        let now = Instant::now();
        now - std::mem::replace(&mut self.step_began, now)
    }
}

impl Program {
    /// Charges one step to a client. False once it has used up its share of this round: it goes on in a later one.
    pub(super) fn use_share(&mut self, key: ClientKey) -> bool {
        let spent = self.clients.turns.take_step_time();
        let Some(client) = self.clients.table.get_mut(key) else { return false };
        if client.postponed {
            return false;
        }
        if self.clients.turns.share.charge(&mut client.usage, spent) {
            return true;
        }
        client.postponed = true;
        self.clients.turns.share.postpone(key);
        false
    }

    /// Starts a round: serves the clients that were postponed, as far as their time goes.
    pub fn serve_postponed_clients(&mut self) {
        self.clients.turns.share.begin_round();
        while let Some(key) = self.clients.turns.share.next_postponed() {
            let Some(client) = self.clients.table.get_mut(key) else { continue };
            client.postponed = false;
            self.clients.turns.start_turn();
            let panicked = |p: &mut Program| p.drop_client(key, ClientClose::Panicked);
            self.guarded("a client's connection", |p| p.read_client(key), panicked);
        }
    }
}
