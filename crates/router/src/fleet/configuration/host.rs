//! The thread that receives settings from the control machines: it runs the subscriber on the link's streams and saves the
//! settings in force on disk. All decisions are made by the configuration crate.

use super::file::ConfigurationSettings;
use crate::Clock;
use crate::fleet::worker::ThreadSide;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::Duration;
use vetchkeel::{SettingValues, Tenths};
use vetchkeel_configuration::{Decision, Document, Name, Notice, Subscriber, Version, whole};
use vetchkeel_control::{ConfigurationTransport, Incoming, read_if_exists, replace_file};
use vetchkeel_link::Waker;
use vetchkeel_log::log;

/// The longest sleep of the thread, and so the longest interval between its heartbeats.
const MAX_SLEEP: Tenths = 2_000;
/// Delay before a failed save is retried.
const SAVE_RETRY_DELAY: Tenths = 10_000;

/// An update from the thread to the loop.
pub enum Update {
    /// A version to apply between two turns. The loop replies with an [`ApplyResult`].
    Apply(Version, SettingValues),
    /// Clients may be served from now on.
    Serve,
    Status(Status),
}

/// The state that the loop prints with its counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    pub holds: Version,
    pub machine: Option<Name>,
    /// Since when no message has arrived from a control machine that is in contact with a writer; in tenths of a
    /// millisecond since 1970.
    pub silent_since: Option<Tenths>,
    /// Number of refused versions, and the reason of the last refusal.
    pub refused: u64,
    pub why: String,
    /// How often saving the version in force failed.
    pub save_failures: u64,
}

/// The result of applying a version in the loop.
pub type ApplyResult = (Version, Result<(), String>);

/// The state of the configuration thread.
pub struct Host {
    clock: Clock,
    transport: ConfigurationTransport,
    subscriber: Subscriber,
    file: PathBuf,
    /// The version that the loop is applying, or that is in force but not saved yet; and when to retry the save.
    applying: Option<(Version, Document)>,
    save_retry_at: Option<Tenths>,
    serving: bool,
    status: Status,
    /// The value of `status` that was last sent to the loop.
    sent_status: Status,
    /// Updates for which the ring had no room, in order.
    pending: VecDeque<Update>,
}

