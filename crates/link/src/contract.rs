//! Conformance suite for [`Transport`]: asserts what every implementation guarantees, in any environment that can
//! start instances. A new implementation needs one line in its tests: `contract::check(|| MyEnvironment::new()).unwrap()`.

use crate::envelope::{FrameType, Header, VERSION, encode};
use crate::message::{
    BreakReason, Channel, Event, Kind, Kinds, Message, Name, RejectReason, SendError, Sender, StreamId,
    Tenths,
};
use crate::talk::Bounds;
use crate::transport::Transport;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Environment in which instances run: a simulated network, the machine's sockets, or relays between them.
pub trait Environment {
    type T: Transport;

    /// Starts an instance under [`bounds`]. A later incarnation of the same name has the address of the earlier
    /// one.
    fn start(&mut self, me: Sender, kinds: Kinds) -> Self::T;

    /// The address at which `from` reaches `to`; known once both have started.
    fn address(&mut self, from: &Name, to: &Name) -> SocketAddr;

    fn now(&self) -> Tenths;

    /// Advances the time.
    fn advance(&mut self, time: Tenths);

    /// Sends these bytes to an instance as a datagram. False if it does not receive datagrams.
    fn inject_datagram(&mut self, to: &Name, datagram: &[u8]) -> bool;

    /// Whether datagrams may be lost, duplicated or reordered here.
    fn is_faulty(&self) -> bool {
        false
    }
}

/// The bounds of the instances under test: the defaults with a shorter acknowledgement timeout and shorter backoff.
pub fn bounds() -> Bounds {
    let defaults = Bounds::default();
    let backoff =
        crate::Backoff { initial_delay: 100, max_delay: 1_000, connect_timeout: 5_000, stable_after: 1_000 };
    Bounds { ack_timeout: 15_000, backoff, ..defaults }
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
pub fn check<G: Environment>(make: impl Fn() -> G) -> Result<(), Breach> {
    let clauses: [(&'static str, Clause<G>); 11] = [
        ("a message that cannot be sent is refused", refusals),
        ("a datagram arrives unchanged or not at all", datagrams),
        ("unreadable input is reported and not delivered", unreadable),
        ("a stream delivers each message once and in order", stream_order),
        ("unacknowledged bytes are bounded, and none are lost", bounded_queue),
        ("a crash returns the unacknowledged messages", crash),
        ("a restarted peer is reached under its name", restart),
        ("an unknown message kind breaks only its stream", unknown_kind),
        ("an absent peer breaks the stream", absent_peer),
        ("a removed peer's unacknowledged messages are returned", removed_peer),
        ("a message for another instance is not delivered", wrong_receiver),
    ];
    for (clause, check_clause) in clauses {
        let mut environment = make();
        let kinds = Kinds::new(&[(NOTE, "note"), (OTHER, "other")]);
        let mut scenario = Scenario {
            transports: BTreeMap::new(),
            events: BTreeMap::new(),
            kinds,
            environment: &mut environment,
        };
        check_clause(&mut scenario).map_err(|why| Breach { clause, why })?;
    }
    Ok(())
}

type CheckResult = Result<(), String>;
type Clause<G> = fn(&mut Scenario<G>) -> CheckResult;

/// Instances in an environment, and the events each one received.
struct Scenario<'a, G: Environment> {
    transports: BTreeMap<Name, G::T>,
    events: BTreeMap<Name, Vec<Event>>,
    kinds: Kinds,
    environment: &'a mut G,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|| panic!("{text} is not a valid name"))
}

fn ensure(holds: bool, why: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(why()) }
}

/// A body of this length that encodes the message's number.
fn body(number: u64, length: usize) -> Vec<u8> {
    let mut bytes: Vec<u8> = (0..length).map(|i| (i as u64).wrapping_mul(number + 7) as u8).collect();
    let start = length.min(8);
    bytes[..start].copy_from_slice(&number.to_be_bytes()[8 - start..]);
    bytes
}

