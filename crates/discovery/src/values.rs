//! The values of one watch: whole JSON objects, however they are laid out and wherever they are cut.

use actson::feeder::PushJsonFeeder;
use actson::options::JsonParserOptionsBuilder;
use actson::{JsonEvent, JsonParser};

/// Danger: a value without an end fills the memory. The most bytes of one, and the most levels of nesting, which
/// is what `serde_json` reads.
const LONGEST_VALUE: usize = 4 * 1024 * 1024;
const DEEPEST: usize = 127;

/// Finds where each value ends. Every byte is looked at once, however few come at a time.
pub(crate) struct Values {
    parser: JsonParser<PushJsonFeeder>,
    /// The bytes of the value that has begun, and how many the parser had read before them.
    held: Vec<u8>,
    before: usize,
    /// Objects and lists that are open.
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
    /// All that have come.
    pub(crate) fn bytes(&self) -> usize {
        self.before + self.held.len()
    }

    /// True while a value has begun and is not whole.
    pub(crate) fn has_begun(&self) -> bool {
        self.depth > 0
    }

    /// Takes more bytes; adds every value that is whole by now to `found`.
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
            // What lies between values: empty lines alone.
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
