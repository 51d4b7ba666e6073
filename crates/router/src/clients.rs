//! Client connections: opening, one query at a time, answers in order, and closing. `crowd` holds admission and
//! eviction, `closing` how the router closes a connection, `input` what was read and when it arrived, `messages` what
//! clients say, `output` what they are answered, `presence` whether a client is still connected, `reclaim` what is given
//! up for lack of memory, `turns` who is served in a round, `unsent` the order of writes.

mod closing;
mod crowd;
mod input;
mod messages;
mod output;
mod presence;
mod reclaim;
mod turns;
mod unsent;

use crate::Program;
use crate::arrival::{MIN_AGE, time_since_connected, time_since_last_receive};
use crate::commands::Received;
use crate::deadlines::Due;
use crate::invariants::{QueuedAnswer, Violation};
use crate::keys::{ClientKey, CommandKey};
use crate::leaving::{Unread, is_disconnected, unread};
use crate::memory::{HeldBytes, Owner};
use crate::polls::TimeRange;
use crate::reasons::ClientClose;
use crate::transient::{Backoff, is_transient};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use crowd::ACCEPT_RETRY_INTERVAL;
use input::Input;
use presence::Presence;
use slotmap::{Key, SlotMap};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use turns::Turns;
use unsent::Unsent;
use vetchkeel::{RoundUsage, Tenths, may_continue};
use vetchkeel_log::log;
use vetchkeel_pgwire::{self as pgwire, MAX_MESSAGE, Opening, Unreadable};

/// How long a client may take from connecting to its first complete query, and for any message that it has begun; to
/// read its answers; to close after the router has shut down its side.
const MESSAGE_TIMEOUT: Tenths = 25_000;
const READ_TIMEOUT: Tenths = 100_000;
const CLOSE_TIMEOUT: Tenths = 10_000;
/// The time from the first byte of a message to the error if the rest does not come. The operators' documentation allows
/// 3 s.
const MAX_PARTIAL_MESSAGE: Tenths = 28_500;
/// Reads that discard the input of a client whose connection is closed at once.
const MAX_CLOSING_READS: u32 = 32;
/// Resolution for comparing arrival times on two connections, each of which is known to within `MIN_AGE`.
const ARRIVAL_SLACK: Tenths = 2 * MIN_AGE;
/// Unsent bytes above which a client is not read any more, and the same while memory is short: hundreds of clients that read
/// nothing must not fill it.
const MAX_UNSENT: usize = 64 * 1024;
const MAX_UNSENT_IN_SHORT_MEMORY: usize = 8 * 1024;
/// Pieces of output are joined up to this size: each takes up some 80 bytes more than it holds.
const MAX_JOINED_OUTPUT: usize = 4 * 1024;
/// Bytes read ahead while a client's command is open.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// The bytes read of a message whose size is not known yet while memory is short.
const SHORT_READ: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening,
    Ready,
    /// An extended-protocol message was rejected; messages are skipped up to the next Sync.
    Skipping,
    /// The pending output is written, then the sending side is shut down.
    Ending,
    /// The sending side is shut down; the client has not closed yet.
    ShutDown,
}

struct Client {
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    stage: Stage,
    input: Input,
    output: VecDeque<HeldBytes>,
    /// Bytes already written of the first buffer in `output`.
    written: usize,
    unsent: usize,
    command: Option<CommandKey>,
    /// The answer to its last command, until it is written for the first time.
    queued_answer: Option<QueuedAnswer>,
    /// When the query of the open command arrived, at the latest.
    query_at: Tenths,
    /// Since when the router is ready for the client's next message: the last answer was queued, or reading resumed. 0 if
    /// it always was.
    ready_since: Tenths,
    /// When reading resumed after it was paused; 0 if it never was.
    resumed_at: Tenths,
    /// The client has sent a query (`sent_query`), and one that became a command (`served`).
    sent_query: bool,
    served: bool,
    /// Reading is paused because enough bytes are buffered.
    paused: bool,
    presence: Presence,
    idle_since: Tenths,
    retry: Backoff,
    /// What it has used of its share of a round, and whether it waits for a later round because it has used it up.
    usage: RoundUsage,
    postponed: bool,
}

#[derive(Default)]
pub struct Clients {
    table: SlotMap<ClientKey, Client>,
    pub listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// At the connection limit: clients wait to be accepted until one of the current ones has closed.
    at_capacity: bool,
    /// How many more times the listener is polled for clients that wait to be accepted.
    accept_polls: u32,
    /// The clients with output to write.
    unsent: Unsent,
    turns: Turns,
    /// The process is about to end: nothing more is read from clients.
    reading_stopped: bool,
    /// Seed of the secrets for cancel requests.
    seed: u64,
}