impl<G: Environment> Scenario<'_, G> {
    fn start(&mut self, who: &str, incarnation: u64) {
        let kinds = self.kinds.clone();
        self.start_with(who, incarnation, kinds);
    }

    fn start_with(&mut self, who: &str, incarnation: u64, kinds: Kinds) {
        let me = Sender { name: name(who), incarnation };
        let transport = self.environment.start(me, kinds);
        self.transports.insert(name(who), transport);
        self.events.entry(name(who)).or_default();
    }

    fn add_peer(&mut self, from: &str, to: &str) -> CheckResult {
        let address = self.environment.address(&name(from), &name(to));
        let now = self.environment.now();
        let added = self.transport(from).add_peer(now, &name(to), address);
        added.map_err(|why| format!("{from} cannot add peer {to}: {why}"))
    }

    /// Starts these instances and adds each as a peer of the others.
    fn start_all(&mut self, names: &[&str]) -> CheckResult {
        names.iter().for_each(|n| self.start(n, 1));
        for (from, to) in names.iter().flat_map(|f| names.iter().map(move |t| (f, t))).filter(|(f, t)| f != t)
        {
            self.add_peer(from, to)?;
        }
        Ok(())
    }

    fn transport(&mut self, who: &str) -> &mut G::T {
        self.transports.get_mut(&name(who)).unwrap_or_else(|| panic!("{who} was not started"))
    }

    fn events(&self, who: &str) -> &[Event] {
        self.events.get(&name(who)).map_or(&[], Vec::as_slice)
    }

    fn supports_streams(&mut self, who: &str) -> bool {
        self.transport(who).supports(Channel::Stream(0))
    }

    fn send(
        &mut self,
        from: &str,
        to: &str,
        channel: Channel,
        kind: Kind,
        body: &[u8],
    ) -> Result<u64, SendError> {
        let now = self.environment.now();
        self.transport(from).send(now, &name(to), channel, kind, body)
    }

    /// Polls these instances until none has further events.
    fn poll(&mut self, who: &[&str]) {
        for who in who {
            while let Some(event) = {
                let now = self.environment.now();
                self.transport(who).poll(now)
            } {
                self.events.entry(name(who)).or_default().push(event);
            }
        }
    }

    /// Polls these instances until `done`, for at most `limit`.
    fn until(
        &mut self,
        who: &[&str],
        limit: Tenths,
        what: &str,
        done: impl Fn(&Self) -> bool,
    ) -> CheckResult {
        let end = self.environment.now() + limit;
        loop {
            self.poll(who);
            if done(self) {
                return Ok(());
            }
            let summaries =
                || who.iter().map(|w| format!("{w}: {}", self.summary(w))).collect::<Vec<_>>().join("; ");
            ensure(self.environment.now() < end, || {
                format!("{what} did not happen in {limit} tenths ({})", summaries())
            })?;
            self.environment.advance(10);
        }
    }

    fn summary(&self, who: &str) -> String {
        let last = self
            .events(who)
            .last()
            .map_or_else(String::new, |e| format!("{e:?}").chars().take(160).collect());
        format!("{} events, the last {last}", self.events(who).len())
    }

    /// The messages of a stream that were delivered to an instance: epoch, number, body.
    fn delivered(&self, who: &str, from: &str, wanted: StreamId) -> Vec<(u64, u64, &[u8])> {
        let matching = |e| match e {
            &Event::Message { from: ref s, stream, epoch, number, ref body, .. }
                if s.name == name(from) && stream == wanted =>
            {
                Some((epoch, number, body.as_slice()))
            }
            _ => None,
        };
        self.events(who).iter().filter_map(matching).collect()
    }

    fn acknowledged(&self, who: &str, by: &str, wanted: StreamId) -> u64 {
        let matching = |e| match e {
            &Event::Acknowledged { ref to, stream, number } if *to == name(by) && stream == wanted => {
                Some(number)
            }
            _ => None,
        };
        self.events(who).iter().filter_map(matching).max().unwrap_or(0)
    }

    fn broken(&self, who: &str) -> Vec<(&Name, StreamId, &[Message], &BreakReason)> {
        let matching = |e| match e {
            &Event::Broken { ref to, stream, ref unacknowledged, ref why } => {
                Some((to, stream, unacknowledged.as_slice(), why))
            }
            _ => None,
        };
        self.events(who).iter().filter_map(matching).collect()
    }
}

