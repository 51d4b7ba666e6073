//! One connection to discovery: the request, and its response as far as it has arrived.

use crate::arrival::time_since_last_receive;
use crate::transient::is_transient;
use calloop::RegistrationToken;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use vetchkeel::{ListInput, Tenths};
use vetchkeel_discovery::WatchParser;

pub(super) struct Connection {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: RegistrationToken,
    parser: WatchParser,
    /// The rest of the request that is still to be written.
    request: Vec<u8>,
    received_any: bool,
}

/// What one step of reading a connection has found.
pub(super) enum ReadStep {
    /// There is no more input at present.
    Idle,
    /// A system call failed transiently. Danger: there may be no event when it would succeed.
    Retry,
    Read(Input),
}

/// What one read has brought.
pub(super) struct Input {
    pub(super) progress: ListInput,
    /// The JSON values that are complete now.
    pub(super) values: Vec<Vec<u8>>,
    /// Why the rest of the response cannot be read, if so.
    pub(super) failure: Option<String>,
    /// Whether the response is complete.
    pub(super) ended: bool,
}

impl Connection {
    pub(super) fn new(stream: Rc<TcpStream>, token: RegistrationToken, request: Vec<u8>) -> Connection {
        Connection { stream, token, parser: WatchParser::default(), request, received_any: false }
    }

    /// Whether any byte of the response has arrived, and how many bytes of its body.
    pub(super) fn received(&self) -> (bool, usize) {
        (self.received_any, self.parser.body_bytes())
    }

    /// Writes what is left of the request and reads once.
    pub(super) fn step(&mut self, now: Tenths, buffer: &mut [u8]) -> Result<ReadStep, String> {
        while !self.request.is_empty() {
            match (&*self.stream).write(&self.request) {
                Ok(written) => drop(self.request.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) || e.kind() == io::ErrorKind::NotConnected => {
                    // Either not connected yet, or the dial has failed and the socket holds its error.
                    let failed = self.stream.take_error().ok().flatten();
                    return failed.map_or(Ok(ReadStep::Retry), |e| Err(e.to_string()));
                }
                Err(e) => return Err(e.to_string()),
            }
        }
        loop {
            return match (&*self.stream).read(buffer) {
                Ok(0) => Err("closed by discovery".into()),
                Ok(read) => Ok(ReadStep::Read(self.parse(now, &buffer[..read]))),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(ReadStep::Idle),
                Err(e) if is_transient(&e) => Ok(ReadStep::Retry),
                Err(e) => Err(e.to_string()),
            };
        }
    }

    fn parse(&mut self, now: Tenths, bytes: &[u8]) -> Input {
        let body_before = self.parser.body_bytes();
        let was_within_value = self.parser.has_partial_value();
        let mut values = Vec::new();
        let failure = self.parser.feed(bytes, &mut values).err();
        let still_within_value = was_within_value && self.parser.has_partial_value();
        let progress = ListInput {
            at: now - time_since_last_receive(&self.stream),
            is_first: !std::mem::replace(&mut self.received_any, true),
            is_first_of_body: body_before == 0,
            made_progress: self.parser.body_bytes() > body_before && !still_within_value,
            has_list: !values.is_empty(),
        };
        Input { progress, values, failure, ended: self.parser.ended() }
    }
}
