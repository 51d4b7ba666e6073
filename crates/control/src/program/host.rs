//! Runs the configuration state machine on sockets and disk. It makes no decisions of its own.

use super::file::Control;
use crate::{ConfigurationTransport, Incoming, read_if_exists, replace_file};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel::Router;
use vetchkeel_configuration::Action as Decision;
use vetchkeel_configuration::{Document, Event, Machine, PersistedState, Tenths, Verdict};
use vetchkeel_link::Waker;
use vetchkeel_log::log_always;
use vetchkeel_settings as settings;

/// Maximum time that the thread sleeps.
const MAX_SLEEP: Tenths = 2_000;
/// Delay before a failed write of the state file is retried.
const WRITE_RETRY_DELAY: Tenths = 5_000;
/// A write of the state file that takes this long is logged: elections and changes wait for it.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Command given by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalCommand {
    Publish,
    LogCounters,
    End,
}

/// Unix time in tenths of a millisecond that never goes back.
struct Clock(Tenths, Instant);

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock((unix.as_micros() / 100) as Tenths, Instant::now())
    }

    fn now(&self) -> Tenths {
        self.0 + (self.1.elapsed().as_micros() / 100) as Tenths
    }
}

/// Checks whether a document may be published. The error is one line.
pub type Check = fn(&Document) -> Result<(), String>;

pub struct Host {
    clock: Clock,
    control: Control,
    transport: ConfigurationTransport,
    machine: Machine,
    /// When to retry writing the state; set while the accepted state is not on the disk.
    write_retry_at: Option<Tenths>,
    /// [`Machine::persisted_records`] at the last successful write.
    written_records: u64,
}

/// Checks a document before it is published, in the same way as a router would. The error is one line that states what
/// was expected.
pub fn check(document: &Document) -> Result<(), String> {
    let names = document.clone().into_map();
    settings::check_client_names(&names)?;
    let refused = |why| format!("expected settings that a router can serve under: {why}");
    Router::start(names, 0, 0).map(drop).map_err(refused)
}

fn read_stored_state(control: &Control) -> Result<Option<PersistedState>, String> {
    let path = control.keep.display();
    let bytes = read_if_exists(&control.keep).map_err(|e| format!("expected to read {path}: {e}"))?;
    let Some(bytes) = bytes else { return Ok(None) };
    let kept = PersistedState::from_bytes(&bytes);
    if kept.is_none() {
        log_always!(
            "control: {path} is truncated or damaged and is ignored: this machine starts without a stored state"
        );
    }
    Ok(kept)
}