/// Checks that numbers are consecutive within an epoch, an epoch begins with its own number, and epochs grow.
fn in_order(delivered: &[(u64, u64, &[u8])]) -> CheckResult {
    let mut last: Option<(u64, u64)> = None;
    for (epoch, number, _) in delivered {
        let follows = match last {
            Some((e, n)) if e == *epoch => *number == n + 1,
            Some((e, _)) => epoch > &e && number == epoch,
            None => number == epoch,
        };
        ensure(follows, || format!("number {number} of epoch {epoch} was delivered after {last:?}"))?;
        last = Some((*epoch, *number));
    }
    Ok(())
}

fn refusals<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    for channel in [Channel::Datagram, Channel::Stream(1)] {
        if !scenario.transport("a").supports(channel) {
            let refused = scenario.send("a", "b", channel, NOTE, b"");
            ensure(refused == Err(SendError::UnsupportedChannel(channel)), || {
                format!("{channel:?}: {refused:?}")
            })?;
            continue;
        }
        let refused = scenario.send("a", "nobody", channel, NOTE, b"");
        ensure(refused == Err(SendError::UnknownPeer(name("nobody"))), || {
            format!("unknown peer: {refused:?}")
        })?;
        let refused = scenario.send("a", "b", channel, NEWER, b"");
        ensure(refused == Err(SendError::UnknownKind(NEWER)), || format!("unknown kind: {refused:?}"))?;
        let refused = scenario.send("a", "b", channel, NOTE, &vec![0; bounds().message + 1]);
        ensure(matches!(refused, Err(SendError::TooLong { .. })), || format!("too long: {refused:?}"))?;
    }
    Ok(())
}

/// Maximum body of a datagram, as reported by the transport.
fn max_datagram_body<G: Environment>(scenario: &mut Scenario<G>) -> Result<usize, String> {
    match scenario.send("a", "b", Channel::Datagram, NOTE, &vec![0; bounds().datagram + 1]) {
        Err(SendError::TooLong { bound, .. }) => Ok(bound),
        other => Err(format!("a datagram over the limit: {other:?}")),
    }
}

fn datagrams<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.transport("a").supports(Channel::Datagram) {
        return Ok(());
    }
    let max_body = max_datagram_body(scenario)?;
    let body_lengths: Vec<usize> = (0..40).map(|i| i * max_body / 39).collect();
    let faulty = scenario.environment.is_faulty();
    let sent_body = |i: usize| body(i as u64, body_lengths[i]);
    for i in 0..body_lengths.len() {
        scenario.send("a", "b", Channel::Datagram, OTHER, &sent_body(i)).map_err(|why| why.to_string())?;
        scenario.poll(&["b"]);
        scenario.environment.advance(1);
    }
    let expected_count = if faulty { body_lengths.len() / 4 } else { body_lengths.len() };
    scenario
        .until(&["a", "b"], 80_000, "the arrival of datagrams", |p| p.events("b").len() >= expected_count)?;
    let mut count = BTreeMap::new();
    for event in scenario.events("b") {
        let Event::Datagram { from, kind, body } = event else { return Err(format!("got {event:?}")) };
        ensure(from.name == name("a") && from.incarnation == 1 && *kind == OTHER, || format!("from {from}"))?;
        let index = (0..body_lengths.len()).find(|i| sent_body(*i) == *body);
        let index = index
            .ok_or_else(|| format!("received a datagram of {} bytes that was never sent", body.len()))?;
        *count.entry(index).or_insert(0) += 1;
    }
    ensure(faulty || count.values().all(|n| *n == 1), || {
        "a datagram arrived twice on a link without faults".into()
    })
}

