//! Conformance suite for [`Transport`]: asserts what every implementation guarantees, in any environment that can
//! start instances. A new implementation needs one line in its tests: `contract::check(|| MyGround::new()).unwrap()`.

use crate::envelope::{Header, Lane, VERSION, encode};
use crate::message::{
    Event, Kind, Kinds, Message, Name, Refused, Sender, StreamId, Tenths, Unread, Way, Why,
};
use crate::talk::Bounds;
use crate::transport::Transport;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Environment in which instances run: a simulated network, the machine's sockets, or relays between them.
pub trait Ground {
    type T: Transport;

    /// Starts an instance under [`bounds`]. A later incarnation of the same name has the address of the earlier
    /// one.
    fn start(&mut self, me: Sender, kinds: Kinds) -> Self::T;

    /// The address at which `from` reaches `to`; known once both have started.
    fn address(&mut self, from: &Name, to: &Name) -> SocketAddr;

    fn now(&self) -> Tenths;

    /// Advances the time.
    fn pass(&mut self, time: Tenths);

    /// Sends these bytes to an instance as a datagram. False if it does not receive datagrams.
    fn inject(&mut self, to: &Name, datagram: &[u8]) -> bool;

    /// Whether datagrams may be lost, duplicated or reordered here.
    fn is_faulty(&self) -> bool {
        false
    }
}

/// The bounds of the instances under test: the defaults with a shorter acknowledgement timeout and shorter backoff.
pub fn bounds() -> Bounds {
    let usual = Bounds::default();
    let backoff = crate::Backoff { first: 100, most: 1_000, answer: 5_000, steady: 1_000 };
    Bounds { patience: 15_000, backoff, ..usual }
}

const NOTE: Kind = 1;
const OTHER: Kind = 2;
/// Known to some of the instances only.
const NEWER: Kind = 9;

/// A clause of the contract that a transport violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub clause: &'static str,
    pub why: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.clause, self.why)
    }
}

/// Checks every clause in a new environment. Returns the first violation.
pub fn check<G: Ground>(make: impl Fn() -> G) -> Result<(), Breach> {
    let clauses: [(&'static str, Clause<G>); 11] = [
        ("a message that cannot be sent is refused", refusals),
        ("a datagram arrives unchanged or not at all", datagrams),
        ("unreadable input is reported and not delivered", unread),
        ("a stream delivers each message once and in order", streams),
        ("unacknowledged bytes are bounded, and none are lost", bounded),
        ("a crash returns the unacknowledged messages", crash),
        ("a restarted peer is reached under its name", restart),
        ("an unknown message kind breaks only its stream", unknown_kind),
        ("an absent peer breaks the stream", nobody),
        ("a removed peer's unacknowledged messages are returned", forgotten),
        ("a message for another instance is not delivered", elsewhere),
    ];
    for (clause, play) in clauses {
        let mut ground = make();
        let kinds = Kinds::new(&[(NOTE, "note"), (OTHER, "other")]);
        let mut party =
            Play { transports: BTreeMap::new(), told: BTreeMap::new(), kinds, ground: &mut ground };
        play(&mut party).map_err(|why| Breach { clause, why })?;
    }
    Ok(())
}

type Kept = Result<(), String>;
type Clause<G> = fn(&mut Play<G>) -> Kept;

/// Instances in an environment, and the events each one received.
struct Play<'a, G: Ground> {
    transports: BTreeMap<Name, G::T>,
    told: BTreeMap<Name, Vec<Event>>,
    kinds: Kinds,
    ground: &'a mut G,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|| panic!("{text} is not a valid name"))
}

fn must(kept: bool, why: impl FnOnce() -> String) -> Kept {
    if kept { Ok(()) } else { Err(why()) }
}

/// A body of this length that encodes the message's number.
fn body(place: u64, length: usize) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..length).map(|i| (i as u64).wrapping_mul(place + 7) as u8).collect();
    let start = length.min(8);
    bytes[..start].copy_from_slice(&place.to_be_bytes()[8 - start..]);
    bytes
}