impl Clients {
    pub fn new(seed: u64) -> Clients {
        Clients { seed, ..Clients::default() }
    }

    /// The key that a cancel request for this client must carry: its slot and a secret.
    fn cancel_key(&self, key: ClientKey) -> u64 {
        let mut secret = DefaultHasher::new();
        (self.seed, key).hash(&mut secret);
        key.data().as_ffi() << 32 | secret.finish() >> 32
    }

    /// Whether clients wait for a later round.
    pub fn has_postponed(&self) -> bool {
        self.turns.has_postponed()
    }

    /// How often a client had used up its share of a round so far, and how many wait for a later round.
    pub fn turn_counts(&self) -> (u64, usize) {
        self.turns.counts()
    }

    pub fn count(&self) -> usize {
        self.table.len()
    }

    pub fn keys(&self) -> Vec<ClientKey> {
        self.table.keys().collect()
    }

    /// The clients without a complete opening packet yet, any of which may turn out to be a cancel request.
    pub fn opening(&self) -> Vec<ClientKey> {
        let opening = self.table.iter().filter(|(_, client)| client.stage == Stage::Opening);
        opening.map(|(key, _)| key).collect()
    }

    pub fn input_bytes(&self) -> usize {
        self.table.values().map(|client| client.input.len()).sum()
    }

    pub fn output_bytes(&self) -> usize {
        self.table.values().flat_map(|client| &client.output).map(|piece| piece.len()).sum()
    }

    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }
}

impl Client {
    fn is_idle(&self) -> bool {
        self.command.is_none() && self.unsent == 0 && self.input.is_empty()
    }

    /// The bytes of input above which reading is paused, and the most that the next read may add. While memory is short,
    /// nothing is read behind the current message but one byte, which shows whether anything is there. Otherwise more is
    /// read, as the end of a connection may be behind it.
    fn read_limits(&self, memory_is_short: bool) -> (usize, usize) {
        let most = match self.command {
            Some(_) if memory_is_short => 0,
            Some(_) => MAX_READ_AHEAD,
            // The heads of openings differ, and these are shorter than that.
            None if memory_is_short && self.stage == Stage::Opening => MAX_READ_AHEAD,
            None if memory_is_short => pgwire::message_size(self.input.bytes()).unwrap_or(SHORT_READ),
            None => MAX_MESSAGE,
        };
        let room = if memory_is_short { (most + 1).saturating_sub(self.input.len()) } else { usize::MAX };
        (most, room)
    }

    /// When the message arrived that ends `left` bytes before the end of what was read. The time spent on the commands
    /// before it does not count, so it is taken to have arrived once the router was ready for it.
    fn arrival(&self, left: usize, now: Tenths) -> TimeRange {
        self.after_ready(self.input.arrival(left), now)
    }

    /// The time spent on commands before does not count.
    fn after_ready(&self, arrival: Option<TimeRange>, now: Tenths) -> TimeRange {
        let TimeRange { earliest, latest } = arrival.unwrap_or(TimeRange::new(now, now));
        TimeRange::new(earliest.max(self.ready_since), latest)
    }

    /// When the message that has begun must be complete. While reading is paused, its client may be unable to send the rest.
    fn message_deadline(&self, now: Tenths) -> Tenths {
        let first_byte = self.after_ready(self.input.first_arrival(), now);
        let [earliest, latest] = [first_byte.earliest, first_byte.latest].map(|at| at.max(self.resumed_at));
        (latest + MESSAGE_TIMEOUT).min(earliest + MAX_PARTIAL_MESSAGE)
    }
}