fn unreadable<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.transport("b").supports(Channel::Datagram) {
        return Ok(());
    }
    let header = |to: &'static str, kind| Header {
        from: "a",
        incarnation: 1,
        to,
        kind,
        frame_type: FrameType::Datagram,
    };
    let good = encode(&header("b", NOTE), b"x");
    let mut newer = good.clone();
    newer[2] = VERSION + 1;
    let mut damaged = good.clone();
    if let Some(last) = damaged.last_mut() {
        *last ^= 1;
    }
    let cases = [
        (newer, RejectReason::Version { theirs: VERSION + 1, ours: VERSION }),
        (damaged, RejectReason::ChecksumMismatch),
        (b"GET / HTTP/1.1".to_vec(), RejectReason::UnknownProtocol),
        (encode(&header("b", NEWER), b""), RejectReason::UnknownKind(NEWER)),
        (encode(&header("c", NOTE), b""), RejectReason::WrongReceiver("c".into())),
    ];
    for (bytes, expected) in cases {
        ensure(scenario.environment.inject_datagram(&name("b"), &bytes), || {
            "datagrams are supported but cannot be injected".into()
        })?;
        let reported = |p: &Scenario<G>| {
            p.events("b").iter().any(|e| matches!(e, Event::Rejected { why, .. } if *why == expected))
        };
        scenario.until(&["b"], 60_000, &format!("the report {expected:?}"), reported)?;
    }
    scenario.environment.inject_datagram(&name("b"), &good);
    let delivered =
        |p: &Scenario<G>| p.events("b").iter().filter(|e| matches!(e, Event::Datagram { .. })).count();
    scenario.until(&["b"], 60_000, "a valid datagram after the invalid ones", |p| delivered(p) > 0)?;
    ensure(delivered(scenario) == 1, || "more than the valid datagram was delivered".into())
}

fn stream_order<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    const MESSAGES_PER_STREAM: u64 = 150;
    scenario.start_all(&["a", "b", "c"])?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    let length = |i: u64| if i == 70 { bounds().message } else { (i as usize * 37) % 2_000 };
    let streams: Vec<(&str, StreamId)> = vec![("a", 0), ("a", 1), ("a", 65_535), ("b", 0), ("b", 7)];
    let mut next: Vec<u64> = vec![1; streams.len()];
    let end = scenario.environment.now() + 200_000;
    while next.iter().any(|n| *n <= MESSAGES_PER_STREAM) {
        for (i, (from, stream)) in streams.iter().enumerate() {
            let bytes = body(next[i], length(next[i]));
            if next[i] <= MESSAGES_PER_STREAM {
                match scenario.send(from, "c", Channel::Stream(*stream), NOTE, &bytes) {
                    Ok(number) => {
                        ensure(number == next[i], || {
                            format!("message {} got sequence number {number}", next[i])
                        })?;
                        next[i] += 1;
                    }
                    Err(SendError::Full { .. }) => scenario.environment.advance(1),
                    Err(why) => return Err(format!("refused: {why}")),
                }
            }
        }
        scenario.poll(&["a", "b", "c"]);
        ensure(scenario.environment.now() < end, || "the streams make no progress".into())?;
    }
    let all_acknowledged = |p: &Scenario<G>| {
        streams.iter().all(|(from, stream)| p.acknowledged(from, "c", *stream) == MESSAGES_PER_STREAM)
    };
    scenario.until(&["a", "b", "c"], 100_000, "the acknowledgement of all messages", all_acknowledged)?;
    for (from, stream) in &streams {
        let delivered = scenario.delivered("c", from, *stream);
        in_order(&delivered)?;
        ensure(delivered.len() as u64 == MESSAGES_PER_STREAM, || {
            format!("{} of {MESSAGES_PER_STREAM} were delivered", delivered.len())
        })?;
        let as_sent = |(_, n, b): &(u64, u64, &[u8])| *b == body(*n, length(*n));
        ensure(delivered.iter().all(as_sent), || "a body differs from the one sent".into())?;
    }
    ensure(scenario.broken("a").is_empty() && scenario.broken("b").is_empty(), || {
        "a stream broke on a link without faults".into()
    })
}