impl<G: Ground> Play<'_, G> {
    fn start(&mut self, who: &str, incarnation: u64) {
        let kinds = self.kinds.clone();
        self.start_with(who, incarnation, kinds);
    }

    fn start_with(&mut self, who: &str, incarnation: u64, kinds: Kinds) {
        let me = Sender { name: name(who), incarnation };
        let transport = self.ground.start(me, kinds);
        self.transports.insert(name(who), transport);
        self.told.entry(name(who)).or_default();
    }

    fn meet(&mut self, from: &str, to: &str) -> Kept {
        let address = self.ground.address(&name(from), &name(to));
        let now = self.ground.now();
        let met = self.of(from).meet(now, &name(to), address);
        met.map_err(|why| format!("{from} cannot add peer {to}: {why}"))
    }

    /// Starts these instances and adds each as a peer of the others.
    fn begin(&mut self, names: &[&str]) -> Kept {
        names.iter().for_each(|n| self.start(n, 1));
        for (from, to) in names.iter().flat_map(|f| names.iter().map(move |t| (f, t))).filter(|(f, t)| f != t)
        {
            self.meet(from, to)?;
        }
        Ok(())
    }

    fn of(&mut self, who: &str) -> &mut G::T {
        self.transports.get_mut(&name(who)).unwrap_or_else(|| panic!("{who} was not started"))
    }

    fn told(&self, who: &str) -> &[Event] {
        self.told.get(&name(who)).map_or(&[], Vec::as_slice)
    }

    fn streams(&mut self, who: &str) -> bool {
        self.of(who).carries(Way::Stream(0))
    }

    fn send(&mut self, from: &str, to: &str, way: Way, kind: Kind, body: &[u8]) -> Result<u64, Refused> {
        let now = self.ground.now();
        self.of(from).send(now, &name(to), way, kind, body)
    }

    /// Polls these instances until none has further events.
    fn poll(&mut self, who: &[&str]) {
        for who in who {
            while let Some(event) = {
                let now = self.ground.now();
                self.of(who).poll(now)
            } {
                self.told.entry(name(who)).or_default().push(event);
            }
        }
    }

    /// Polls these instances until `done`, for at most `limit`.
    fn until(&mut self, who: &[&str], limit: Tenths, what: &str, done: impl Fn(&Self) -> bool) -> Kept {
        let end = self.ground.now() + limit;
        loop {
            self.poll(who);
            if done(self) {
                return Ok(());
            }
            let told =
                || who.iter().map(|w| format!("{w}: {}", self.summary(w))).collect::<Vec<_>>().join("; ");
            must(self.ground.now() < end, || {
                format!("{what} did not happen in {limit} tenths ({})", told())
            })?;
            self.ground.pass(10);
        }
    }

    fn summary(&self, who: &str) -> String {
        let last =
            self.told(who).last().map_or_else(String::new, |e| format!("{e:?}").chars().take(160).collect());
        format!("{} events, the last {last}", self.told(who).len())
    }

    /// The messages of a stream that were delivered to an instance: epoch, number, body.
    fn handed(&self, who: &str, from: &str, of: StreamId) -> Vec<(u64, u64, &[u8])> {
        let of = |e| match e {
            &Event::Message { from: ref s, stream, epoch, number, ref body, .. }
                if s.name == name(from) && stream == of =>
            {
                Some((epoch, number, body.as_slice()))
            }
            _ => None,
        };
        self.told(who).iter().filter_map(of).collect()
    }

    fn acknowledged(&self, who: &str, by: &str, of: StreamId) -> u64 {
        let of = |e| match e {
            &Event::Acknowledged { ref to, stream, number } if *to == name(by) && stream == of => {
                Some(number)
            }
            _ => None,
        };
        self.told(who).iter().filter_map(of).max().unwrap_or(0)
    }

    fn broken(&self, who: &str) -> Vec<(&Name, StreamId, &[Message], &Why)> {
        let of = |e| match e {
            &Event::Broken { ref to, stream, ref unacknowledged, ref why } => {
                Some((to, stream, unacknowledged.as_slice(), why))
            }
            _ => None,
        };
        self.told(who).iter().filter_map(of).collect()
    }
}

/// Checks that numbers are consecutive within an epoch, an epoch begins with its own number, and epochs grow.
fn in_order(handed: &[(u64, u64, &[u8])]) -> Kept {
    let mut last: Option<(u64, u64)> = None;
    for (epoch, number, _) in handed {
        let follows = match last {
            Some((e, n)) if e == *epoch => *number == n + 1,
            Some((e, _)) => epoch > &e && number == epoch,
            None => number == epoch,
        };
        must(follows, || format!("number {number} of epoch {epoch} was delivered after {last:?}"))?;
        last = Some((*epoch, *number));
    }
    Ok(())
}

