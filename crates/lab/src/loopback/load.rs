//! The clients' side: an open-loop load on the routers, with every time counted from when a command was due.

use super::wire::Wire;
use super::{Due, SourceKey, Stage};
use crate::clients::{Next, Wish};
use crate::tally::Outcome;
use std::net::TcpStream;
use std::rc::Rc;
use vetchkeel_audit::{Breach, Final, Taken};
use vetchkeel_capture as capture;
use vetchkeel_emulated::Micros;
use vetchkeel_pgwire as pgwire;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Carries {
    Nothing,
    /// An empty query that asks whether the router is there.
    Herald,
    Try(u64),
}

pub(super) struct Client {
    pub(super) wire: Wire,
    pub(super) router: usize,
    carries: Carries,
    /// Answers of the opening are still to come.
    opening: bool,
    row: Option<Vec<u8>>,
    error: Option<(String, Option<Micros>)>,
    empty: bool,
    /// The statement, if it is to be sent once more on a new connection when this one was just closed.
    again: Option<String>,
}

pub(super) struct Try {
    pub(super) wish: Wish,
    pub(super) taken: Micros,
    router: usize,
    client: u64,
    ended: bool,
    deadline: Micros,
    /// Member of the last dispatch that reached one, when, and how many did.
    pub(super) last: Option<(usize, Micros)>,
    pub(super) dispatches: u32,
}