fn bounded_queue<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    let (bound, length) = (bounds().stream_bytes, 10_000);
    let mut accepted = 0u64;
    let mut end = scenario.environment.now() + 200_000;
    let mut full = false;
    // b runs and does not poll.
    while scenario.environment.now() < end {
        match scenario.send("a", "b", Channel::Stream(3), NOTE, &body(accepted + 1, length)) {
            Ok(_) => accepted += 1,
            Err(SendError::Full { .. }) => {
                // Time for acknowledgements that must not arrive.
                if !std::mem::replace(&mut full, true) {
                    end = scenario.environment.now() + 3_000;
                }
                scenario.environment.advance(50);
            }
            Err(why) => return Err(format!("refused: {why}")),
        }
        ensure(accepted as usize * length <= bound, || {
            format!("{accepted} messages accepted, none delivered")
        })?;
        scenario.poll(&["a"]);
        let premature = scenario.acknowledged("a", "b", 3);
        ensure(premature == 0, || format!("{premature} reported as acknowledged before delivery"))?;
    }
    ensure(full && accepted as usize * length > bound / 2, || {
        format!("only {accepted} messages were accepted")
    })?;
    let all_acknowledged = |p: &Scenario<G>| p.acknowledged("a", "b", 3) == accepted;
    scenario.until(&["a", "b"], 100_000, "the acknowledgement of all accepted messages", all_acknowledged)?;
    let delivered = scenario.delivered("b", "a", 3);
    in_order(&delivered)?;
    ensure(delivered.len() as u64 == accepted, || {
        format!("{} of {accepted} were delivered", delivered.len())
    })?;
    let after_acknowledgement = scenario.send("a", "b", Channel::Stream(3), NOTE, &body(0, length));
    ensure(after_acknowledgement == Ok(accepted + 1), || {
        format!("send refused after all was acknowledged: {after_acknowledgement:?}")
    })
}

/// Crashes b after `count` messages from a were delivered to it. The events at a must account for every message.
fn crash_after<G: Environment>(scenario: &mut Scenario<G>, count: usize) -> CheckResult {
    const MESSAGES: u64 = 60;
    for i in 1..=MESSAGES {
        let accepted = scenario.send("a", "b", Channel::Stream(5), NOTE, &body(i, 20_000 / i as usize));
        ensure(accepted == Ok(i), || format!("message {i}: {accepted:?}"))?;
    }
    let end = scenario.environment.now() + 50_000;
    while scenario.delivered("b", "a", 5).len() < count {
        scenario.poll(&["a"]);
        let now = scenario.environment.now();
        match scenario.transport("b").poll(now) {
            Some(event) => scenario.events.entry(name("b")).or_default().push(event),
            None => scenario.environment.advance(5),
        }
        ensure(now < end, || "too few messages are delivered".into())?;
    }
    scenario.transports.remove(&name("b"));
    scenario.until(&["a"], 80_000, "the event for the broken stream", |p| !p.broken("a").is_empty())?;
    let delivered = scenario.delivered("b", "a", 5).len() as u64;
    let acknowledged = scenario.acknowledged("a", "b", 5);
    ensure(acknowledged <= delivered, || format!("{acknowledged} acknowledged, {delivered} delivered"))?;
    let broken = scenario.broken("a");
    let returned: Vec<u64> = broken.iter().flat_map(|b| b.2).map(|m| m.number).collect();
    let expected: Vec<u64> = (acknowledged + 1..=MESSAGES).collect();
    ensure(returned == expected, || {
        format!("{acknowledged} of {MESSAGES} acknowledged, {} returned", returned.len())
    })?;
    let as_sent = |m: &Message| m.body == body(m.number, 20_000 / m.number as usize) && m.kind == NOTE;
    ensure(broken.iter().flat_map(|b| b.2).all(as_sent), || {
        "a returned message differs from the one sent".into()
    })
}

fn crash<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    crash_after(scenario, 20)
}

