//! Splits the body of a watch into JSON values, in any layout and cut at any byte.

use actson::feeder::PushJsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};

/// Most bytes of one value and most levels of nesting (the limit of `serde_json`). Danger: without a limit, a
/// value that never ends fills the memory.
const LONGEST_VALUE: usize = 4 * 1024 * 1024;
const DEEPEST: usize = 127;

/// Finds the end of each value. Every byte is parsed once, however small the pieces are.
pub(crate) struct Values {
    parser: JsonParser<PushJsonFeeder>,
    /// Bytes received of the value in progress, and the number of bytes parsed before them.
    held: Vec<u8>,
    before: usize,
    /// Number of open objects and arrays.
    depth: usize,
}

impl Default for Values {
    fn default() -> Values {
        let options = JsonParserOptionsBuilder::default().with_streaming(true).with_max_depth(DEEPEST + 1);
        let parser = JsonParser::new_with_options(PushJsonFeeder::new(), options.build());
        Values { parser, held: Vec::new(), before: 0, depth: 0 }
    }
}

impl Values {
    /// Number of bytes received so far.
    pub(crate) fn bytes(&self) -> usize {
        self.before + self.held.len()
    }

    /// True while a value is incomplete.
    pub(crate) fn has_begun(&self) -> bool {
        self.depth > 0
    }

    /// Takes more bytes and appends every value that is complete by now to `found`.
    pub(crate) fn feed(&mut self, mut bytes: &[u8], found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        while !bytes.is_empty() {
            let taken = self.parser.feeder.push_bytes(bytes);
            self.held.extend_from_slice(&bytes[..taken]);
            bytes = &bytes[taken..];
            self.read_on(found)?;
        }
        Ok(())
    }

    fn read_on(&mut self, found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        loop {
            let event = self.parser.next_event().map_err(|e| format!("the list is not JSON: {e}"))?;
            match event {
                Some(JsonEvent::StartObject | JsonEvent::StartArray) => self.depth += 1,
                Some(JsonEvent::EndObject | JsonEvent::EndArray) => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        let end = self.parser.parsed_bytes() - self.before;
                        let value: Vec<u8> = self.held.drain(..end).collect();
                        self.before += end;
                        found.push(value.trim_ascii().to_vec());
                    }
                }
                Some(JsonEvent::NeedMoreInput) | None => break,
                Some(_) => {}
            }
        }
        if self.depth == 0 {
            // Only white space may stand between values.
            if !self.held.trim_ascii().is_empty() {
                return Err("the list is not JSON: expected an object".into());
            }
            self.before += self.held.len();
            self.held.clear();
        } else if self.held.len() > LONGEST_VALUE {
            return Err("a list without an end".into());
        }
        Ok(())
    }
}
