//! Which machine a router subscribes to, and when it moves to another.

use super::{Subscriber, between};
use crate::{Message, Name, Notice, Outcome, Tenths, Version};

/// The machine that serves the router, or that it has asked.
pub(super) struct Link {
    pub(super) machine: Name,
    pub(super) asked: Tenths,
    pub(super) heard: Option<Tenths>,
    /// When changes or a part were last received or requested.
    pub(super) fed: Tenths,
    /// When to ask again because something is missing.
    pub(super) again: Option<Tenths>,
    /// The number of consecutive times that something was missing.
    pub(super) gaps: u32,
    /// When to leave the machine because it has no contact with a writer.
    pub(super) roam: Option<Tenths>,
}

/// The turn of the ask that a message answers.
pub(super) fn answers(message: &Message) -> Option<u32> {
    match message {
        Message::Changes { turn, .. }
        | Message::Long { turn, .. }
        | Message::Whole { turn, .. }
        | Message::Beat { turn, .. }
        | Message::Away { turn, .. } => Some(*turn),
        _ => None,
    }
}

impl Subscriber {
    /// Asks a machine, or asks the current one again because something is missing.
    pub(super) fn next_ask(&mut self, now: Tenths) -> Option<(Name, Message)> {
        match &mut self.link {
            Some(link) => {
                link.again.filter(|at| now >= *at)?;
                (link.again, link.fed) = (None, now);
            }
            None if now < self.next_ask => return None,
            None => {
                let machine = self.pick(now);
                let link =
                    Link { machine, asked: now, heard: None, fed: now, again: None, gaps: 0, roam: None };
                self.link = Some(link);
            }
        }
        self.turn += 1;
        self.next_say = now + self.plan.say;
        let (holds, digest) = match self.whole {
            true => (Version::NONE, 0),
            false => (self.replica.version, self.replica.document.digest()),
        };
        let to = self.link.as_ref()?.machine.clone();
        // What the router received since its start does not tell it which version it had in force before.
        let lost = !self.kept && self.floor.is_none();
        Some((to, Message::Ask { start: self.start, turn: self.turn, holds, digest, lost }))
    }

    /// Sends the router's status, when it has changed and at intervals as a sign of life.
    pub(super) fn next_say(&mut self, now: Tenths) -> Option<(Name, Message)> {
        let link = self.link.as_ref().filter(|_| now >= self.next_say)?;
        self.next_say = now + self.plan.say;
        let (version, outcome) = match &self.refused {
            Some((version, why)) => (*version, Outcome::Refused { why: why.clone() }),
            None => (self.in_force, Outcome::Applied),
        };
        let (start, turn, in_force) = (self.start, self.turn, self.in_force);
        Some((link.machine.clone(), Message::Told { start, turn, in_force, version, outcome }))
    }

    pub(super) fn beat(&mut self, now: Tenths, version: Version, floor: Option<Version>, apart: bool) {
        // A machine that knows less than another must not lower the floor that the other has set.
        self.floor = self.floor.max(floor);
        self.fails = 0;
        let Some(link) = &mut self.link else { return };
        let missing = version > self.replica.version && version > self.spoilt;
        if missing && link.again.is_none() && now - link.fed > 2 * self.plan.beat {
            link.again = Some(now);
        }
        match apart {
            true if link.roam.is_none() => {
                let least = (2 * self.plan.beat) << self.roams.min(5);
                link.roam = Some(now + between(&mut self.chance, least, 2 * least));
            }
            true => {}
            false => {
                link.roam = None;
                self.roams = 0;
                self.touch(now);
            }
        }
    }

    /// Records contact with a machine that is in contact with a writer.
    fn touch(&mut self, now: Tenths) {
        if let (Some(since), Some(link)) = (self.silent.take(), &self.link)
            && self.silence_told
        {
            let notice = Notice::Heard { machine: link.machine.clone(), after: now - since };
            self.tell(notice);
        }
        (self.touched, self.silence_told) = (now, false);
    }

    /// Abandons the machine because it declined, failed or fell silent. It is not asked again before `until`.
    pub(super) fn fail(&mut self, now: Tenths, until: Tenths) {
        if let Some(link) = self.link.take() {
            self.away.insert(link.machine, until);
        }
        // Backs off, so that the routers do not all ask the remaining machines at once, again and again.
        let rounds = self.fails.saturating_sub(self.machines.len() as u32).min(10);
        let pause = ((self.plan.pause / 100) << rounds).min(self.plan.pause);
        self.fails = self.fails.saturating_add(1);
        self.next_ask = now + between(&mut self.chance, pause / 2, pause);
    }

    /// Notifies the machine that the router leaves it.
    pub(super) fn leave(&mut self) {
        if let Some(link) = &self.link {
            let bye = Message::Bye { start: self.start, turn: self.turn };
            self.bye = Some((link.machine.clone(), bye));
        }
    }

    /// Leaves a machine that has no contact with a writer, if there is another one to try.
    pub(super) fn roam(&mut self, now: Tenths) {
        let Some(here) = self.link.as_ref().map(|link| link.machine.clone()) else { return };
        let away = &self.away;
        let other = |machine: &&Name| **machine != here && away.get(*machine).is_none_or(|at| now >= *at);
        let found = self.machines.iter().any(|machine| other(&machine));
        self.roams += 1;
        if found {
            self.leave();
            self.link = None;
            self.away.insert(here, now + 2 * self.plan.pause);
            self.next_ask = now;
        } else if let Some(link) = &mut self.link {
            link.roam = Some(now + self.plan.pause);
        }
    }

    /// Returns to the preferred machine, if that one may be asked again.
    pub(super) fn go_home(&mut self, now: Tenths) {
        self.home = now + between(&mut self.chance, self.plan.home, 2 * self.plan.home);
        let first = self.machines.first();
        let elsewhere = self.link.as_ref().is_some_and(|link| Some(&link.machine) != first);
        if elsewhere && first.is_some_and(|first| self.away.get(first).is_none_or(|at| now >= *at)) {
            self.leave();
            self.link = None;
            self.next_ask = now;
        }
    }

    /// The first machine in order of preference that may be asked; if none may, the one that may be asked soonest.
    fn pick(&mut self, now: Tenths) -> Name {
        self.away.retain(|_, until| *until > now);
        let free = self.machines.iter().find(|machine| !self.away.contains_key(*machine));
        let soonest = || self.away.iter().min_by_key(|(_, until)| **until).map(|(machine, _)| machine);
        free.or_else(soonest).unwrap_or(&self.me).clone()
    }
}