fn restart<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.supports_streams("a") {
        scenario.transports.remove(&name("b"));
        scenario.start("b", 2);
        scenario.add_peer("b", "a")?;
        let reported = |p: &Scenario<G>| {
            p.events("a").iter().any(|e| matches!(e, Event::Datagram { from, .. } if from.incarnation == 2))
        };
        for _ in 0..20 {
            scenario.send("b", "a", Channel::Datagram, NOTE, b"again").map_err(|why| why.to_string())?;
        }
        return scenario.until(&["a", "b"], 20_000, "a datagram from the later incarnation", reported);
    }
    crash_after(scenario, 10)?;
    let before = scenario.delivered("b", "a", 5).len();
    scenario.start("b", 2);
    scenario.add_peer("b", "a")?;
    let first = scenario.send("a", "b", Channel::Stream(5), NOTE, b"again").map_err(|why| why.to_string())?;
    scenario.send("a", "b", Channel::Stream(5), NOTE, b"and again").map_err(|why| why.to_string())?;
    scenario.send("b", "a", Channel::Stream(5), NOTE, b"back").map_err(|why| why.to_string())?;
    let both =
        |p: &Scenario<G>| p.delivered("b", "a", 5).len() >= before + 2 && p.delivered("a", "b", 5).len() == 1;
    scenario.until(&["a", "b"], 80_000, "messages to and from the later incarnation", both)?;
    let delivered_later = scenario.delivered("b", "a", 5).split_off(before);
    let expected = [(first, first, &b"again"[..]), (first, first + 1, &b"and again"[..])];
    ensure(delivered_later == expected, || {
        format!("delivered to the later incarnation: {delivered_later:?}")
    })?;
    let later_incarnation = |e: &Event| matches!(e, Event::Message { from, .. } if from.incarnation == 2);
    ensure(scenario.events("a").iter().any(later_incarnation), || {
        "the later start reports the earlier incarnation".into()
    })
}

fn unknown_kind<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    let more = Kinds::new(&[(NOTE, "note"), (NEWER, "newer")]);
    scenario.start_with("a", 1, more);
    scenario.start("b", 1);
    scenario.add_peer("a", "b")?;
    scenario.add_peer("b", "a")?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    for (stream, kind) in [(1, NOTE), (2, NOTE), (1, NEWER), (1, NOTE), (2, NOTE)] {
        scenario.send("a", "b", Channel::Stream(stream), kind, b"x").map_err(|why| why.to_string())?;
    }
    let done = |p: &Scenario<G>| !p.broken("a").is_empty() && p.acknowledged("a", "b", 2) == 2;
    scenario.until(&["a", "b"], 80_000, "the break of one stream and the completion of the other", done)?;
    let broken = scenario.broken("a");
    let [(_, 1, returned, BreakReason::Rejected(RejectReason::UnknownKind(NEWER)))] = broken[..] else {
        return Err(format!("unexpected events {broken:?}"));
    };
    let kinds: Vec<Kind> = returned.iter().filter(|m| m.number > 1).map(|m| m.kind).collect();
    ensure(kinds == [NEWER, NOTE], || format!("returned: {returned:?}"))?;
    let reported = |e: &Event| matches!(e, Event::Rejected { from: Some(a), why: RejectReason::UnknownKind(NEWER) } if a.as_str() == "a");
    ensure(scenario.events("b").iter().any(reported), || "the receiver reported nothing".into())?;
    scenario.send("a", "b", Channel::Stream(1), NOTE, b"y").map_err(|why| why.to_string())?;
    let numbers = |p: &Scenario<G>| p.delivered("b", "a", 1).iter().map(|h| h.1).collect::<Vec<_>>();
    scenario.until(&["a", "b"], 80_000, "the stream's next epoch", |p| numbers(p) == [1, 4])?;
    in_order(&scenario.delivered("b", "a", 1))
}

fn absent_peer<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    scenario.transports.remove(&name("b"));
    for i in 1..=3 {
        scenario.send("a", "b", Channel::Stream(2), NOTE, &body(i, 10)).map_err(|why| why.to_string())?;
    }
    let limit = bounds().ack_timeout + 40_000;
    let returned = |p: &Scenario<G>| p.broken("a").iter().map(|b| b.2.len()).sum::<usize>();
    scenario.until(&["a"], limit, "the return of the undelivered messages", |p| returned(p) == 3)
}