fn refusals<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    for way in [Way::Datagram, Way::Stream(1)] {
        if !play.of("a").carries(way) {
            let refused = play.send("a", "b", way, NOTE, b"");
            must(refused == Err(Refused::NoSuchWay(way)), || format!("{way:?}: {refused:?}"))?;
            continue;
        }
        let refused = play.send("a", "nobody", way, NOTE, b"");
        must(refused == Err(Refused::NotMet(name("nobody"))), || format!("unknown peer: {refused:?}"))?;
        let refused = play.send("a", "b", way, NEWER, b"");
        must(refused == Err(Refused::Kind(NEWER)), || format!("unknown kind: {refused:?}"))?;
        let refused = play.send("a", "b", way, NOTE, &vec![0; bounds().message + 1]);
        must(matches!(refused, Err(Refused::TooLong { .. })), || format!("too long: {refused:?}"))?;
    }
    Ok(())
}

/// Maximum body of a datagram, as reported by the transport.
fn datagram_most<G: Ground>(play: &mut Play<G>) -> Result<usize, String> {
    match play.send("a", "b", Way::Datagram, NOTE, &vec![0; bounds().datagram + 1]) {
        Err(Refused::TooLong { bound, .. }) => Ok(bound),
        other => Err(format!("a datagram over the limit: {other:?}")),
    }
}

fn datagrams<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.of("a").carries(Way::Datagram) {
        return Ok(());
    }
    let most = datagram_most(play)?;
    let lengths: Vec<usize> = (0..40).map(|i| i * most / 39).collect();
    let faulty = play.ground.is_faulty();
    let sent = |i: usize| body(i as u64, lengths[i]);
    for i in 0..lengths.len() {
        play.send("a", "b", Way::Datagram, OTHER, &sent(i)).map_err(|why| why.to_string())?;
        play.poll(&["b"]);
        play.ground.pass(1);
    }
    let least = if faulty { lengths.len() / 4 } else { lengths.len() };
    play.until(&["a", "b"], 80_000, "the arrival of datagrams", |p| p.told("b").len() >= least)?;
    let mut count = BTreeMap::new();
    for event in play.told("b") {
        let Event::Datagram { from, kind, body } = event else { return Err(format!("got {event:?}")) };
        must(from.name == name("a") && from.incarnation == 1 && *kind == OTHER, || format!("from {from}"))?;
        let which = (0..lengths.len()).find(|i| sent(*i) == *body);
        let which = which
            .ok_or_else(|| format!("received a datagram of {} bytes that was never sent", body.len()))?;
        *count.entry(which).or_insert(0) += 1;
    }
    must(faulty || count.values().all(|n| *n == 1), || {
        "a datagram arrived twice on a link without faults".into()
    })
}

fn unread<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.of("b").carries(Way::Datagram) {
        return Ok(());
    }
    let header =
        |to: &'static str, kind| Header { from: "a", incarnation: 1, to, kind, lane: Lane::Datagram };
    let good = encode(&header("b", NOTE), b"x");
    let mut newer = good.clone();
    newer[2] = VERSION + 1;
    let mut damaged = good.clone();
    if let Some(last) = damaged.last_mut() {
        *last ^= 1;
    }
    let cases = [
        (newer, Unread::Version { theirs: VERSION + 1, ours: VERSION }),
        (damaged, Unread::Damaged),
        (b"GET / HTTP/1.1".to_vec(), Unread::Foreign),
        (encode(&header("b", NEWER), b""), Unread::Kind(NEWER)),
        (encode(&header("c", NOTE), b""), Unread::NotMine("c".into())),
    ];
    for (bytes, expected) in cases {
        must(play.ground.inject(&name("b"), &bytes), || {
            "datagrams are supported but cannot be injected".into()
        })?;
        let says = |p: &Play<G>| {
            p.told("b").iter().any(|e| matches!(e, Event::Unread { why, .. } if *why == expected))
        };
        play.until(&["b"], 60_000, &format!("the report {expected:?}"), says)?;
    }
    play.ground.inject(&name("b"), &good);
    let handed = |p: &Play<G>| p.told("b").iter().filter(|e| matches!(e, Event::Datagram { .. })).count();
    play.until(&["b"], 60_000, "a valid datagram after the invalid ones", |p| handed(p) > 0)?;
    must(handed(play) == 1, || "more than the valid datagram was delivered".into())
}

