//! Which machine a router subscribes to, and when it moves to another.

use super::{Subscriber, between};
use crate::{Message, Name, Notice, Outcome, Tenths, Version};

/// The machine that serves the router, or that it has asked.
pub(super) struct Link {
    pub(super) machine: Name,
    pub(super) asked_at: Tenths,
    pub(super) last_heard: Option<Tenths>,
    /// When changes or a part were last received or requested.
    pub(super) last_progress: Tenths,
    /// When to ask again because something is missing.
    pub(super) retry_at: Option<Tenths>,
    /// The number of consecutive times that something was missing.
    pub(super) consecutive_gaps: u32,
    /// When to leave the machine because it has no contact with a writer.
    pub(super) leave_isolated_at: Option<Tenths>,
}

/// The turn of the subscribe message that a message answers.
pub(super) fn answered_turn(message: &Message) -> Option<u32> {
    match message {
        Message::Changes { turn, .. }
        | Message::ChangesPart { turn, .. }
        | Message::SnapshotPart { turn, .. }
        | Message::Beat { turn, .. }
        | Message::Redirect { turn, .. } => Some(*turn),
        _ => None,
    }
}

impl Subscriber {
    /// Asks a machine, or asks the current one again because something is missing.
    pub(super) fn next_ask(&mut self, now: Tenths) -> Option<(Name, Message)> {
        match &mut self.link {
            Some(link) => {
                link.retry_at.filter(|at| now >= *at)?;
                (link.retry_at, link.last_progress) = (None, now);
            }
            None if now < self.next_ask_at => return None,
            None => {
                let machine = self.pick_machine(now);
                let link = Link {
                    machine,
                    asked_at: now,
                    last_heard: None,
                    last_progress: now,
                    retry_at: None,
                    consecutive_gaps: 0,
                    leave_isolated_at: None,
                };
                self.link = Some(link);
            }
        }
        self.turn += 1;
        self.next_status_at = now + self.plan.say;
        let (holds, digest) = match self.need_snapshot {
            true => (Version::NONE, 0),
            false => (self.replica.version, self.replica.document.digest()),
        };
        let to = self.link.as_ref()?.machine.clone();
        // What the router received since its start does not tell it which version it had in force before.
        let state_lost = !self.has_persisted && self.floor.is_none();
        Some((to, Message::Subscribe { start: self.start, turn: self.turn, holds, digest, state_lost }))
    }

    /// Sends the router's status, when it has changed and at intervals as a sign of life.
    pub(super) fn next_status(&mut self, now: Tenths) -> Option<(Name, Message)> {
        let link = self.link.as_ref().filter(|_| now >= self.next_status_at)?;
        self.next_status_at = now + self.plan.say;
        let (version, outcome) = match &self.refused {
            Some((version, why)) => (*version, Outcome::Refused { why: why.clone() }),
            None => (self.in_force, Outcome::Applied),
        };
        let (start, turn, in_force) = (self.start, self.turn, self.in_force);
        Some((link.machine.clone(), Message::Status { start, turn, in_force, version, outcome }))
    }

    pub(super) fn handle_beat(
        &mut self,
        now: Tenths,
        version: Version,
        floor: Option<Version>,
        no_writer: bool,
    ) {
        // A machine that knows less than another must not lower the floor that the other has set.
        self.floor = self.floor.max(floor);
        self.failed_asks = 0;
        let Some(link) = &mut self.link else { return };
        let missing = version > self.replica.version && version > self.unusable_snapshot;
        if missing && link.retry_at.is_none() && now - link.last_progress > 2 * self.plan.beat {
            link.retry_at = Some(now);
        }
        match no_writer {
            true if link.leave_isolated_at.is_none() => {
                let least = (2 * self.plan.beat) << self.isolated_moves.min(5);
                link.leave_isolated_at = Some(now + between(&mut self.rng, least, 2 * least));
            }
            true => {}
            false => {
                link.leave_isolated_at = None;
                self.isolated_moves = 0;
                self.record_contact(now);
            }
        }
    }

    /// Records contact with a machine that is in contact with a writer.
    fn record_contact(&mut self, now: Tenths) {
        if let (Some(since), Some(link)) = (self.no_contact_since.take(), &self.link)
            && self.no_contact_reported
        {
            let notice = Notice::ContactRestored { machine: link.machine.clone(), after: now - since };
            self.notify(notice);
        }
        (self.last_contact, self.no_contact_reported) = (now, false);
    }

    /// Abandons the machine because it declined, failed or fell silent. It is not asked again before `until`.
    pub(super) fn abandon_machine(&mut self, now: Tenths, until: Tenths) {
        if let Some(link) = self.link.take() {
            self.avoid_until.insert(link.machine, until);
        }
        // Backs off, so that the routers do not all ask the remaining machines at once, again and again.
        let rounds = self.failed_asks.saturating_sub(self.machines.len() as u32).min(10);
        let pause = ((self.plan.pause / 100) << rounds).min(self.plan.pause);
        self.failed_asks = self.failed_asks.saturating_add(1);
        self.next_ask_at = now + between(&mut self.rng, pause / 2, pause);
    }

    /// Notifies the machine that the router leaves it.
    pub(super) fn queue_bye(&mut self) {
        if let Some(link) = &self.link {
            let bye = Message::Unsubscribe { start: self.start, turn: self.turn };
            self.pending_bye = Some((link.machine.clone(), bye));
        }
    }

    /// Leaves a machine that has no contact with a writer, if there is another one to try.
    pub(super) fn leave_isolated(&mut self, now: Tenths) {
        let Some(here) = self.link.as_ref().map(|link| link.machine.clone()) else { return };
        let avoid_until = &self.avoid_until;
        let other =
            |machine: &&Name| **machine != here && avoid_until.get(*machine).is_none_or(|at| now >= *at);
        let found = self.machines.iter().any(|machine| other(&machine));
        self.isolated_moves += 1;
        if found {
            self.queue_bye();
            self.link = None;
            self.avoid_until.insert(here, now + 2 * self.plan.pause);
            self.next_ask_at = now;
        } else if let Some(link) = &mut self.link {
            link.leave_isolated_at = Some(now + self.plan.pause);
        }
    }

    /// Returns to the preferred machine, if that one may be asked again.
    pub(super) fn return_to_preferred(&mut self, now: Tenths) {
        self.next_home_at = now + between(&mut self.rng, self.plan.home, 2 * self.plan.home);
        let first = self.machines.first();
        let elsewhere = self.link.as_ref().is_some_and(|link| Some(&link.machine) != first);
        if elsewhere && first.is_some_and(|first| self.avoid_until.get(first).is_none_or(|at| now >= *at)) {
            self.queue_bye();
            self.link = None;
            self.next_ask_at = now;
        }
    }

    /// The first machine in order of preference that may be asked; if none may, the one that may be asked soonest.
    fn pick_machine(&mut self, now: Tenths) -> Name {
        self.avoid_until.retain(|_, until| *until > now);
        let free = self.machines.iter().find(|machine| !self.avoid_until.contains_key(*machine));
        let soonest = || self.avoid_until.iter().min_by_key(|(_, until)| **until).map(|(machine, _)| machine);
        free.or_else(soonest).unwrap_or(&self.me).clone()
    }
}