fn removed_peer<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b"])?;
    if !scenario.supports_streams("a") {
        return Ok(());
    }
    // b does not poll, so nothing is acknowledged.
    for i in 1..=3 {
        scenario.send("a", "b", Channel::Stream(2), NOTE, &body(i, 10)).map_err(|why| why.to_string())?;
    }
    scenario.poll(&["a"]);
    let now = scenario.environment.now();
    scenario.transport("a").remove_peer(now, &name("b"));
    scenario.poll(&["a"]);
    let broken = scenario.broken("a");
    let removed = broken.len() == 1 && broken[0].2.len() == 3 && *broken[0].3 == BreakReason::PeerRemoved;
    ensure(removed, || format!("unexpected events {broken:?}"))?;
    let refused = scenario.send("a", "b", Channel::Stream(2), NOTE, b"");
    ensure(refused == Err(SendError::UnknownPeer(name("b"))), || format!("a removed peer: {refused:?}"))?;
    let next_wake = scenario.transport("a").wake_at();
    let now = scenario.environment.now();
    ensure(next_wake.is_none_or(|at| at > now), || "nothing is left to do, but wake_at is due".into())
}

fn wrong_receiver<G: Environment>(scenario: &mut Scenario<G>) -> CheckResult {
    scenario.start_all(&["a", "b", "c"])?;
    let wrong_address = scenario.environment.address(&name("a"), &name("c"));
    let now = scenario.environment.now();
    if scenario.transport("a").supports(Channel::Stream(1)) {
        scenario.send("a", "b", Channel::Stream(1), NOTE, b"before").map_err(|why| why.to_string())?;
    }
    scenario.transport("a").add_peer(now, &name("b"), wrong_address).map_err(|why| why.to_string())?;
    scenario.poll(&["a"]);
    let reported =
        |e: &Event| matches!(e, Event::Rejected { why: RejectReason::WrongReceiver(b), .. } if b == "b");
    if !scenario.supports_streams("a") {
        for _ in 0..20 {
            scenario.send("a", "b", Channel::Datagram, NOTE, b"x").map_err(|why| why.to_string())?;
        }
        return scenario.until(
            &["a", "b", "c"],
            20_000,
            "the report of a datagram for another instance",
            |p| p.events("c").iter().any(reported),
        );
    }
    let broken = scenario.broken("a");
    ensure(broken.len() == 1 && *broken[0].3 == BreakReason::PeerRemoved, || {
        format!("events after the address change: {broken:?}")
    })?;
    scenario.send("a", "b", Channel::Stream(1), NOTE, b"astray").map_err(|why| why.to_string())?;
    let returned = |p: &Scenario<G>| p.broken("a").len() == 2;
    scenario.until(
        &["a", "b", "c"],
        bounds().ack_timeout + 60_000,
        "the break after sending to the wrong instance",
        returned,
    )?;
    let why = scenario.broken("a")[1].3;
    ensure(*why == BreakReason::Rejected(RejectReason::WrongReceiver("b".into())), || {
        format!("unexpected reason {why:?}")
    })?;
    ensure(scenario.events("c").iter().any(reported), || "the wrong receiver reported nothing".into())?;
    scenario.add_peer("a", "b")?;
    let number =
        scenario.send("a", "b", Channel::Stream(1), NOTE, b"after").map_err(|why| why.to_string())?;
    ensure(number == 3, || format!("the numbers continue with {number}"))?;
    let arrived = |p: &Scenario<G>| p.delivered("b", "a", 1).last().is_some_and(|h| h.2 == b"after");
    scenario.until(&["a", "b", "c"], 60_000, "the message to the right address", arrived)?;
    let delivered_to_c = scenario.delivered("c", "a", 1);
    ensure(delivered_to_c.is_empty(), || format!("delivered to another instance: {delivered_to_c:?}"))
}
