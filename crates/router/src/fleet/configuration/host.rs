//! The thread that receives settings from the control machines: it runs the subscriber on the link's streams and saves the
//! settings in force on disk. All decisions are made by the configuration crate.

use super::file::Held;
use crate::Clock;
use crate::fleet::duty::Inside;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::Duration;
use vetchkeel::{Tenths, Told};
use vetchkeel_configuration::{Decision, Document, Name, Notice, Subscriber, Version, whole};
use vetchkeel_control::{Came, Carrier, found, keep};
use vetchkeel_link::Waker;
use vetchkeel_log::log;

/// The longest sleep of the thread, and so the longest interval between its heartbeats.
const LONGEST_SLEEP: Tenths = 2_000;
/// Delay before a failed save is retried.
const KEEP_AGAIN: Tenths = 10_000;

/// An update from the thread to the loop.
pub enum Word {
    /// A version to apply between two turns. The loop replies with an [`Answer`].
    Apply(Version, Told),
    /// Clients may be served from now on.
    Serve,
    Seen(Seen),
}

/// The state that the loop prints with its counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub holds: Version,
    pub machine: Option<Name>,
    /// Since when no message has arrived from a control machine that is in contact with a writer; in tenths of a
    /// millisecond since 1970.
    pub silent_since: Option<Tenths>,
    /// Number of refused versions, and the reason of the last refusal.
    pub refused: u64,
    pub why: String,
    /// How often saving the version in force failed.
    pub unkept: u64,
}

/// The result of applying a version in the loop.
pub type Answer = (Version, Result<(), String>);

/// The state of the configuration thread.
pub struct Host {
    clock: Clock,
    carrier: Carrier,
    subscriber: Subscriber,
    file: PathBuf,
    /// The version that the loop is applying, or that is in force but not saved yet; and when to retry the save.
    applying: Option<(Version, Document)>,
    keep_at: Option<Tenths>,
    serves: bool,
    seen: Seen,
    /// The value of `seen` that was last sent to the loop.
    told: Seen,
    /// Updates for which the ring had no room, in order.
    words: VecDeque<Word>,
}

fn kept(file: &std::path::Path) -> Option<(Version, Document)> {
    let path = file.display();
    let read = found(file).map_err(|why| why.to_string()).transpose()?;
    match read.and_then(|bytes| whole::unpack(&bytes).map_err(|bad| bad.to_string())) {
        Ok((version, _, document)) => Some((version, document)),
        Err(why) => {
            log!("configuration: the file {path} is not used: {why}");
            None
        }
    }
}

impl Host {
    /// Binds the address and reads the saved settings. The error is one line.
    pub fn bind(me: Name, held: Held, seed: u64) -> Result<Host, String> {
        let clock = Clock::new();
        let now = clock.now();
        let start = (now / 10) as u64;
        // A restarted process must not repeat the random numbers of an earlier one.
        let seed = seed ^ start.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let kept = kept(&held.keep);
        match &kept {
            Some((version, _)) => log!("configuration: saved version {version} was read"),
            None => log!("configuration: nothing was kept"),
        }
        let machines: Vec<Name> = held.machines.keys().cloned().collect();
        let subscriber = Subscriber::new(held.plan, me.clone(), start, kept, machines, now, seed);
        let mut subscriber = subscriber.map_err(|bad| bad.to_string())?;
        subscriber.prefer(&held.near);
        let carrier = Carrier::bind(&me, start, held.address, held.machines, now, seed)?;
        let (applying, keep_at, serves) = (None, None, false);
        let (seen, told, words) = (Seen::default(), Seen::default(), VecDeque::new());
        Ok(Host { clock, carrier, subscriber, file: held.keep, applying, keep_at, serves, seen, told, words })
    }

    pub fn waker(&self) -> Waker {
        self.carrier.waker()
    }

    /// Runs until the loop has ended.
    pub fn run(mut self, inside: &mut Inside<Word, Answer>, wake: &dyn Fn()) -> Result<(), String> {
        while !inside.orders.is_abandoned() {
            inside.beat.beat();
            let now = self.clock.now();
            while let Ok((version, answer)) = inside.orders.pop() {
                self.answered(now, version, answer);
            }
            self.keep_again(now);
            self.hear(now);
            self.decide(now);
            if self.tell(inside) {
                wake();
            }
            let now = self.clock.now();
            let due = [self.subscriber.wake_at(), self.carrier.wake_at(), self.keep_at];
            let due = due.into_iter().flatten().min();
            let sleep = due.map_or(LONGEST_SLEEP, |at| at.saturating_sub(now).clamp(0, LONGEST_SLEEP));
            let sleep = Duration::from_micros(sleep as u64 * 100);
            self.carrier.wait(sleep).map_err(|e| format!("cannot wait on its sockets: {e}"))?;
        }
        Ok(())
    }

