//! Records on their way to a file: a bounded buffer, and a thread that packs and writes. Whoever records never waits: when
//! the writer cannot keep up, records are dropped and counted.

use crate::VERSION;
use crate::frame::encode;
use crate::record::Record;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// How much a recorder holds.
#[derive(Clone, Copy, Debug)]
pub struct RecorderLimits {
    /// Records a frame.
    pub frame: usize,
    /// Frames that may wait for the writer.
    pub waiting: usize,
}

impl Default for RecorderLimits {
    /// 2,048 records a frame, eight frames waiting: about 2 MB.
    fn default() -> RecorderLimits {
        RecorderLimits { frame: 2_048, waiting: 8 }
    }
}

struct Full {
    dropped: u64,
    records: Vec<Record>,
}

/// What a recorder has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub records: u64,
    pub dropped: u64,
    pub bytes: u64,
}

pub struct Recorder {
    limits: RecorderLimits,
    records: Vec<Record>,
    dropped: u64,
    kept: u64,
    frames: Option<SyncSender<Full>>,
    writer: Option<JoinHandle<std::io::Result<u64>>>,
}

fn write(mut out: impl Write, frames: Receiver<Full>) -> std::io::Result<u64> {
    out.write_all(b"VKLOAD")?;
    out.write_all(&VERSION.to_be_bytes())?;
    let mut bytes = 8;
    for (number, full) in (0..).zip(frames) {
        let frame = encode(number, full.dropped, &full.records)?;
        out.write_all(&frame)?;
        out.flush()?;
        bytes += frame.len() as u64;
    }
    Ok(bytes)
}

impl Recorder {
    /// Starts the writer.
    pub fn new(out: impl Write + Send + 'static, limits: RecorderLimits) -> Recorder {
        let (frames, told) = sync_channel(limits.waiting.max(1));
        let writer = std::thread::spawn(move || write(out, told));
        let records = Vec::with_capacity(limits.frame);
        Recorder { limits, records, dropped: 0, kept: 0, frames: Some(frames), writer: Some(writer) }
    }

    /// Records one command. Never waits.
    pub fn record(&mut self, record: Record) {
        self.records.push(record);
        if self.records.len() >= self.limits.frame {
            self.hand_over();
        }
    }

    fn hand_over(&mut self) {
        let records = std::mem::replace(&mut self.records, Vec::with_capacity(self.limits.frame));
        let count = records.len() as u64;
        let sent = match &self.frames {
            Some(frames) if count > 0 => frames.try_send(Full { dropped: self.dropped, records }),
            _ => return,
        };
        match sent {
            Ok(()) => self.kept += count,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += count,
        }
    }

    /// Records that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Writes what is left and waits for the writer. An error is that of the file.
    pub fn finish(mut self) -> std::io::Result<Written> {
        let records = std::mem::take(&mut self.records);
        let count = records.len() as u64;
        if let Some(frames) = self.frames.take() {
            // The last frame may wait: nobody is served meanwhile.
            if count > 0 && frames.send(Full { dropped: self.dropped, records }).is_ok() {
                self.kept += count;
            }
        }
        let ended = self.writer.take().map(JoinHandle::join);
        let bytes = match ended {
            Some(Ok(written)) => written?,
            _ => return Err(std::io::Error::other("the writer of the capture has failed")),
        };
        Ok(Written { records: self.kept, dropped: self.dropped, bytes })
    }
}
