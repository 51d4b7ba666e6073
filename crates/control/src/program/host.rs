//! The machine on sockets and disk. Nothing is decided here.

use super::file::Control;
use crate::{Came, Carrier, found, keep};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel::Router;
use vetchkeel_configuration::Action as Decision;
use vetchkeel_configuration::{Document, Event, Machine, PersistedState, Tenths, Verdict};
use vetchkeel_link::Waker;
use vetchkeel_log::log_always;
use vetchkeel_settings as settings;

/// How long the thread sleeps at most.
const LONGEST_SLEEP: Tenths = 2_000;
/// What could not be kept is tried again after this.
const KEEP_AGAIN: Tenths = 5_000;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Publish,
    Print,
    End,
}

/// Unix time in tenths of a millisecond, that never goes back.
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

/// Whether a document may be published. The error is one line.
pub type Check = fn(&Document) -> Result<(), String>;

pub struct Host {
    clock: Clock,
    control: Control,
    carrier: Carrier,
    machine: Machine,
    /// What it took on is not on its disk: when that is tried again.
    keep_at: Option<Tenths>,
}

/// The check at the source: what a router itself would check. The error is one line that says what was expected.
pub fn check(document: &Document) -> Result<(), String> {
    let told = document.clone().into_map();
    settings::check_client_names(&told)?;
    let refused = |why| format!("expected settings that a router can serve under: {why}");
    Router::start(told, 0, 0).map(drop).map_err(refused)
}

fn kept(control: &Control) -> Result<Option<PersistedState>, String> {
    let path = control.keep.display();
    let bytes = found(&control.keep).map_err(|e| format!("expected to read {path}: {e}"))?;
    let Some(bytes) = bytes else { return Ok(None) };
    let kept = PersistedState::from_bytes(&bytes);
    if kept.is_none() {
        log_always!(
            "control: {path} is cut or damaged, and not used: this machine starts as one that kept nothing"
        );
    }
    Ok(kept)
}

impl Host {
    /// The error is one line.
    pub fn start(control: Control, check: Check) -> Result<Host, String> {
        let clock = Clock::new();
        let (now, me) = (clock.now(), control.name.clone());
        // Differs from start to start.
        let seed = (now as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id());
        let kept = kept(&control)?;
        let machines = control.others.keys().cloned().chain([me.clone()]).collect();
        let keepers = control.keepers.clone();
        let machine = Machine::new(control.plan, me.clone(), machines, keepers, kept, check, now, seed);
        let machine = machine.map_err(|bad| bad.to_string())?;
        let fixed = control.others.iter().chain(&control.via).map(|(n, a)| (n.clone(), *a)).collect();
        let carrier = Carrier::bind(&me, (now / 10) as u64, control.address, fixed, now, seed)?;
        log_always!("control: {me} serves version {} on {}", machine.version(), control.address);
        Ok(Host { clock, control, carrier, machine, keep_at: None })
    }

    pub fn waker(&self) -> Waker {
        self.carrier.waker()
    }

    /// Until it is told to end.
    pub fn run(mut self, orders: &Receiver<Order>) -> Result<(), String> {
        loop {
            let now = self.clock.now();
            for came in self.carrier.hear(now) {
                match came {
                    Came::Message(from, message) => self.machine.handle_message(now, &from, message),
                    Came::Left(from) => self.machine.connection_lost(now, &from),
                    Came::Unread(why) => log_always!("control: {why}"),
                }
            }
            while let Ok(order) = orders.try_recv() {
                match order {
                    Order::Publish => self.publish(now),
                    Order::Print => self.print(now),
                    Order::End => return Ok(()),
                }
            }
            self.decide(now);
            // What the machine decides waits for its disk.
            let decides_at = self.keep_at.or(self.machine.wake_at());
            let due = [decides_at, self.carrier.wake_at()].into_iter().flatten().min();
            let now = self.clock.now();
            let sleep = due.map_or(LONGEST_SLEEP, |at| at.saturating_sub(now).clamp(0, LONGEST_SLEEP));
            let sleep = Duration::from_micros(sleep as u64 * 100);
            self.carrier.wait(sleep).map_err(|e| format!("cannot wait on its sockets: {e}"))?;
        }
    }

    /// Whether what was taken on is on the disk. Danger: a keeper that promised and forgot. Without its disk it says
    /// nothing more until it has it back: what it decides waits.
    fn keep(&mut self, now: Tenths) -> bool {
        let path = &self.control.keep;
        let kept = keep(path, &self.machine.persisted().to_bytes());
        if let Err(why) = &kept {
            log_always!("control: cannot write {}, and says nothing until it can: {why}", path.display());
        }
        self.keep_at = kept.is_err().then_some(now + KEEP_AGAIN);
        self.keep_at.is_none()
    }

    fn decide(&mut self, now: Tenths) {
        if self.keep_at.is_some_and(|at| now < at || !self.keep(now)) {
            return;
        }
        while let Some(decision) = self.machine.next_decision(now) {
            match decision {
                Decision::Persist(_) if !self.keep(now) => return,
                Decision::Persist(_) => {}
                Decision::Send { to, message } => self.carrier.send(now, &to, &message),
                Decision::Verdict(verdict) => say_verdict(&verdict),
                Decision::Notify(event) => say(&event),
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

    fn print(&self, now: Tenths) {
        let (machine, traffic) = (&self.machine, self.carrier.traffic());
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

fn say_verdict(verdict: &Verdict) {
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

fn say(event: &Event) {
    match event {
        Event::BecameWriter(epoch) => log_always!("control: this machine writes, epoch {epoch}"),
        Event::SteppedDown(epoch) => {
            log_always!("control: this machine does not write any more, epoch {epoch}")
        }
        Event::Released(version) => log_always!("control: version {version} is released"),
        Event::NoWriter(_) => log_always!("control: no writer is heard"),
        Event::WriterContact(writer) => log_always!("control: {writer} is heard and writes"),
        Event::VotingRestored => log_always!("control: this keeper's word counts from now on"),
        Event::InvalidData(version, bad) => {
            log_always!("control: {version} does not fit what is held: {bad}")
        }
        Event::Forgotten(count) => {
            log_always!("control: {count} routers that were long silent are forgotten")
        }
        Event::LedgerFull(name) => log_always!("control: no room in the ledger for {name}"),
        Event::RouterLimit(name) => log_always!("control: all places are taken: {name} is sent elsewhere"),
        Event::Unpublished(edits) => {
            let names: Vec<&str> = edits.iter().map(|e| e.name.as_str()).collect();
            log_always!("control: not published, publish again at the writer: {}", names.join(", "));
        }
    }
}