fn streams<G: Ground>(play: &mut Play<G>) -> Kept {
    const EACH: u64 = 150;
    play.begin(&["a", "b", "c"])?;
    if !play.streams("a") {
        return Ok(());
    }
    let length = |i: u64| if i == 70 { bounds().message } else { (i as usize * 37) % 2_000 };
    let ways: Vec<(&str, StreamId)> = vec![("a", 0), ("a", 1), ("a", 65_535), ("b", 0), ("b", 7)];
    let mut next: Vec<u64> = vec![1; ways.len()];
    let end = play.ground.now() + 200_000;
    while next.iter().any(|n| *n <= EACH) {
        for (i, (from, stream)) in ways.iter().enumerate() {
            let bytes = body(next[i], length(next[i]));
            if next[i] <= EACH {
                match play.send(from, "c", Way::Stream(*stream), NOTE, &bytes) {
                    Ok(number) => {
                        must(number == next[i], || {
                            format!("message {} got sequence number {number}", next[i])
                        })?;
                        next[i] += 1;
                    }
                    Err(Refused::Full { .. }) => play.ground.pass(1),
                    Err(why) => return Err(format!("refused: {why}")),
                }
            }
        }
        play.poll(&["a", "b", "c"]);
        must(play.ground.now() < end, || "the streams make no progress".into())?;
    }
    let all = |p: &Play<G>| ways.iter().all(|(from, stream)| p.acknowledged(from, "c", *stream) == EACH);
    play.until(&["a", "b", "c"], 100_000, "the acknowledgement of all messages", all)?;
    for (from, stream) in &ways {
        let handed = play.handed("c", from, *stream);
        in_order(&handed)?;
        must(handed.len() as u64 == EACH, || format!("{} of {EACH} were delivered", handed.len()))?;
        let as_sent = |(_, n, b): &(u64, u64, &[u8])| *b == body(*n, length(*n));
        must(handed.iter().all(as_sent), || "a body differs from the one sent".into())?;
    }
    must(play.broken("a").is_empty() && play.broken("b").is_empty(), || {
        "a stream broke on a link without faults".into()
    })
}

fn bounded<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.streams("a") {
        return Ok(());
    }
    let (bound, length) = (bounds().stream_bytes, 10_000);
    let mut taken = 0u64;
    let mut end = play.ground.now() + 200_000;
    let mut full = false;
    // b runs and does not poll.
    while play.ground.now() < end {
        match play.send("a", "b", Way::Stream(3), NOTE, &body(taken + 1, length)) {
            Ok(_) => taken += 1,
            Err(Refused::Full { .. }) => {
                // Time for acknowledgements that must not arrive.
                if !std::mem::replace(&mut full, true) {
                    end = play.ground.now() + 3_000;
                }
                play.ground.pass(50);
            }
            Err(why) => return Err(format!("refused: {why}")),
        }
        must(taken as usize * length <= bound, || format!("{taken} messages accepted, none delivered"))?;
        play.poll(&["a"]);
        let early = play.acknowledged("a", "b", 3);
        must(early == 0, || format!("{early} reported as acknowledged before delivery"))?;
    }
    must(full && taken as usize * length > bound / 2, || format!("only {taken} messages were accepted"))?;
    let all = |p: &Play<G>| p.acknowledged("a", "b", 3) == taken;
    play.until(&["a", "b"], 100_000, "the acknowledgement of all accepted messages", all)?;
    let handed = play.handed("b", "a", 3);
    in_order(&handed)?;
    must(handed.len() as u64 == taken, || format!("{} of {taken} were delivered", handed.len()))?;
    let again = play.send("a", "b", Way::Stream(3), NOTE, &body(0, length));
    must(again == Ok(taken + 1), || format!("send refused after all was acknowledged: {again:?}"))
}