fn load_saved(file: &std::path::Path) -> Option<(Version, Document)> {
    let path = file.display();
    let read = read_if_exists(file).map_err(|why| why.to_string()).transpose()?;
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
    pub fn bind(me: Name, settings: ConfigurationSettings, seed: u64) -> Result<Host, String> {
        let clock = Clock::new();
        let now = clock.now();
        let start = (now / 10) as u64;
        // A restarted process must not repeat the random numbers of an earlier one.
        let seed = seed ^ start.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let saved = load_saved(&settings.state_file);
        match &saved {
            Some((version, _)) => log!("configuration: saved version {version} was read"),
            None => log!("configuration: nothing was kept"),
        }
        let machines: Vec<Name> = settings.machines.keys().cloned().collect();
        let subscriber = Subscriber::new(settings.plan, me.clone(), start, saved, machines, now, seed);
        let mut subscriber = subscriber.map_err(|bad| bad.to_string())?;
        subscriber.prefer_machines(&settings.near);
        let transport =
            ConfigurationTransport::bind(&me, start, settings.address, settings.machines, now, seed)?;
        let (applying, save_retry_at, serving) = (None, None, false);
        let (status, sent_status, pending) = (Status::default(), Status::default(), VecDeque::new());
        Ok(Host {
            clock,
            transport,
            subscriber,
            file: settings.state_file,
            applying,
            save_retry_at,
            serving,
            status,
            sent_status,
            pending,
        })
    }

    pub fn waker(&self) -> Waker {
        self.transport.waker()
    }

    /// Runs until the loop has ended.
    pub fn run(
        mut self,
        thread_side: &mut ThreadSide<Update, ApplyResult>,
        wake: &dyn Fn(),
    ) -> Result<(), String> {
        while !thread_side.requests.is_abandoned() {
            thread_side.heartbeat.record();
            let now = self.clock.now();
            while let Ok((version, result)) = thread_side.requests.pop() {
                self.handle_result(now, version, result);
            }
            self.retry_save(now);
            self.receive(now);
            self.run_decisions(now);
            if self.send_updates(thread_side) {
                wake();
            }
            let now = self.clock.now();
            let due = [self.subscriber.wake_at(), self.transport.wake_at(), self.save_retry_at];
            let due = due.into_iter().flatten().min();
            let sleep = due.map_or(MAX_SLEEP, |at| at.saturating_sub(now).clamp(0, MAX_SLEEP));
            let sleep = Duration::from_micros(sleep as u64 * 100);
            self.transport.wait(sleep).map_err(|e| format!("cannot wait on its sockets: {e}"))?;
        }
        Ok(())
    }

    fn receive(&mut self, now: Tenths) {
        for came in self.transport.receive(now) {
            match came {
                Incoming::Message(from, message) => self.subscriber.handle_message(now, &from, message),
                Incoming::Disconnected(machine) => self.subscriber.connection_lost(now, &machine),
                Incoming::Rejected(why) => log!("configuration: {why}"),
            }
        }
    }

    fn run_decisions(&mut self, now: Tenths) {
        while let Some(decision) = self.subscriber.next_decision(now) {
            match decision {
                Decision::Send { to, message } => self.transport.send(now, &to, &message),
                Decision::Apply { version, document } => {
                    let settings = document.clone().into_map();
                    self.applying = Some((version, document));
                    self.pending.push_back(Update::Apply(version, settings));
                }
                Decision::Notify(notice) => self.log_notice(now, notice),
            }
        }
        if !self.serving && self.subscriber.may_serve(now) {
            self.serving = true;
            self.pending.push_back(Update::Serve);
        }
    }

    fn handle_result(&mut self, now: Tenths, version: Version, result: Result<(), String>) {
        if self.applying.as_ref().is_none_or(|(asked, _)| *asked != version) {
            return;
        }
        match result {
            Ok(()) => self.save(now),
            Err(why) => {
                self.applying = None;
                self.subscriber.refused(now, version, why);
            }
        }
    }

    fn retry_save(&mut self, now: Tenths) {
        if self.save_retry_at.is_some_and(|at| at <= now) {
            self.save(now);
        }
    }

    /// Saves the version in force and then reports it as applied. Danger: a control machine that receives this report relies
    /// on the version after a restart of this router as well, so it is written to disk before it is reported.
    fn save(&mut self, now: Tenths) {
        self.save_retry_at = None;
        let Some((version, document)) = self.applying.take() else { return };
        match replace_file(&self.file, &whole::pack(version, 0, &document)) {
            Ok(()) => self.subscriber.applied(now, version),
            Err(why) => {
                log!(
                    "configuration: version {version} is in force but cannot be saved in {}: {why}",
                    self.file.display()
                );
                self.status.save_failures += 1;
                self.applying = Some((version, document));
                self.save_retry_at = Some(now + SAVE_RETRY_DELAY);
            }
        }
    }

    fn log_notice(&mut self, now: Tenths, notice: Notice) {
        match notice {
            Notice::NoContact { since } => {
                let age = (now - since) / 10;
                log!(
                    "configuration: no control machine in contact with a writer for {age} ms; the settings in force stay"
                );
            }
            Notice::ContactRestored { machine, after } => {
                log!("configuration: contact with {machine} after {} ms without any", after / 10);
            }
            Notice::Refused { version, why } => {
                log!("configuration: version {version} is refused, the one before stays: {why}");
                self.status.refused += 1;
                self.status.why = why;
            }
            Notice::SnapshotNeeded { holds } => {
                log!(
                    "configuration: version {holds} is no longer in the control machine's log: a full copy follows"
                );
            }
            Notice::Serving { version, unconfirmed } => {
                let by = if unconfirmed {
                    "what was kept, as no control machine is heard"
                } else {
                    "the control machines"
                };
                log!("configuration: clients are heard under version {version}, by {by}");
            }
        }
    }

    /// Sends pending updates to the loop. Returns true if the loop is to be woken.
    fn send_updates(&mut self, thread_side: &mut ThreadSide<Update, ApplyResult>) -> bool {
        self.status.holds = self.subscriber.holds();
        self.status.machine = self.subscriber.served_by().cloned();
        self.status.silent_since = self.subscriber.no_contact_since();
        if self.status != self.sent_status {
            self.sent_status = self.status.clone();
            self.pending.retain(|update| !matches!(update, Update::Status(_)));
            self.pending.push_back(Update::Status(self.status.clone()));
        }
        let mut wake = false;
        while let Some(update) = self.pending.pop_front() {
            match thread_side.updates.push(update) {
                Ok(()) => wake = true,
                Err(rtrb::PushError::Full(update)) => {
                    self.pending.push_front(update);
                    break;
                }
            }
        }
        wake
    }
}
