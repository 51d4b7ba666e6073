//! The load capture: a record of each command that has ended. It is compiled only with the feature `capture` and enabled
//! only by an operator file. Without the feature its functions do nothing.

#[cfg(feature = "capture")]
pub use on::{Capture, OpenRecord};

#[cfg(not(feature = "capture"))]
pub use off::{Capture, OpenRecord};

/// The properties of a command that a capture records.
#[cfg_attr(not(feature = "capture"), allow(dead_code))]
pub struct CommandProperties<'a> {
    pub command_group: &'a str,
    pub customer: Option<&'a str>,
    pub set: i64,
    pub key: Option<&'a str>,
    pub time_left: vetchkeel::Tenths,
}

/// How a command ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with a value of this many bytes.
    Answered(usize),
    Throttled,
    Failed,
    Left,
}

#[cfg(not(feature = "capture"))]
mod off {
    use super::{CommandProperties, Outcome};
    use vetchkeel::{Id, Tenths};

    pub struct OpenRecord;

    pub struct Capture;

    impl Capture {
        pub fn open(_name: &str) -> Result<Capture, String> {
            if std::env::var_os("VETCHKEEL_CAPTURE").is_some() {
                return Err(
                    "expected no VETCHKEEL_CAPTURE: this program was built without the feature capture"
                        .into(),
                );
            }
            Ok(Capture)
        }

        pub fn start_record(&self, _now: Tenths, _asked: CommandProperties<'_>) -> OpenRecord {
            OpenRecord
        }

        pub fn end_record(&mut self, _now: Tenths, _begun: &OpenRecord, _dispatches: u32, _end: Outcome) {}

        pub fn finish(self) {}
    }

    impl OpenRecord {
        pub fn dispatched(&mut self, _now: Tenths, _node: &Id) {}
    }
}

#[cfg(feature = "capture")]
mod on {
    use super::{CommandProperties, Outcome};
    use std::fs::File;
    use std::path::Path;
    use std::sync::Arc;
    use vetchkeel::{Id, Tenths};
    use vetchkeel_capture::{Ending, Record, Recorder, RecorderLimits};
    use vetchkeel_log::log;
    use vetchkeel_operator::OperatorFile;

    /// The record of a command in progress and its start time; None if capture is off.
    pub struct OpenRecord(Option<Box<(Record, Tenths)>>);

    pub struct Capture(Option<Recorder>);

    /// Hashes a session key (FNV-1a), so that sessions can be told apart without recording their keys.
    fn session(key: &str) -> u64 {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        key.bytes().fold(0xcbf2_9ce4_8422_2325, mix).max(1)
    }

    fn recorder(file: &Path, name: &str) -> Result<Recorder, String> {
        let operator = OperatorFile::read(file).map_err(|w| w.to_string())?;
        let root = operator.root();
        let settings = || {
            let capture = root.require_block("capture")?;
            let path = capture.require("file")?.text()?.replace("{name}", name);
            let limits = RecorderLimits {
                frame: capture.whole("frame", 2_048, 16..=65_536)? as usize,
                waiting: capture.whole("waiting", 8, 1..=1_024)? as usize,
            };
            capture.done()?;
            root.done()?;
            Ok((path, limits))
        };
        let (path, limits) = settings().map_err(|w: vetchkeel_operator::FileError| w.to_string())?;
        let out = File::create(&path).map_err(|e| format!("expected to write the capture to {path}: {e}"))?;
        Ok(Recorder::new(out, limits))
    }

    impl Capture {
        /// Enables the capture if VETCHKEEL_CAPTURE names an operator file. `{name}` in the capture's path is replaced with
        /// this router's name.
        pub fn open(name: &str) -> Result<Capture, String> {
            match std::env::var_os("VETCHKEEL_CAPTURE") {
                None => Ok(Capture(None)),
                Some(file) => recorder(Path::new(&file), name).map(|r| Capture(Some(r))),
            }
        }

        pub fn start_record(&self, now: Tenths, asked: CommandProperties<'_>) -> OpenRecord {
            let record = || Record {
                arrived: now * 100,
                command_group: Arc::from(asked.command_group),
                customer: asked.customer.map(Arc::from),
                member: None,
                set: asked.set,
                session: asked.key.map_or(0, session),
                time_left: asked.time_left.max(0) as u64 * 100,
                waited: 0,
                latency: 0,
                ending: Ending::Left,
                dispatches: 0,
                bytes: 0,
            };
            OpenRecord(self.0.as_ref().map(|_| Box::new((record(), now))))
        }

        pub fn end_record(&mut self, now: Tenths, begun: &OpenRecord, dispatches: u32, end: Outcome) {
            let (Some(recorder), Some(begun)) = (&mut self.0, &begun.0) else { return };
            let (ending, bytes) = match end {
                Outcome::Answered(bytes) => (Ending::Answered, bytes as u64),
                Outcome::Throttled => (Ending::Throttled, 0),
                Outcome::Failed => (Ending::Failed, 0),
                Outcome::Left => (Ending::Left, 0),
            };
            let latency = (now - begun.1).max(0) as u64 * 100;
            recorder.record(Record { ending, bytes, dispatches, latency, ..begun.0.clone() });
        }

        /// Writes the records that are still buffered.
        pub fn finish(self) {
            match self.0.map(Recorder::finish) {
                None => {}
                Some(Ok(w)) => {
                    log!("capture: {} commands in {} bytes, {} dropped", w.records, w.bytes, w.dropped)
                }
                Some(Err(why)) => log!("capture: writing the file failed: {why}"),
            }
        }
    }

    impl OpenRecord {
        pub fn dispatched(&mut self, now: Tenths, node: &Id) {
            if let Some(begun) = &mut self.0 {
                begun.0.member = Some(node.clone());
                begun.0.waited = (now - begun.1).max(0) as u64 * 100;
            }
        }
    }
}
