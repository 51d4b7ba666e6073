//! Output to clients: queued, joined, written, and what a client sent behind an answer resumed after it.

use super::*;

impl Client {
    /// Adds output; small pieces become one.
    pub(super) fn queue_output(&mut self, bytes: HeldBytes) {
        self.unsent += bytes.len();
        match self.output.back_mut().filter(|last| last.len() + bytes.len() <= MAX_JOINED_OUTPUT) {
            Some(last) => last.append(&bytes),
            None => self.output.push_back(bytes),
        }
    }
}

impl Program {
    /// Queues the router's own answer to the current query, followed by ReadyForQuery.
    pub fn answer(&mut self, key: ClientKey, answer: Vec<u8>) {
        let answer = self.memory.hold(Owner::Output, answer);
        self.forward_answer(key, answer, None);
    }

    /// Queues the complete answer to the current query, followed by ReadyForQuery. `queued` is given for the final answer to
    /// a command.
    pub fn forward_answer(&mut self, key: ClientKey, answer: HeldBytes, queued: Option<QueuedAnswer>) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.command = None;
        client.queued_answer = queued;
        (client.idle_since, client.ready_since) = (self.now, self.now);
        let mut ready = Vec::new();
        pgwire::ready(&mut ready);
        client.queue_output(answer.with_owner(Owner::Output));
        client.queue_output(self.memory.hold(Owner::Output, ready));
        self.clients.unsent.push_answer(key);
    }

    /// Queues bytes to be written at the end of the round.
    pub(super) fn send(&mut self, key: ClientKey, bytes: Vec<u8>) {
        let Some(client) = self.clients.table.get_mut(key).filter(|_| !bytes.is_empty()) else { return };
        client.queue_output(self.memory.hold(Owner::Output, bytes));
        self.clients.unsent.push(key);
    }

    /// Writes queued output and resumes each client's input behind it. Stops after a while once other work is overdue.
    pub fn write_clients(&mut self) {
        let began = Instant::now();
        while let Some(key) = self.clients.unsent.pop() {
            self.clients.turns.start_turn();
            self.flush(key);
            self.resume(key);
            self.limit_staying_clients();
            if self.clients.listener.is_none() {
                self.end_if_idle(key);
            }
            if !may_continue(began.elapsed(), self.is_behind()) {
                return;
            }
        }
    }

    /// Writes a client's queued output, and checks how long an answer to a command has waited for that.
    pub(super) fn flush(&mut self, key: ClientKey) {
        let queued = self.clients.table.get_mut(key).and_then(|client| client.queued_answer.take());
        self.write_output(key);
        if let Some(queued) = queued {
            self.check_written_answer(&queued);
        }
    }

    pub(super) fn check_written_answer(&mut self, answer: &QueuedAnswer) {
        let now = self.clock.now();
        let waited = now - answer.queued_at;
        self.counters.longest_output_wait = self.counters.longest_output_wait.max(waited);
        if let Some(violation) = self.invariants.check_written(now, answer) {
            let waited = waited / 10;
            log!(
                "violation: {violation:?}, command '{}', which waited {waited} ms for its write",
                answer.command
            );
        }
    }

    pub(super) fn write_output(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        let before = client.unsent;
        while client.unsent > 0 {
            let mut slices = [IoSlice::new(&[]); 16];
            for (i, (slice, piece)) in slices.iter_mut().zip(&client.output).enumerate() {
                *slice = IoSlice::new(&piece[if i == 0 { client.written } else { 0 }..]);
            }
            match (&*client.stream).write_vectored(&slices) {
                Ok(0) => return self.drop_client(key, ClientClose::Broken),
                Ok(mut written) => {
                    client.retry.reset();
                    client.unsent -= written;
                    while let Some(piece) = client.output.front() {
                        if written < piece.len() - client.written {
                            client.written += written;
                            break;
                        }
                        written -= piece.len() - client.written;
                        client.written = 0;
                        client.output.pop_front();
                    }
                }
                Err(e) if is_transient(&e) => {
                    if client.unsent < before || self.deadlines.time(Due::Client(key)).is_none() {
                        self.deadlines.set(Due::Client(key), self.now + READ_TIMEOUT);
                    }
                    return self.retry_client(key);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.drop_client(key, ClientClose::Broken),
            }
        }
        if client.stage == Stage::Ending {
            client.stage = Stage::ShutDown;
            let _ = client.stream.shutdown(Shutdown::Write);
            self.deadlines.set(Due::Client(key), self.now + CLOSE_TIMEOUT);
        } else if before > 0 && client.stage != Stage::ShutDown {
            self.deadlines.clear(Due::Client(key));
        }
    }

    /// Processes the input buffered behind an answer, and resumes reading if it was paused.
    pub(super) fn resume(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get(key).filter(|client| !client.postponed) else { return };
        if client.paused && client.command.is_none() {
            self.read_client(key);
        } else if !client.input.is_empty() && self.use_share(key) {
            self.process_input(key);
        }
    }
}