impl Host {
    /// Restores the stored state and binds the sockets. The error is one line.
    pub fn start(control: Control, check: Check) -> Result<Host, String> {
        let clock = Clock::new();
        let (now, me) = (clock.now(), control.name.clone());
        // The seed differs for each start.
        let seed = (now as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let kept = read_stored_state(&control)?;
        let machines = control.others.keys().cloned().chain([me.clone()]).collect();
        let keepers = control.keepers.clone();
        let machine = Machine::new(control.plan, me.clone(), machines, keepers, kept, check, now, seed);
        let machine = machine.map_err(|bad| bad.to_string())?;
        let configured = control.others.iter().chain(&control.via).map(|(n, a)| (n.clone(), *a)).collect();
        let transport =
            ConfigurationTransport::bind(&me, (now / 10) as u64, control.address, configured, now, seed)?;
        log_always!("control: {me} serves version {} on {}", machine.version(), control.address);
        Ok(Host { clock, control, transport, machine, write_retry_at: None, written_records: 0 })
    }

    pub fn waker(&self) -> Waker {
        self.transport.waker()
    }

    /// Runs until it receives the command to end.
    pub fn run(mut self, commands: &Receiver<SignalCommand>) -> Result<(), String> {
        loop {
            let now = self.clock.now();
            for came in self.transport.receive(now) {
                match came {
                    Incoming::Message(from, message) => self.machine.handle_message(now, &from, message),
                    Incoming::Disconnected(from) => self.machine.connection_lost(now, &from),
                    Incoming::Rejected(why) => log_always!("control: {why}"),
                }
            }
            while let Ok(command) = commands.try_recv() {
                match command {
                    SignalCommand::Publish => self.publish(now),
                    SignalCommand::LogCounters => self.log_counters(now),
                    SignalCommand::End => return Ok(()),
                }
            }
            self.decide();
            // While the state is not on the disk, decisions wait for the next attempt to write it.
            let decides_at = self.write_retry_at.or(self.machine.wake_at());
            let due = [decides_at, self.transport.wake_at()].into_iter().flatten().min();
            let now = self.clock.now();
            let sleep = due.map_or(MAX_SLEEP, |at| at.saturating_sub(now).clamp(0, MAX_SLEEP));
            let sleep = Duration::from_micros(sleep as u64 * 100);
            self.transport.wait(sleep).map_err(|e| format!("cannot wait on its sockets: {e}"))?;
        }
    }

    /// Writes the state to the disk; returns true on success. Guards against a keeper that forgets a vote or an
    /// acknowledgement after a restart: while the disk fails, it sends nothing and its decisions wait.
    ///
    /// A write holds all records so far, also those whose actions are yet to be carried out.
    fn write_state(&mut self) -> bool {
        let records = self.machine.persisted_records();
        if self.write_retry_at.is_none() && self.written_records == records {
            return true;
        }
        let path = &self.control.keep;
        let began = Instant::now();
        let kept = replace_file(path, &self.machine.persisted().to_bytes());
        if began.elapsed() >= SLOW_WRITE {
            log_always!("control: writing {} took {} ms", path.display(), began.elapsed().as_millis());
        }
        if let Err(why) = &kept {
            log_always!(
                "control: cannot write {}; no messages are sent until it succeeds: {why}",
                path.display()
            );
        }
        match kept {
            Ok(()) => (self.write_retry_at, self.written_records) = (None, records),
            Err(_) => self.write_retry_at = Some(self.clock.now() + WRITE_RETRY_DELAY),
        }
        self.write_retry_at.is_none()
    }

    fn decide(&mut self) {
        if self.write_retry_at.is_some_and(|at| self.clock.now() < at || !self.write_state()) {
            return;
        }
        // A write can take long, so the time is read for each decision.
        while let Some(decision) = self.machine.next_decision(self.clock.now()) {
            match decision {
                Decision::Persist(_) if !self.write_state() => return,
                Decision::Persist(_) => {}
                Decision::Send { to, message } => self.transport.send(self.clock.now(), &to, &message),
                Decision::Verdict(verdict) => log_verdict(&verdict),
                Decision::Notify(event) => log_event(&event),
            }
        }
    }

    fn document(&self) -> Result<Document, String> {
        let path = self.control.document.display();
        let text = std::fs::read_to_string(&self.control.document)
            .map_err(|e| format!("expected a JSON file at {path}: {e}"))?;
        let value: serde_json::Value =
            serde_json::from_str(&text).map_err(|e| format!("{path}: expected JSON: {e}"))?;
        let object = value.as_object().ok_or_else(|| format!("{path}: expected an object of settings"))?;
        Document::from(settings::flatten_settings(object)).map_err(|bad| format!("{path}: {bad}"))
    }

    fn publish(&mut self, now: Tenths) {
        let edits = match self.document() {
            Ok(document) => self.machine.document().edits_to(&document),
            Err(why) => return log_always!("control: nothing is published: {why}"),
        };
        let names: Vec<&str> = edits.iter().take(8).map(|e| e.name.as_str()).collect();
        let names = names.join(", ");
        match (edits.len(), self.machine.writer_epoch()) {
            (0, Some(_)) => log_always!("control: nothing is published: the document is the one in force"),
            (count, _) => match self.machine.publish(now, edits) {
                Ok(()) => log_always!("control: published: {count} names changed: {names}"),
                Err(why) => log_always!("control: nothing is published: {why}"),
            },
        }
    }

    fn log_counters(&self, now: Tenths) {
        let (machine, traffic) = (&self.machine, self.transport.traffic());
        let role = match machine.writer_epoch() {
            Some(epoch) => format!("writes epoch={epoch}"),
            None => format!("follows writer={}", machine.writer(now).map_or("none", |w| w.as_str())),
        };
        let version = machine.version();
        let entries = || machine.ledger().iter();
        log_always!(
            "counters control: version={version} role={role} routers={} at={} linked={} refused={} served={} \
             messages_in={} bytes_in={} messages_out={} bytes_out={} unsent={}",
            machine.ledger().len(),
            entries().filter(|e| e.version >= version).count(),
            entries().filter(|e| e.connected).count(),
            entries().filter(|e| e.refused.is_some()).count(),
            machine.served(),
            traffic.messages_in,
            traffic.bytes_in,
            traffic.messages_out,
            traffic.bytes_out,
            traffic.unsent
        );
    }
}

fn log_verdict(verdict: &Verdict) {
    let Verdict { version, everywhere, at, behind, refused, silent } = verdict;
    if *everywhere {
        return log_always!("control: verdict: version {version} is in force everywhere: {at} routers");
    }
    let names = |names: &[_]| names.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
    let refused: Vec<String> = refused.iter().map(|(name, why)| format!("{name} ({why})")).collect();
    log_always!(
        "control: verdict: version {version} is not in force everywhere: at it {at}; behind: {}; refused: {}; silent: {}",
        names(behind),
        refused.join(" "),
        names(silent)
    );
}

fn log_event(event: &Event) {
    match event {
        Event::BecameWriter(epoch) => log_always!("control: this machine is now the writer, epoch {epoch}"),
        Event::SteppedDown(epoch) => {
            log_always!("control: this machine is no longer the writer, epoch {epoch}")
        }
        Event::Released(version) => log_always!("control: version {version} is released"),
        Event::NoWriter(_) => log_always!("control: no messages arrive from a writer"),
        Event::WriterContact(writer) => log_always!("control: the writer {writer} is reachable again"),
        Event::VotingRestored => log_always!("control: this keeper's votes count from now on"),
        Event::InvalidData(version, bad) => {
            log_always!("control: version {version} cannot be applied: {bad}")
        }
        Event::Forgotten(count) => {
            log_always!("control: {count} routers are forgotten after long silence")
        }
        Event::LedgerFull(name) => log_always!("control: no room in the ledger for router {name}"),
        Event::RouterLimit(name) => log_always!("control: all places are taken: router {name} is redirected"),
        Event::Unpublished(edits) => {
            let names: Vec<&str> = edits.iter().map(|e| e.name.as_str()).collect();
            log_always!("control: not published, publish again at the writer: {}", names.join(", "));
        }
    }
}
