//! Messages of clients: openings, queries, cancel requests, and what is answered with an error.

use super::*;

impl Program {
    /// Sends a fatal error and ends the connection: the input is invalid, too large or did not arrive in time.
    pub fn end_client(&mut self, key: ClientKey, sqlstate: &str, why: &str) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        if matches!(client.stage, Stage::Ending | Stage::ShutDown) {
            return;
        }
        let begun = !client.input.is_empty();
        client.input.clear();
        client.stage = Stage::Ending;
        self.deadlines.clear(Due::Message(key));
        self.counters.rejected += 1;
        log!("a client's connection is ended: {why}");
        let mut answer = Vec::new();
        pgwire::error(&mut answer, true, sqlstate, why, None);
        self.send(key, answer);
        if begun {
            self.clients.unsent.push_answer(key);
        }
    }

    pub(super) fn handle_opening(
        &mut self,
        key: ClientKey,
        input: &[u8],
    ) -> Result<Option<usize>, (&'static str, String)> {
        let Some((opening, size)) = pgwire::opening(input).map_err(|why| match why {
            Unreadable::Version(version) => {
                ("0A000", format!("protocol version {}.{} is not spoken", version >> 16, version & 0xffff))
            }
            other => ("08P01", format!("an opening of {other:?}")),
        })?
        else {
            return Ok(None);
        };
        match opening {
            Opening::Encryption => self.send(key, b"N".to_vec()),
            Opening::Cancel(target) => {
                let at = self.clients.table[key].arrival(input.len() - size, self.now).latest;
                // Cancelled before the close: a client that sees the close may send its next query, which must not be
                // cancelled.
                self.cancel(target, at);
                self.drop_client(key, ClientClose::Cancelled);
            }
            Opening::Startup(minor) => {
                let mut answer = Vec::new();
                pgwire::welcome(&mut answer, minor, self.clients.cancel_key(key));
                self.clients.table[key].stage = Stage::Ready;
                self.send(key, answer);
            }
        }
        Ok(Some(size))
    }

    pub(super) fn handle_message(
        &mut self,
        key: ClientKey,
        input: &[u8],
    ) -> Result<Option<usize>, (&'static str, String)> {
        let wrong = |why: String| ("08P01", why);
        if let Some(kind) = input.first().filter(|kind| !b"XSQPBDECFHdcf".contains(kind)) {
            return Err(wrong(format!("a message of kind {kind}")));
        }
        let message = pgwire::message(input).map_err(|why| wrong(format!("a message of {why:?}")))?;
        let Some(message) = message else { return Ok(None) };
        let skipping = self.clients.table[key].stage == Stage::Skipping;
        let mut answer = Vec::new();
        match message.kind {
            b'X' => self.shut_down_after_output(key),
            b'S' => {
                self.clients.table[key].stage = Stage::Ready;
                pgwire::ready(&mut answer);
            }
            _ if skipping => {}
            b'Q' => {
                let statement = pgwire::text(message.body).filter(|(_, rest)| rest.is_empty());
                let (statement, _) = statement.ok_or_else(|| wrong("a query that does not end".into()))?;
                self.handle_query(key, statement, input.len() - message.size);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.counters.rejected += 1;
                self.clients.table[key].stage = Stage::Skipping;
                pgwire::error(&mut answer, false, "0A000", "only simple queries are taken", None);
            }
            b'F' => {
                self.counters.rejected += 1;
                pgwire::error(&mut answer, false, "0A000", "function calls are not taken", None);
                pgwire::ready(&mut answer);
            }
            // Flush needs no action, and COPY messages without a COPY in progress are ignored.
            _ => {}
        }
        self.send(key, answer);
        Ok(Some(message.size))
    }

    /// Handles a query; `left` bytes were read after it.
    pub(super) fn handle_query(&mut self, key: ClientKey, statement: &[u8], left: usize) {
        let now = self.now;
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.sent_query = true;
        self.deadlines.clear(Due::Message(key));
        let (arrival, ready_since) = (client.arrival(left, now), client.ready_since);
        let is_whole = !client.input.take_shortened();
        let mut answer = Vec::new();
        if pgwire::is_empty(statement) {
            if self.watch.is_ready(self.now) {
                pgwire::empty_query(&mut answer);
            } else {
                pgwire::error(&mut answer, false, "57P03", "no member list is held yet", None);
            }
            return self.answer(key, answer);
        }
        let received = Received { statement, is_whole, arrived: arrival.limit_start(), ready_since };
        match self.take_command(key, received) {
            Ok(command) => {
                let client = &mut self.clients.table[key];
                (client.command, client.query_at, client.served) = (Some(command), arrival.latest, true);
            }
            Err((sqlstate, why)) => {
                self.counters.rejected += 1;
                log!("a query is rejected: {why}");
                pgwire::error(&mut answer, false, sqlstate, &why, None);
                self.answer(key, answer);
            }
        }
    }

    /// Handles a cancel request, which arrives on a connection of its own at `at`. Danger: if neither connection was
    /// read for a while, the open query may be one that arrived after the request and must not be cancelled.
    pub(super) fn cancel(&mut self, target: u64, at: Tenths) {
        let Some(key) = self.clients.table.keys().find(|k| self.clients.cancel_key(*k) == target) else {
            return;
        };
        // The query that is meant may not have been read yet.
        self.read_client(key);
        let Some(client) = self.clients.table.get(key) else { return };
        let Some(command) = client.command.filter(|_| client.query_at <= at + ARRIVAL_SLACK) else { return };
        self.abandon_command(command);
        let mut answer = Vec::new();
        pgwire::error(&mut answer, false, "57014", "cancelled as its client asked", None);
        self.answer(key, answer);
    }
}