impl Stage<'_> {
    fn open_client(&mut self, router: usize, carries: Carries) -> Option<u64> {
        let address = self.routers[router].listen;
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        let _ = stream.set_nodelay(true);
        let mut wire = Wire::new(Rc::new(stream));
        let mut out = Vec::new();
        pgwire::startup(&mut out, "svc", "main");
        wire.send(&out);
        let client = Client {
            wire,
            router,
            carries,
            opening: true,
            row: None,
            error: None,
            empty: false,
            again: None,
        };
        let key = self.clients.push(client);
        let stream = self.clients.get(key)?.wire.stream.clone();
        let token = self.hear_stream(stream, SourceKey::Client(key)).ok()?;
        self.clients.get_mut(key)?.wire.token = Some(token);
        Some(key)
    }

    /// Asks a router whether it is there, and again after a while if not.
    pub(super) fn herald(&mut self, router: usize) {
        match self.open_client(router, Carries::Herald) {
            Some(key) => {
                let mut out = Vec::new();
                pgwire::query(&mut out, "");
                self.clients.get_mut(key).into_iter().for_each(|c| c.wire.send(&out));
            }
            None => self.agenda.set(self.now + 20_000, Due::Herald(router)),
        }
    }

    /// The router that the front deals a client to.
    fn dealt(&self, first: usize) -> Option<usize> {
        let count = self.routers.len();
        let dealt = |r: &usize| {
            let router = &self.routers[*r];
            router.ready
                || (router.process.is_none() && self.now < router.died_at + self.setup.clients.notice)
        };
        (0..count).map(|i| (first + i) % count).find(dealt)
    }

    pub(super) fn try_once(&mut self, mut wish: Wish) {
        wish.tries += 1;
        self.tally.sends.tries += 1;
        let plan = &self.setup.plan;
        let left = wish.time_left(self.now, plan.groups[wish.group].timeout, &self.setup.clients);
        let Some(router) = self.dealt(wish.router).filter(|r| self.routers[*r].ready) else {
            return self.tried(wish, Outcome::Failed, 0);
        };
        let idle = self.routers[router].idle.pop();
        let Some(key) = idle.or_else(|| self.open_client(router, Carries::Nothing)) else {
            return self.tried(wish, Outcome::Failed, 0);
        };
        let deadline = self.now + left;
        let (taken, client) = (self.now, key);
        let number = self.tries.push(Try {
            wish,
            taken,
            router,
            client,
            ended: false,
            deadline,
            last: None,
            dispatches: 0,
        });
        let statement = self.statement_of(number, &wish, left);
        let mut out = Vec::new();
        pgwire::query(&mut out, &statement);
        self.auditor.taken(Taken {
            at: self.now,
            command: number,
            router,
            deadline,
            mutating: wish.mutating,
        });
        self.agenda.set(deadline, Due::GiveUp(number));
        if let Some(client) = self.clients.get_mut(key) {
            client.carries = Carries::Try(number);
            client.again = idle.is_some().then_some(statement);
            client.wire.send(&out);
        }
    }

    /// A command as clients word it.
    fn statement_of(&self, number: u64, wish: &Wish, left: Micros) -> String {
        let group = &self.setup.plan.groups[wish.group].name;
        let customer =
            self.setup.customers.get(wish.customer).map(|c| format!(",t={}", c.0)).unwrap_or_default();
        let repeat = if wish.tries > 1 && self.setup.clients.marks { ",r=1" } else { "" };
        let (session, set, wait) = (wish.session, wish.set, left / 1_000);
        let comment = format!("/* id={number:x},c={group}{customer},d={wait},cluster={set}{repeat} */");
        if self.setup.writes(wish.group) {
            format!("INSERT INTO records (k, v) VALUES ('{session:x}', '\\x01') RETURNING v {comment}")
        } else {
            format!("SELECT v FROM records WHERE k = '{session:x}' {comment}")
        }
    }

    fn tried(&mut self, wish: Wish, outcome: Outcome, hold_off: Micros) {
        match wish.next(self.now, outcome, hold_off, &self.setup.clients) {
            Next::TryAgain(at) => self.agenda.set(at, Due::Again(Box::new(wish))),
            Next::End(outcome) => {
                self.tally.ended(
                    wish.asked - super::LEAD,
                    self.now - super::LEAD,
                    wish.group,
                    wish.set,
                    outcome,
                );
            }
        }
    }

    pub(super) fn client_ready(&mut self, key: u64) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.wire.read(&mut self.scratch);
        client.wire.flush();
        while let Some(client) = self.clients.get_mut(key) {
            let Ok(Some(message)) = pgwire::message(&client.wire.input) else { break };
            let size = message.size;
            match message.kind {
                b'D' => client.row = pgwire::one_column(message.body).map(<[u8]>::to_vec),
                b'E' => {
                    let text = |field| {
                        pgwire::error_field(message.body, field)
                            .map(|t| String::from_utf8_lossy(t).into_owned())
                    };
                    let hold_off = text(b'D').and_then(|d| d.parse::<i64>().ok()).map(|ms| ms * 1_000);
                    client.error = Some((text(b'C').unwrap_or_default(), hold_off));
                }
                b'I' => client.empty = true,
                b'Z' if client.opening => client.opening = false,
                b'Z' => {
                    client.wire.input.drain(..size);
                    self.answered(key);
                    continue;
                }
                _ => {}
            }
            client.wire.input.drain(..size);
        }
        if self.clients.get(key).is_some_and(|c| c.wire.ended) {
            self.client_closed(key);
        }
    }

    /// A whole answer has come.
    fn answered(&mut self, key: u64) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let (row, error, router) = (client.row.take(), client.error.take(), client.router);
        let carries = std::mem::replace(&mut client.carries, Carries::Nothing);
        client.again = None;
        match carries {
            Carries::Nothing => return,
            Carries::Herald => {
                let there = std::mem::take(&mut client.empty);
                self.routers[router].ready |= there;
            }
            Carries::Try(number) => self.final_answer(number, row, error),
        }
        self.routers[router].idle.push(key);
    }

    fn final_answer(&mut self, number: u64, row: Option<Vec<u8>>, error: Option<(String, Option<Micros>)>) {
        let Some(tried) = self.tries.get_mut(number).filter(|t| !t.ended) else { return };
        tried.ended = true;
        let wish = tried.wish;
        let length = row.as_ref().map_or(0, Vec::len) as u64;
        let (how, outcome, hold_off) = match (row, error) {
            (Some(value), None) => {
                if value != format!("{number:x}").as_bytes() {
                    let value = String::from_utf8_lossy(&value).into_owned();
                    let text =
                        format!("command {number:x} was answered with {value}, which was made for another");
                    self.foreign.push(Breach { rule: 1, at: self.now, text });
                }
                (Final::Answered, Outcome::Answered, 0)
            }
            (_, Some((code, hold_off))) if code == "53300" || code == "57P03" => {
                (Final::Throttled, Outcome::Throttled, hold_off.unwrap_or(0))
            }
            _ => (Final::Failed, Outcome::Failed, 0),
        };
        let (ending, bytes) = match how {
            Final::Answered => (capture::Ending::Answered, length),
            Final::Throttled => (capture::Ending::Throttled, 0),
            Final::Failed => (capture::Ending::Failed, 0),
        };
        self.captured(number, ending, bytes);
        self.auditor.final_answer(self.now, number, how);
        self.tried(wish, outcome, hold_off);
    }

    /// A try has ended: its record, if the load is captured.
    fn captured(&mut self, number: u64, ending: capture::Ending, bytes: u64) {
        let (Some(recorder), Some(tried)) = (&mut self.recorder, self.tries.get(number)) else { return };
        let wish = &tried.wish;
        recorder.record(capture::Record {
            arrived: self.unix_us as i64 + tried.taken,
            command_group: self.setup.plan.groups[wish.group].name.as_str().into(),
            customer: self.setup.customers.get(wish.customer).map(|c| c.0.as_str().into()),
            member: tried.last.map(|(node, _)| format!("m{node}").into()),
            set: wish.set as i64,
            session: wish.session as u64 + 1,
            time_left: (tried.deadline - tried.taken) as u64,
            waited: tried.last.map_or(0, |(_, at)| at - tried.taken) as u64,
            latency: (self.now - tried.taken) as u64,
            ending,
            dispatches: tried.dispatches,
            bytes,
        });
    }

    /// A router has closed a client's connection, or died.
    fn client_closed(&mut self, key: u64) {
        let Some(client) = self.drop_client(key) else { return };
        let router = client.router;
        match client.carries {
            Carries::Nothing => {}
            Carries::Herald => self.agenda.set(self.now + 20_000, Due::Herald(router)),
            Carries::Try(number) => {
                // A kept connection that was just being closed: the command was not read.
                if let (Some(statement), true) = (&client.again, self.routers[router].ready)
                    && let Some(key) = self.open_client(router, Carries::Try(number))
                {
                    let mut out = Vec::new();
                    pgwire::query(&mut out, statement);
                    self.clients.get_mut(key).into_iter().for_each(|c| c.wire.send(&out));
                    self.tries.get_mut(number).into_iter().for_each(|t| t.client = key);
                    return;
                }
                // No answer: if its router lives, the auditor finds that out.
                let wish = self.tries.get_mut(number).filter(|t| !t.ended).map(|t| {
                    t.ended = true;
                    t.wish
                });
                wish.into_iter().for_each(|wish| self.tried(wish, Outcome::Failed, 0));
            }
        }
    }

    pub(super) fn drop_client(&mut self, key: u64) -> Option<Client> {
        let client = self.clients.remove(key)?;
        if let Some(token) = client.wire.token {
            self.handle.remove(token);
        }
        self.routers[client.router].idle.retain(|k| *k != key);
        Some(client)
    }

    pub(super) fn give_up(&mut self, number: u64) {
        let Some(tried) = self.tries.get_mut(number) else { return };
        if !std::mem::replace(&mut tried.ended, true) {
            let (wish, client) = (tried.wish, tried.client);
            self.captured(number, capture::Ending::Left, 0);
            self.drop_client(client);
            self.tried(wish, Outcome::Unanswered, 0);
        }
        // Members may still be asked for it in error; it is remembered a while.
        self.agenda.set(self.now + super::REMEMBERED, Due::Forget(number));
    }

    /// A router has been killed: its clients see their connections end by themselves.
    pub(super) fn router_died(&mut self, router: usize) {
        self.auditor.router_died(router);
        self.written.retain(|(r, _), _| *r != router);
        let host = &mut self.routers[router];
        (host.ready, host.died_at) = (false, self.now);
        drop(host.process.take());
        host.idle.clear();
        let open: Vec<u64> =
            self.tries.iter().filter(|(_, t)| t.router == router && !t.ended).map(|(n, _)| n).collect();
        for number in open {
            let Some(tried) = self.tries.get_mut(number) else { continue };
            tried.ended = true;
            let (wish, client) = (tried.wish, tried.client);
            self.drop_client(client);
            self.tried(wish, Outcome::Failed, 0);
        }
        let left: Vec<u64> =
            self.clients.iter().filter(|(_, c)| c.router == router).map(|(key, _)| key).collect();
        left.into_iter().for_each(|key| drop(self.drop_client(key)));
    }
}