/// Crashes b after it was handed `some` of the messages from a. The events at a must account for every message.
fn crash_after<G: Ground>(play: &mut Play<G>, some: usize) -> Kept {
    const SENT: u64 = 60;
    for i in 1..=SENT {
        let taken = play.send("a", "b", Way::Stream(5), NOTE, &body(i, 20_000 / i as usize));
        must(taken == Ok(i), || format!("message {i}: {taken:?}"))?;
    }
    let end = play.ground.now() + 50_000;
    while play.handed("b", "a", 5).len() < some {
        play.poll(&["a"]);
        let now = play.ground.now();
        match play.of("b").poll(now) {
            Some(event) => play.told.entry(name("b")).or_default().push(event),
            None => play.ground.pass(5),
        }
        must(now < end, || "too few messages are delivered".into())?;
    }
    play.transports.remove(&name("b"));
    play.until(&["a"], 80_000, "the event for the broken stream", |p| !p.broken("a").is_empty())?;
    let handed = play.handed("b", "a", 5).len() as u64;
    let acknowledged = play.acknowledged("a", "b", 5);
    must(acknowledged <= handed, || format!("{acknowledged} acknowledged, {handed} delivered"))?;
    let broken = play.broken("a");
    let back: Vec<u64> = broken.iter().flat_map(|b| b.2).map(|m| m.number).collect();
    let expected: Vec<u64> = (acknowledged + 1..=SENT).collect();
    must(back == expected, || format!("{acknowledged} of {SENT} acknowledged, {} returned", back.len()))?;
    let as_sent = |m: &Message| m.body == body(m.number, 20_000 / m.number as usize) && m.kind == NOTE;
    must(broken.iter().flat_map(|b| b.2).all(as_sent), || {
        "a returned message differs from the one sent".into()
    })
}

fn crash<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.streams("a") {
        return Ok(());
    }
    crash_after(play, 20)
}

fn restart<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.streams("a") {
        play.transports.remove(&name("b"));
        play.start("b", 2);
        play.meet("b", "a")?;
        let says = |p: &Play<G>| {
            p.told("a").iter().any(|e| matches!(e, Event::Datagram { from, .. } if from.incarnation == 2))
        };
        for _ in 0..20 {
            play.send("b", "a", Way::Datagram, NOTE, b"again").map_err(|why| why.to_string())?;
        }
        return play.until(&["a", "b"], 20_000, "a datagram from the later incarnation", says);
    }
    crash_after(play, 10)?;
    let before = play.handed("b", "a", 5).len();
    play.start("b", 2);
    play.meet("b", "a")?;
    let first = play.send("a", "b", Way::Stream(5), NOTE, b"again").map_err(|why| why.to_string())?;
    play.send("a", "b", Way::Stream(5), NOTE, b"and again").map_err(|why| why.to_string())?;
    play.send("b", "a", Way::Stream(5), NOTE, b"back").map_err(|why| why.to_string())?;
    let both = |p: &Play<G>| p.handed("b", "a", 5).len() >= before + 2 && p.handed("a", "b", 5).len() == 1;
    play.until(&["a", "b"], 80_000, "messages to and from the later incarnation", both)?;
    let later = play.handed("b", "a", 5).split_off(before);
    let expected = [(first, first, &b"again"[..]), (first, first + 1, &b"and again"[..])];
    must(later == expected, || format!("delivered to the later incarnation: {later:?}"))?;
    let two = |e: &Event| matches!(e, Event::Message { from, .. } if from.incarnation == 2);
    must(play.told("a").iter().any(two), || "the later start reports the earlier incarnation".into())
}

fn unknown_kind<G: Ground>(play: &mut Play<G>) -> Kept {
    let more = Kinds::new(&[(NOTE, "note"), (NEWER, "newer")]);
    play.start_with("a", 1, more);
    play.start("b", 1);
    play.meet("a", "b")?;
    play.meet("b", "a")?;
    if !play.streams("a") {
        return Ok(());
    }
    for (stream, kind) in [(1, NOTE), (2, NOTE), (1, NEWER), (1, NOTE), (2, NOTE)] {
        play.send("a", "b", Way::Stream(stream), kind, b"x").map_err(|why| why.to_string())?;
    }
    let done = |p: &Play<G>| !p.broken("a").is_empty() && p.acknowledged("a", "b", 2) == 2;
    play.until(&["a", "b"], 80_000, "the break of one stream and the completion of the other", done)?;
    let broken = play.broken("a");
    let [(_, 1, back, Why::Refused(Unread::Kind(NEWER)))] = broken[..] else {
        return Err(format!("unexpected events {broken:?}"));
    };
    let kinds: Vec<Kind> = back.iter().filter(|m| m.number > 1).map(|m| m.kind).collect();
    must(kinds == [NEWER, NOTE], || format!("returned: {back:?}"))?;
    let says = |e: &Event| matches!(e, Event::Unread { from: Some(a), why: Unread::Kind(NEWER) } if a.as_str() == "a");
    must(play.told("b").iter().any(says), || "the receiver reported nothing".into())?;
    play.send("a", "b", Way::Stream(1), NOTE, b"y").map_err(|why| why.to_string())?;
    let numbers = |p: &Play<G>| p.handed("b", "a", 1).iter().map(|h| h.1).collect::<Vec<_>>();
    play.until(&["a", "b"], 80_000, "the stream's next epoch", |p| numbers(p) == [1, 4])?;
    in_order(&play.handed("b", "a", 1))
}

