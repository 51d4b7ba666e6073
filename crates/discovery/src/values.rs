//! Splits the body of a watch into JSON values, in any layout and cut at any byte.

use actson::feeder::PushJsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};

/// Most bytes of one value and most levels of nesting (the limit of `serde_json`). Danger: without a limit, a
/// value that never ends fills the memory.
const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
const MAX_NESTING: usize = 127;

/// Finds the end of each value. Every byte is parsed once, however small the pieces are.
pub(crate) struct JsonSplitter {
    parser: JsonParser<PushJsonFeeder>,
    /// Bytes received of the value in progress, and the number of bytes parsed before them.
    buffer: Vec<u8>,
    bytes_consumed: usize,
    /// Number of open objects and arrays.
    depth: usize,
}

impl Default for JsonSplitter {
    fn default() -> JsonSplitter {
        let options =
            JsonParserOptionsBuilder::default().with_streaming(true).with_max_depth(MAX_NESTING + 1);
        let parser = JsonParser::new_with_options(PushJsonFeeder::new(), options.build());
        JsonSplitter { parser, buffer: Vec::new(), bytes_consumed: 0, depth: 0 }
    }
}

impl JsonSplitter {
    /// Number of bytes received so far.
    pub(crate) fn bytes_received(&self) -> usize {
        self.bytes_consumed + self.buffer.len()
    }

    /// True while a value is incomplete.
    pub(crate) fn is_mid_value(&self) -> bool {
        self.depth > 0
    }

    /// Takes more bytes and appends every value that is complete by now to `found`.
    pub(crate) fn feed(&mut self, mut bytes: &[u8], found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        while !bytes.is_empty() {
            let taken = self.parser.feeder.push_bytes(bytes);
            self.buffer.extend_from_slice(&bytes[..taken]);
            bytes = &bytes[taken..];
            self.split_buffer(found)?;
        }
        Ok(())
    }

    fn split_buffer(&mut self, found: &mut Vec<Vec<u8>>) -> Result<(), String> {
        loop {
            let event = self.parser.next_event().map_err(|e| format!("the list is not JSON: {e}"))?;
            match event {
                Some(JsonEvent::StartObject | JsonEvent::StartArray) => self.depth += 1,
                Some(JsonEvent::EndObject | JsonEvent::EndArray) => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        let end = self.parser.parsed_bytes() - self.bytes_consumed;
                        let value: Vec<u8> = self.buffer.drain(..end).collect();
                        self.bytes_consumed += end;
                        found.push(value.trim_ascii().to_vec());
                    }
                }
                Some(JsonEvent::NeedMoreInput) | None => break,
                Some(_) => {}
            }
        }
        if self.depth == 0 {
            // Only white space may stand between values.
            if !self.buffer.trim_ascii().is_empty() {
                return Err("the list is not JSON: expected an object".into());
            }
            self.bytes_consumed += self.buffer.len();
            self.buffer.clear();
        } else if self.buffer.len() > MAX_VALUE_BYTES {
            return Err("the list exceeds the limit of 4 MiB".into());
        }
        Ok(())
    }
}