impl Program {
    fn add_client(&mut self, stream: TcpStream) {
        if let Err(e) = stream.set_nonblocking(true) {
            return log!("a client's connection cannot be used: {e}");
        }
        // Not essential: without it answers are slightly delayed.
        let _ = stream.set_nodelay(true);
        // Without the system's report, a client that is accepted now has connected since the last poll.
        let connected_at =
            time_since_connected(&stream).map_or(self.polls.handled_until(), |age| self.now - age);
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self.clients.table.insert(Client {
            stream,
            token: None,
            stage: Stage::Opening,
            input: Input::new(connected_at, &self.memory),
            output: VecDeque::new(),
            written: 0,
            unsent: 0,
            command: None,
            queued_answer: None,
            query_at: 0,
            ready_since: 0,
            resumed_at: 0,
            sent_query: false,
            served: false,
            paused: false,
            presence: Presence::default(),
            idle_since: self.now,
            retry: Backoff::default(),
            usage: RoundUsage::default(),
            postponed: false,
        });
        let token = self.handle.insert_source(source, move |ready, _, program: &mut Program| {
            program.polls.count_event();
            let event = |p: &mut Program| p.client_event(key, ready.readable);
            program.guarded("a client's connection", event, |p| p.drop_client(key, ClientClose::Panicked));
            Ok(PostAction::Continue)
        });
        match token {
            Ok(token) => {
                self.clients.table[key].token = Some(token);
                self.counters.connections += 1;
                self.deadlines.set(Due::Message(key), self.now + MESSAGE_TIMEOUT);
                // Read at once: a cancel request that has already arrived may concern a command that is about to be
                // written.
                let panicked = |p: &mut Program| p.drop_client(key, ClientClose::Panicked);
                self.clients.turns.start_turn();
                self.guarded("a client's connection", |p| p.read_client(key), panicked);
            }
            Err(e) => {
                log!("cannot register a client's connection: {e}");
                self.clients.table.remove(key);
            }
        }
    }

    /// Handles a readiness event. Danger: a read may still fail transiently, and no further event reports the bytes
    /// that remain. So a read that should have returned bytes, or the rest of a message that has begun, is retried a
    /// few times.
    pub fn client_event(&mut self, key: ClientKey, readable: bool) {
        self.clients.turns.start_turn();
        if let Some(client) = self.clients.table.get_mut(key).filter(|client| client.postponed) {
            client.input.start_reading(self.polls.handled_until());
            return self.flush(key);
        }
        let before = self.clients.table.get(key).map(|c| c.input.read());
        self.client_ready(key);
        let expects_more =
            |c: &&Client| Some(c.input.read()) == before || (c.command.is_none() && !c.input.is_empty());
        let Some(client) = self.clients.table.get(key).filter(expects_more) else { return };
        let reads = !client.paused && matches!(client.stage, Stage::Opening | Stage::Ready | Stage::Skipping);
        if readable && reads && !self.clients.reading_stopped && !client.retry.is_at_maximum() {
            self.retry_client(key);
        }
    }

    fn client_ready(&mut self, key: ClientKey) {
        self.flush(key);
        self.read_client(key);
        // While stopping, a connection that was kept open only for its pending output is ended after it.
        if self.clients.listener.is_none() {
            self.clients.unsent.push(key);
        }
    }

    /// Whether so much is held for clients that no more is read than needed.
    fn memory_is_short(&self) -> bool {
        self.memory.total() > self.limits.held_for_read_ahead
    }

    /// The unsent bytes above which a client is not read any more.
    fn max_unsent(&self) -> usize {
        if self.memory_is_short() { MAX_UNSENT_IN_SHORT_MEMORY } else { MAX_UNSENT }
    }

    /// Reads all available bytes, as far as they may be buffered, and processes them.
    fn read_client(&mut self, key: ClientKey) {
        let stage = self.clients.table.get(key).map(|c| c.stage);
        if matches!(stage, Some(Stage::Ending | Stage::ShutDown)) {
            return self.discard_input(key);
        }
        loop {
            self.fill_input(key);
            self.process_input(key);
            // Consumed messages have made room, and no event reports the bytes that are still unread.
            let Some(client) = self.clients.table.get(key) else { return };
            let room = client.command.is_none() && client.unsent <= self.max_unsent();
            if !client.paused || !room || !self.use_share(key) {
                return;
            }
        }
    }

