//! The watch as an HTTP/1.1 response: a head, then chunks, then JSON values that may span chunks.

use crate::values::JsonSplitter;

/// Most bytes of a response head or chunk size line.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The HTTP request for all changes since `version`.
pub fn watch_request(host: &str, version: u64) -> Vec<u8> {
    format!("GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParseState {
    Head,
    /// A body without chunks, up to the end of the connection.
    UnchunkedBody,
    ChunkSize,
    /// Bytes of the chunk still to come.
    ChunkData(usize),
    /// Bytes still to come of the line end after a chunk.
    ChunkEnd(usize),
    End,
}

/// Incremental parser of one watch: takes bytes cut anywhere and returns the JSON values.
pub struct WatchParser {
    unparsed: Vec<u8>,
    decoded_body: Vec<u8>,
    splitter: JsonSplitter,
    state: ParseState,
}

impl Default for WatchParser {
    fn default() -> WatchParser {
        WatchParser {
            unparsed: Vec::new(),
            decoded_body: Vec::new(),
            splitter: JsonSplitter::default(),
            state: ParseState::Head,
        }
    }
}

impl WatchParser {
    /// True once the response is complete.
    pub fn ended(&self) -> bool {
        self.state == ParseState::End
    }

    /// Number of body bytes received, white space included.
    pub fn body_bytes(&self) -> usize {
        self.splitter.bytes_received()
    }

    /// True while a value is incomplete.
    pub fn has_partial_value(&self) -> bool {
        self.splitter.is_mid_value()
    }

    /// Takes more bytes and appends every JSON object that is complete by now to `found`. White space may
    /// stand between objects; an empty line is a keep-alive. After an error nothing more can be read from
    /// this watch.
    pub fn feed(&mut self, bytes: &[u8], found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        self.unparsed.extend_from_slice(bytes);
        let mut taken = 0;
        let failed = loop {
            match self.parse_step(taken) {
                Ok(Some(used)) => taken += used,
                Ok(None) => break Ok(()),
                Err(why) => break Err(why),
            }
        };
        self.unparsed.drain(..taken);
        let body = std::mem::take(&mut self.decoded_body);
        let read = self.splitter.feed(&body, found);
        failed.and(read)
    }

    /// Parses one part of the bytes received. Returns how many bytes it used, or `None` if more are needed.
    fn parse_step(&mut self, from: usize) -> Result<Option<usize>, String> {
        let bytes = &self.unparsed[from..];
        match self.state {
            ParseState::Head => {
                let mut headers = [httparse::EMPTY_HEADER; 32];
                let mut head = httparse::Response::new(&mut headers);
                match head.parse(bytes).map_err(|e| format!("invalid HTTP response: {e}"))? {
                    httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
                        Err("response head exceeds 16 KiB".into())
                    }
                    httparse::Status::Partial => Ok(None),
                    httparse::Status::Complete(size) => {
                        if head.code != Some(200) {
                            return Err(format!("response status is {}", head.code.unwrap_or(0)));
                        }
                        let chunked = head.headers.iter().any(|h| {
                            h.name.eq_ignore_ascii_case("transfer-encoding")
                                && h.value.to_ascii_lowercase().ends_with(b"chunked")
                        });
                        self.state = if chunked { ParseState::ChunkSize } else { ParseState::UnchunkedBody };
                        Ok(Some(size))
                    }
                }
            }
            ParseState::ChunkSize => match httparse::parse_chunk_size(bytes)
                .map_err(|_| "invalid chunk size")?
            {
                httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
                    Err("chunk size line exceeds 16 KiB".into())
                }
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete((_, 0)) => {
                    self.state = ParseState::End;
                    Ok(None)
                }
                httparse::Status::Complete((used, size)) => {
                    self.state =
                        ParseState::ChunkData(usize::try_from(size).map_err(|_| "chunk size out of range")?);
                    Ok(Some(used))
                }
            },
            ParseState::ChunkData(left) | ParseState::ChunkEnd(left) if bytes.is_empty() && left > 0 => {
                Ok(None)
            }
            ParseState::ChunkData(left) => {
                let size = left.min(bytes.len());
                self.decoded_body.extend_from_slice(&bytes[..size]);
                self.state =
                    if size < left { ParseState::ChunkData(left - size) } else { ParseState::ChunkEnd(2) };
                Ok(Some(size))
            }
            ParseState::ChunkEnd(left) => {
                let size = left.min(bytes.len());
                if bytes[..size] != b"\r\n"[2 - left..2 - left + size] {
                    return Err("chunk data is not followed by a line end".into());
                }
                self.state =
                    if size < left { ParseState::ChunkEnd(left - size) } else { ParseState::ChunkSize };
                Ok(Some(size))
            }
            ParseState::UnchunkedBody if bytes.is_empty() => Ok(None),
            ParseState::UnchunkedBody => {
                self.decoded_body.extend_from_slice(bytes);
                Ok(Some(bytes.len()))
            }
            ParseState::End => Ok(None),
        }
    }
}
