use super::*;
use rstest::rstest;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// Where a recorder writes, to be looked at afterwards.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().map_err(|_| std::io::Error::other("poisoned"))?.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn record(n: u64) -> Record {
    let name = |prefix: &str, n: u64| Arc::from(format!("{prefix}{n}"));
    Record {
        arrived: 1_767_225_600_000_000 + n as i64 * 5_263 - (n as i64 % 3) * 9_000,
        command_group: name("group", n % 4),
        customer: (!n.is_multiple_of(5)).then(|| name("customer", n % 5)),
        member: (!n.is_multiple_of(7)).then(|| name("m", n % 12)),
        set: n as i64 % 3 - 1,
        session: n * 7919 % 500,
        time_left: 600_000,
        waited: n % 100,
        latency: 10_000 + n * 37 % 90_000,
        ending: Ending::ALL[n as usize % 4],
        dispatches: n as u32 % 3,
        bytes: n * 13 % 2_000,
    }
}

fn capture(count: u64, frame: usize) -> Vec<u8> {
    let sink = Sink::default();
    let mut recorder = Recorder::new(sink.clone(), RecorderLimits { frame, waiting: 1_000 });
    (0..count).for_each(|n| recorder.record(record(n)));
    let written = recorder.finish().expect("written");
    let bytes = sink.0.lock().expect("whole").clone();
    assert_eq!(written, Written { records: count, dropped: 0, bytes: bytes.len() as u64 });
    bytes
}

#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::part_of_a_frame(99)]
#[case::some_frames(1_050)]
fn what_is_recorded_is_read(#[case] count: u64) {
    let read = read(&capture(count, 100)).expect("a capture");
    assert_eq!(read.loss, Loss::default());
    assert_eq!(read.records, (0..count).map(record).collect::<Vec<_>>());
}

#[rstest]
fn cut_at_any_byte_it_gives_what_is_whole_and_tells_the_loss() {
    let bytes = capture(60, 20);
    let all: Vec<Record> = (0..60).map(record).collect();
    for cut in 8..bytes.len() {
        let read = read(&bytes[..cut]).expect("a capture");
        let whole = read.records.len();
        assert!(whole.is_multiple_of(20) && whole < 60 && read.records == all[..whole], "cut at {cut}");
        // Cut just behind a frame, nothing tells of the ones that never came.
        assert!(read.loss.bytes > 0 || read.loss.frames == 0, "cut at {cut}");
    }
}

#[rstest]
fn damaged_at_any_byte_it_loses_that_frame_alone() {
    let bytes = capture(60, 20);
    for at in 8..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x55;
        let read = read(&bytes).expect("a capture");
        assert!(
            read.records.len() == 40 && read.loss.frames == 1 && read.loss.bytes > 0,
            "{at}: {:?}",
            read.loss
        );
    }
}

#[rstest]
#[case::another_file(b"<?xml version", "expected a load capture, found something else")]
#[case::newer(b"VKLOAD\0\x02", "expected a load capture of version 1, found version 2")]
#[case::too_short(b"VKLOAD\0", "only its beginning")]
fn other_files_are_refused(#[case] bytes: &[u8], #[case] why: &str) {
    assert!(read(bytes).is_err_and(|e| e.contains(why)));
}

/// A file that takes nothing until it is told to.
struct Slow(Receiver<()>, Sink, Sender<()>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.2.send(());
        let _ = self.0.recv();
        self.1.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_writer_that_cannot_keep_up_costs_records_and_never_time() {
    let (go, gate) = channel();
    let (began, begun) = channel();
    let sink = Sink::default();
    let mut recorder =
        Recorder::new(Slow(gate, sink.clone(), began), RecorderLimits { frame: 10, waiting: 2 });
    begun.recv().expect("the writer stands in its first write");
    (0..100).for_each(|n| recorder.record(record(n)));
    assert_eq!(recorder.dropped(), 80, "two frames wait, the rest is dropped");
    drop(go);
    recorder.record(record(100));
    let written = recorder.finish().expect("written");
    assert_eq!((written.records, written.dropped), (21, 80));
    let read = read(&sink.0.lock().expect("whole")).expect("a capture");
    assert_eq!((read.records.len(), read.loss.dropped), (21, 80));
}

#[rstest]
fn a_record_takes_few_bytes() {
    let bytes = capture(20_000, 2_048).len() as f64 / 20_000.0;
    assert!(bytes < 20.0, "{bytes}");
}