fn nobody<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.streams("a") {
        return Ok(());
    }
    play.transports.remove(&name("b"));
    for i in 1..=3 {
        play.send("a", "b", Way::Stream(2), NOTE, &body(i, 10)).map_err(|why| why.to_string())?;
    }
    let limit = bounds().patience + 40_000;
    let back = |p: &Play<G>| p.broken("a").iter().map(|b| b.2.len()).sum::<usize>();
    play.until(&["a"], limit, "the return of the undelivered messages", |p| back(p) == 3)
}

fn forgotten<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b"])?;
    if !play.streams("a") {
        return Ok(());
    }
    // b does not poll, so nothing is acknowledged.
    for i in 1..=3 {
        play.send("a", "b", Way::Stream(2), NOTE, &body(i, 10)).map_err(|why| why.to_string())?;
    }
    play.poll(&["a"]);
    let now = play.ground.now();
    play.of("a").forget(now, &name("b"));
    play.poll(&["a"]);
    let broken = play.broken("a");
    let left = broken.len() == 1 && broken[0].2.len() == 3 && *broken[0].3 == Why::Left;
    must(left, || format!("unexpected events {broken:?}"))?;
    let refused = play.send("a", "b", Way::Stream(2), NOTE, b"");
    must(refused == Err(Refused::NotMet(name("b"))), || format!("a removed peer: {refused:?}"))?;
    let later = play.of("a").wake_at();
    let now = play.ground.now();
    must(later.is_none_or(|at| at > now), || "nothing is left to do, but wake_at is due".into())
}

fn elsewhere<G: Ground>(play: &mut Play<G>) -> Kept {
    play.begin(&["a", "b", "c"])?;
    let wrong = play.ground.address(&name("a"), &name("c"));
    let now = play.ground.now();
    if play.of("a").carries(Way::Stream(1)) {
        play.send("a", "b", Way::Stream(1), NOTE, b"before").map_err(|why| why.to_string())?;
    }
    play.of("a").meet(now, &name("b"), wrong).map_err(|why| why.to_string())?;
    play.poll(&["a"]);
    let says = |e: &Event| matches!(e, Event::Unread { why: Unread::NotMine(b), .. } if b == "b");
    if !play.streams("a") {
        for _ in 0..20 {
            play.send("a", "b", Way::Datagram, NOTE, b"x").map_err(|why| why.to_string())?;
        }
        return play.until(&["a", "b", "c"], 20_000, "the report of a datagram for another instance", |p| {
            p.told("c").iter().any(says)
        });
    }
    let broken = play.broken("a");
    must(broken.len() == 1 && *broken[0].3 == Why::Left, || {
        format!("events after the address change: {broken:?}")
    })?;
    play.send("a", "b", Way::Stream(1), NOTE, b"astray").map_err(|why| why.to_string())?;
    let back = |p: &Play<G>| p.broken("a").len() == 2;
    play.until(
        &["a", "b", "c"],
        bounds().patience + 60_000,
        "the break after sending to the wrong instance",
        back,
    )?;
    let why = play.broken("a")[1].3;
    must(*why == Why::Refused(Unread::NotMine("b".into())), || format!("unexpected reason {why:?}"))?;
    must(play.told("c").iter().any(says), || "the wrong receiver reported nothing".into())?;
    play.meet("a", "b")?;
    let number = play.send("a", "b", Way::Stream(1), NOTE, b"after").map_err(|why| why.to_string())?;
    must(number == 3, || format!("the numbers continue with {number}"))?;
    let came = |p: &Play<G>| p.handed("b", "a", 1).last().is_some_and(|h| h.2 == b"after");
    play.until(&["a", "b", "c"], 60_000, "the message to the right address", came)?;
    let at_c = play.handed("c", "a", 1);
    must(at_c.is_empty(), || format!("delivered to another instance: {at_c:?}"))
}