    fn fill_input(&mut self, key: ClientKey) {
        if let Some(client) = self.clients.table.get_mut(key) {
            client.input.start_reading(self.polls.handled_until());
            if client.paused {
                (client.ready_since, client.resumed_at) = (self.now, self.now);
            }
        }
        loop {
            let (memory_is_short, max_unsent) = (self.memory_is_short(), self.max_unsent());
            let Some(client) = self.clients.table.get_mut(key) else { return };
            let (most, room) = client.read_limits(memory_is_short);
            client.paused = client.input.len() > most || client.unsent > max_unsent;
            // Danger: if a client sends much and leaves, the end of its connection is behind unread bytes and no event
            // reports it again: its commands would be dispatched without a client.
            if client.paused && is_disconnected(&client.stream) {
                return self.drop_client(key, ClientClose::Left);
            }
            if client.paused || self.clients.reading_stopped {
                return;
            }
            let room = room.min(self.scratch.len());
            match (&*client.stream).read(&mut self.scratch[..room]) {
                Ok(0) => return self.input_ended(key, ClientClose::Left),
                Ok(_) if matches!(client.stage, Stage::Ending | Stage::ShutDown) => {}
                Ok(read) => {
                    client.retry.reset();
                    let last_arrival = self.now - time_since_last_receive(&client.stream);
                    client.input.push(&self.scratch[..read], last_arrival);
                    self.limit_memory();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    client.presence.confirm(self.now);
                    return client.input.drain_finished(self.now);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => return self.retry_client(key),
                Err(_) => return self.input_ended(key, ClientClose::Broken),
            }
            if !self.use_share(key) {
                return self.check_drained(key);
            }
        }
    }

    /// Looks whether anything is unread of a client that is postponed. Danger: its commands would count from when its
    /// connection was last known to be empty.
    fn check_drained(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        if unread(&client.stream).is_ok_and(|unread| unread == Unread::Nothing) {
            client.presence.confirm(self.now);
            client.input.drain_finished(self.now);
        }
    }

    /// Handles the end of a client's input. Danger: a client may close right after its cancel request, and both are
    /// read at once, so the request is processed first.
    fn input_ended(&mut self, key: ClientKey, reason: ClientClose) {
        let Some(client) = self.clients.table.get(key) else { return };
        let opening = (client.stage == Stage::Opening).then(|| pgwire::opening(client.input.bytes()));
        if let Some(Ok(Some((Opening::Cancel(target), size)))) = opening {
            let at = client.arrival(client.input.len() - size, self.now).latest;
            self.cancel(target, at);
        }
        self.drop_client(key, reason);
    }

    /// Schedules a retry after a transient failure of a system call. Danger: there may be no event when it would
    /// succeed.
    fn retry_client(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        let at = self.now + client.retry.next_delay();
        self.deadlines.set(Due::RetryClient(key), at);
    }

    /// Processes buffered messages until one becomes a command or more bytes are needed.
    fn process_input(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        let input = client.input.take();
        let mut at = 0;
        let failed = loop {
            let max_unsent = self.max_unsent();
            let Some(client) = self.clients.table.get_mut(key) else { break None };
            if client.command.is_some() || client.unsent > max_unsent {
                break None;
            }
            let taken = match client.stage {
                Stage::Opening => self.handle_opening(key, &input[at..]),
                Stage::Ready | Stage::Skipping => self.handle_message(key, &input[at..]),
                Stage::Ending | Stage::ShutDown => break None,
            };
            match taken {
                Ok(Some(size)) => at += size,
                Ok(None) => break None,
                Err(why) => break Some(why),
            }
            if !self.use_share(key) {
                break None;
            }
        };
        // Consumed bytes are removed; the rest is the beginning of the next message.
        let max_unsent = self.max_unsent();
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.input.restore(input, at);
        // Of one that is postponed, a whole message may be at hand.
        let waits = client.command.is_none()
            && client.unsent <= max_unsent
            && !client.postponed
            && !client.input.is_empty();
        let due = Due::Message(key);
        if client.sent_query && (!waits || at > 0) {
            self.deadlines.clear(due);
        }
        if waits {
            let ends_at = self.clients.table[key].message_deadline(self.now);
            let before = self.deadlines.time(due);
            self.deadlines.set(due, before.map_or(ends_at, |before| before.min(ends_at)));
        }
        if let Some((sqlstate, why)) = failed {
            self.end_client(key, sqlstate, &why);
        }
    }

    /// Closes a client's connection; its open command is left without a client.
    pub fn drop_client(&mut self, key: ClientKey, reason: ClientClose) {
        let Some(client) = self.clients.table.remove(key) else { return };
        self.counters.clients_closed.add(reason);
        if let Some(command) = client.command {
            let id = self.commands.id(command);
            log!("command {id}: its client's connection is closed: {reason:?}");
            if reason.is_closed_by_router() {
                self.report_violation(&id, Violation::ClosedOwed);
            }
        }
        let dues = [Due::Client(key), Due::Message(key), Due::RetryClient(key)];
        dues.into_iter().for_each(|due| self.deadlines.clear(due));
        if self.clients.at_capacity {
            self.deadlines.set(Due::Accept, self.now);
        }
        if let Some(token) = client.token {
            self.handle.remove(token);
        }
        if let Some(command) = client.command {
            self.abandon_command(command);
        }
    }

    /// Drops the command's client if it has disconnected; called before a command is written. Danger: after a stall,
    /// the event of a node that is ready may be handled before that of a client that left meanwhile, and the command
    /// would begin long after its client left.
    pub fn drop_disconnected_client(&mut self, command: CommandKey) {
        let Some(key) = self.commands.client(command) else { return };
        if self.clients.table.get(key).is_some_and(|c| is_disconnected(&c.stream)) {
            self.drop_client(key, ClientClose::Left);
        }
    }
}
