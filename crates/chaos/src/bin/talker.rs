//! A stand-in for an instance in tests of the harness: sends numbered messages to its peers, sends again what came back,
//! and writes a line for each thing it did or was told. Ends when its input ends.
//!
//!     talker NAME INCARNATION LISTEN PEER=ADDRESS ...

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use vetchkeel_link::{
    Bounds, Channel, Event, Kinds, Name, Protocols, Sender, Sockets, StreamId, Tenths, Transport, Waker,
};

const NOTE: u16 = 1;
const STREAM: StreamId = 1;
/// Between messages to each peer. Tenths of a millisecond.
const EVERY: Tenths = 50;
/// Messages that wait to be sent again; further ones are given up, and that is written.
const AGAIN: usize = 1_000;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("talker: {why}");
            ExitCode::from(2)
        }
    }
}

fn named(text: &str) -> Result<Name, String> {
    Name::new(text).ok_or_else(|| format!("expected a name, found '{text}'"))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("expected an address, found '{text}'"))
}

struct Talker {
    sockets: Sockets,
    peers: Vec<Name>,
    /// Bodies to send again, by peer, in order.
    again: BTreeMap<Name, Vec<u64>>,
    /// The last body made for each peer.
    made: BTreeMap<Name, u64>,
    out: std::io::Stdout,
}

fn run(arguments: &[String]) -> Result<(), String> {
    let [name, incarnation, listen, peers @ ..] = arguments else {
        return Err("expected NAME INCARNATION LISTEN PEER=ADDRESS ...".into());
    };
    let incarnation = incarnation.parse().map_err(|_| "expected a number as the incarnation".to_owned())?;
    let me = Sender { name: named(name)?, incarnation };
    let bounds = Bounds { ack_timeout: 20_000, ..Bounds::default() };
    let kinds = Kinds::new(&[(NOTE, "note")]);
    let mut sockets = Sockets::bind(me, kinds, bounds, address(listen)?, Protocols::Both, incarnation)
        .map_err(|e| format!("{listen}: {e}"))?;
    let mut known = Vec::new();
    for peer in peers {
        let (name, at) =
            peer.split_once('=').ok_or_else(|| format!("expected PEER=ADDRESS, found '{peer}'"))?;
        let name = named(name)?;
        sockets.add_peer(0, &name, address(at)?).map_err(|e| e.to_string())?;
        known.push(name);
    }
    end_with_input(sockets.waker());
    let (again, made) = (BTreeMap::new(), BTreeMap::new());
    Talker { sockets, peers: known, again, made, out: std::io::stdout() }.talk().map_err(|e| e.to_string())
}

/// Danger: without this a talker would outlive a harness that was killed.
fn end_with_input(waker: Waker) {
    std::thread::spawn(move || {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        let _ = waker.wake();
        std::process::exit(0);
    });
}

impl Talker {
    fn say(&self, line: &str) -> std::io::Result<()> {
        // One write a line: a process that is killed leaves whole lines.
        (&self.out).write_all(format!("{line}\n").as_bytes())
    }

    fn talk(&mut self) -> std::io::Result<()> {
        let began = Instant::now();
        let now = || (began.elapsed().as_micros() / 100) as Tenths;
        let mut next = 0;
        loop {
            while let Some(event) = self.sockets.poll(now()) {
                self.told(event)?;
            }
            if now() >= next {
                next = now() + EVERY;
                for peer in self.peers.clone() {
                    self.send(now(), &peer)?;
                }
                continue;
            }
            let wake = self.sockets.wake_at().unwrap_or(next).min(next);
            let wait = Duration::from_micros(100 * (wake.saturating_sub(now())).clamp(0, EVERY) as u64);
            self.sockets.wait(wait)?;
        }
    }

    /// What came back goes first, so that bodies stay in order.
    fn send(&mut self, now: Tenths, peer: &Name) -> std::io::Result<()> {
        let datagram = self.sockets.send(now, peer, Channel::Datagram, NOTE, b"here");
        debug_assert!(datagram.is_ok());
        loop {
            let waiting = self.again.entry(peer.clone()).or_default();
            let made = self.made.entry(peer.clone()).or_default();
            let body = waiting.first().copied().unwrap_or(*made + 1);
            match self.sockets.send(now, peer, Channel::Stream(STREAM), NOTE, &body.to_be_bytes()) {
                Ok(number) if waiting.is_empty() => {
                    *made = body;
                    return self.say(&format!("taken {peer} {number} {body}"));
                }
                Ok(number) => {
                    waiting.remove(0);
                    self.say(&format!("taken {peer} {number} {body}"))?;
                }
                Err(_) => return Ok(()),
            }
        }
    }

    fn told(&mut self, event: Event) -> std::io::Result<()> {
        match event {
            Event::Message { from, epoch, number, body, .. } => {
                let body = body.try_into().map_or(0, u64::from_be_bytes);
                self.say(&format!("handed {} {} {epoch} {number} {body}", from.name, from.incarnation))
            }
            Event::Acknowledged { to, number, .. } => self.say(&format!("acknowledged {to} {number}")),
            Event::Broken { to, unacknowledged, .. } => {
                for message in unacknowledged {
                    self.say(&format!("back {to} {}", message.number))?;
                    let body = message.body.try_into().map_or(0, u64::from_be_bytes);
                    let waiting = self.again.entry(to.clone()).or_default();
                    match waiting.len() < AGAIN {
                        true => waiting.push(body),
                        false => self.say(&format!("given-up {to} {body}"))?,
                    }
                }
                Ok(())
            }
            Event::Datagram { from, .. } => self.say(&format!("datagram {} {}", from.name, from.incarnation)),
            Event::Rejected { why, .. } => self.say(&format!("unread {why}")),
        }
    }
}
