//! The watch as HTTP/1.1 carries it: a head, then chunks, then values across the chunks.

use crate::values::Values;

/// The longest head taken.
const LONGEST_HEAD: usize = 16 * 1024;

/// What asks for all changes since `version`.
pub fn ask(host: &str, version: u64) -> Vec<u8> {
    format!("GET /api/targets?stream=1&index={version} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Head,
    /// A body without chunks, to the connection's end.
    Plain,
    Size,
    /// Bytes of a chunk still to come.
    Chunk(usize),
    /// The line end behind a chunk: bytes of it still to come.
    Close(usize),
    End,
}

/// Takes the bytes of one watch as they come, cut anywhere, and gives its values.
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
    /// True once the answer has come to its end.
    pub fn ended(&self) -> bool {
        self.part == Part::End
    }

    /// The bytes that have come behind the head, white space too.
    pub fn body_bytes(&self) -> usize {
        self.values.bytes()
    }

    /// True while a value has begun and is not whole.
    pub fn has_begun_value(&self) -> bool {
        self.values.has_begun()
    }

    /// Takes more bytes; adds every JSON object that is whole by now to `found`. Between them there may be white
    /// space: an empty line tells that the watch lives. After an error nothing more can be read from this watch.
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

    /// One step over what has come; how many bytes it used, or None if more must come first.
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