    fn hear(&mut self, now: Tenths) {
        for came in self.carrier.hear(now) {
            match came {
                Came::Message(from, message) => self.subscriber.heard(now, &from, message),
                Came::Left(machine) => self.subscriber.broken(now, &machine),
                Came::Unread(why) => log!("configuration: {why}"),
            }
        }
    }

    fn decide(&mut self, now: Tenths) {
        while let Some(decision) = self.subscriber.next_decision(now) {
            match decision {
                Decision::Send { to, message } => self.carrier.send(now, &to, &message),
                Decision::Apply { version, document } => {
                    let told = document.clone().into_map();
                    self.applying = Some((version, document));
                    self.words.push_back(Word::Apply(version, told));
                }
                Decision::Tell(notice) => self.say(now, notice),
            }
        }
        if !self.serves && self.subscriber.may_serve(now) {
            self.serves = true;
            self.words.push_back(Word::Serve);
        }
    }

    fn answered(&mut self, now: Tenths, version: Version, answer: Result<(), String>) {
        if self.applying.as_ref().is_none_or(|(asked, _)| *asked != version) {
            return;
        }
        match answer {
            Ok(()) => self.keep(now),
            Err(why) => {
                self.applying = None;
                self.subscriber.refused(now, version, why);
            }
        }
    }

    fn keep_again(&mut self, now: Tenths) {
        if self.keep_at.is_some_and(|at| at <= now) {
            self.keep(now);
        }
    }

    /// Saves the version in force and then reports it as applied. Danger: a control machine that receives this report relies
    /// on the version after a restart of this router as well, so it is written to disk before it is reported.
    fn keep(&mut self, now: Tenths) {
        self.keep_at = None;
        let Some((version, document)) = self.applying.take() else { return };
        match keep(&self.file, &whole::pack(version, 0, &document)) {
            Ok(()) => self.subscriber.applied(now, version),
            Err(why) => {
                log!(
                    "configuration: version {version} is in force but cannot be saved in {}: {why}",
                    self.file.display()
                );
                self.seen.unkept += 1;
                self.applying = Some((version, document));
                self.keep_at = Some(now + KEEP_AGAIN);
            }
        }
    }

    fn say(&mut self, now: Tenths, notice: Notice) {
        match notice {
            Notice::Silent { since } => {
                let age = (now - since) / 10;
                log!(
                    "configuration: no message for {age} ms from a control machine in contact with a writer; the settings in force stay"
                );
            }
            Notice::Heard { machine, after } => {
                log!("configuration: contact with {machine} after {} ms without any", after / 10);
            }
            Notice::Refused { version, why } => {
                log!("configuration: version {version} is refused, the one before stays: {why}");
                self.seen.refused += 1;
                self.seen.why = why;
            }
            Notice::BaseGone { holds } => {
                log!("configuration: version {holds} is no longer in the control machine's log: a full copy follows");
            }
            Notice::Serving { version, unsure } => {
                let by = if unsure {
                    "what was kept, as no control machine is heard"
                } else {
                    "the control machines"
                };
                log!("configuration: clients are heard under version {version}, by {by}");
            }
        }
    }

    /// Sends pending updates to the loop. Returns true if the loop is to be woken.
    fn tell(&mut self, inside: &mut Inside<Word, Answer>) -> bool {
        self.seen.holds = self.subscriber.holds();
        self.seen.machine = self.subscriber.served_by().cloned();
        self.seen.silent_since = self.subscriber.silent_since();
        if self.seen != self.told {
            self.told = self.seen.clone();
            self.words.retain(|word| !matches!(word, Word::Seen(_)));
            self.words.push_back(Word::Seen(self.seen.clone()));
        }
        let mut told = false;
        while let Some(word) = self.words.pop_front() {
            match inside.told.push(word) {
                Ok(()) => told = true,
                Err(rtrb::PushError::Full(word)) => {
                    self.words.push_front(word);
                    break;
                }
            }
        }
        told
    }
}
