//! The watch as an HTTP/1.1 response: a head, then chunks, then JSON values that may span chunks.

use crate::values::Values;

/// Most bytes of a response head or chunk size line.
const LONGEST_HEAD: usize = 16 * 1024;

/// The HTTP request for all changes since `version`.
pub fn ask(host: &str, version: u64) -> Vec<u8> {
    format!("GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Head,
    /// A body without chunks, up to the end of the connection.
    Plain,
    Size,
    /// Bytes of the chunk still to come.
    Chunk(usize),
    /// Bytes still to come of the line end after a chunk.
    Close(usize),
    End,
}

/// Incremental parser of one watch: takes bytes cut anywhere and returns the JSON values.
pub struct Watched {
    raw: Vec<u8>,
    body: Vec<u8>,
    values: Values,
    part: Part,
}

impl Default for Watched {
    fn default() -> Watched {
        Watched { raw: Vec::new(), body: Vec::new(), values: Values::default(), part: Part::Head }
    }
}

impl Watched {
    /// True once the response is complete.
    pub fn ended(&self) -> bool {
        self.part == Part::End
    }

    /// Number of body bytes received, white space included.
    pub fn body_bytes(&self) -> usize {
        self.values.bytes()
    }

    /// True while a value is incomplete.
    pub fn has_begun_value(&self) -> bool {
        self.values.has_begun()
    }

    /// Takes more bytes and appends every JSON object that is complete by now to `found`. White space may
    /// stand between objects; an empty line is a keep-alive. After an error nothing more can be read from
    /// this watch.
    pub fn feed(&mut self, bytes: &[u8], found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        self.raw.extend_from_slice(bytes);
        let mut taken = 0;
        let failed = loop {
            match self.step(taken) {
                Ok(Some(used)) => taken += used,
                Ok(None) => break Ok(()),
                Err(why) => break Err(why),
            }
        };
        self.raw.drain(..taken);
        let body = std::mem::take(&mut self.body);
        let read = self.values.feed(&body, found);
        failed.and(read)
    }

    /// Parses one part of the bytes received. Returns how many bytes it used, or `None` if more are needed.
    fn step(&mut self, from: usize) -> Result<Option<usize>, String> {
        let bytes = &self.raw[from..];
        match self.part {
            Part::Head => {
                let mut headers = [httparse::EMPTY_HEADER; 32];
                let mut head = httparse::Response::new(&mut headers);
                match head.parse(bytes).map_err(|e| format!("not an HTTP answer: {e}"))? {
                    httparse::Status::Partial if bytes.len() > LONGEST_HEAD => {
                        Err("a head without an end".into())
                    }
                    httparse::Status::Partial => Ok(None),
                    httparse::Status::Complete(size) => {
                        if head.code != Some(200) {
                            return Err(format!("answered with status {}", head.code.unwrap_or(0)));
                        }
                        let chunked = head.headers.iter().any(|h| {
                            h.name.eq_ignore_ascii_case("transfer-encoding")
                                && h.value.to_ascii_lowercase().ends_with(b"chunked")
                        });
                        self.part = if chunked { Part::Size } else { Part::Plain };
                        Ok(Some(size))
                    }
                }
            }
            Part::Size => match httparse::parse_chunk_size(bytes).map_err(|_| "not the size of a chunk")? {
                httparse::Status::Partial if bytes.len() > LONGEST_HEAD => {
                    Err("a chunk size without an end".into())
                }
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete((_, 0)) => {
                    self.part = Part::End;
                    Ok(None)
                }
                httparse::Status::Complete((used, size)) => {
                    self.part = Part::Chunk(usize::try_from(size).map_err(|_| "a chunk too large")?);
                    Ok(Some(used))
                }
            },
            Part::Chunk(left) | Part::Close(left) if bytes.is_empty() && left > 0 => Ok(None),
            Part::Chunk(left) => {
                let size = left.min(bytes.len());
                self.body.extend_from_slice(&bytes[..size]);
                self.part = if size < left { Part::Chunk(left - size) } else { Part::Close(2) };
                Ok(Some(size))
            }
            Part::Close(left) => {
                let size = left.min(bytes.len());
                if bytes[..size] != b"\r\n"[2 - left..2 - left + size] {
                    return Err("a chunk that does not end where it should".into());
                }
                self.part = if size < left { Part::Close(left - size) } else { Part::Size };
                Ok(Some(size))
            }
            Part::Plain if bytes.is_empty() => Ok(None),
            Part::Plain => {
                self.body.extend_from_slice(bytes);
                Ok(Some(bytes.len()))
            }
            Part::End => Ok(None),
        }
    }
}
