//! Throughput and latency of two instances on loopback: messages a second at full rate, and the time from a message's
//! due time to its acknowledgement at a steady rate. `cargo run --release -p vetchkeel-link --example speed`

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use vetchkeel_link::{
    Bounds, Channel, Event, FrameType, Header, Kinds, MemoryTransport, Name, Protocols, SendError, Sender,
    SimulatedNetwork, Sockets, Tenths, Transport, encode,
};

const SECONDS: u64 = 2;
const STREAM: Channel = Channel::Stream(1);

fn name(text: &str) -> Name {
    Name::new(text).unwrap_or_else(|| panic!("{text} is not a valid name"))
}

fn sockets(me: &str) -> Sockets {
    let me = Sender { name: name(me), incarnation: 1 };
    let any = ([127, 0, 0, 1], 0).into();
    Sockets::bind(me, Kinds::new(&[(1, "note")]), Bounds::default(), any, Protocols::Both, 1)
        .unwrap_or_else(|e| panic!("cannot bind sockets on loopback: {e}"))
}

/// Results of a sender.
struct Run {
    acknowledged: u64,
    refused: u64,
    /// From the due time to the acknowledgement, in microseconds.
    took: Vec<u64>,
}

/// Sends for [`SECONDS`]: `rate` messages a second, or as many as are accepted.
fn run(length: usize, rate: Option<u64>) -> Run {
    let (mut a, mut b) = (sockets("a"), sockets("b"));
    let over = AtomicBool::new(false);
    let (began, body) = (Instant::now(), vec![7u8; length]);
    let now = || (began.elapsed().as_micros() / 100) as Tenths;
    let added = a.add_peer(0, &name("b"), b.address());
    assert!(added.is_ok(), "{added:?}");
    let waker = b.waker();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                while b.poll(now()).is_some() {}
                let _ = b.wait(Duration::from_millis(20));
            }
        });
        let mut run = Run { acknowledged: 0, refused: 0, took: Vec::new() };
        let mut due: VecDeque<Instant> = VecDeque::new();
        let mut sent = 0u64;
        while began.elapsed() < Duration::from_secs(SECONDS) {
            loop {
                let at =
                    rate.map_or(Instant::now(), |r| began + Duration::from_nanos(sent * 1_000_000_000 / r));
                if at > Instant::now() {
                    break;
                }
                match a.send(now(), &name("b"), STREAM, 1, &body) {
                    Ok(_) => {
                        due.push_back(at);
                        sent += 1;
                    }
                    Err(SendError::Full { .. }) => {
                        run.refused += 1;
                        break;
                    }
                    Err(why) => panic!("{why}"),
                }
            }
            while let Some(event) = a.poll(now()) {
                match event {
                    Event::Acknowledged { number, .. } => {
                        while run.acknowledged < number {
                            run.acknowledged += 1;
                            let at = due.pop_front().unwrap_or(began);
                            run.took.push(at.elapsed().as_micros() as u64);
                        }
                    }
                    other => panic!("unexpected event {other:?}"),
                }
            }
            let _ = a.wait(Duration::from_micros(rate.map_or(1_000, |r| 1_000_000 / r)));
        }
        over.store(true, Ordering::Relaxed);
        let _ = waker.wake();
        run
    })
}

/// Simulates instances that each send a message to five others every 100 ms and are polled every 10 ms of simulated
/// time. Returns the number of delivered messages and the time the simulation took.
fn simulated(instances: usize, seconds: Tenths) -> (u64, Duration) {
    let (began, network) = (Instant::now(), SimulatedNetwork::new(1));
    let names: Vec<Name> = (0..instances).map(|i| name(&format!("n{i}"))).collect();
    let start = |n: &Name| {
        let me = Sender { name: n.clone(), incarnation: 1 };
        network.start(0, me, Kinds::new(&[(1, "note")]), Bounds::default())
    };
    let mut all: Vec<MemoryTransport> = names.iter().map(start).collect();
    for (i, memory) in all.iter_mut().enumerate() {
        for peer in (1..=5).map(|p| &names[(i + p * 7) % instances]) {
            assert!(memory.add_peer(0, peer, network.address(peer)).is_ok());
        }
    }
    let mut delivered = 0;
    for now in (0..seconds * 10_000).step_by(100) {
        for (i, memory) in all.iter_mut().enumerate() {
            if now % 1_000 == 0 {
                for peer in (1..=5).map(|p| &names[(i + p * 7) % instances]) {
                    assert!(memory.send(now, peer, STREAM, 1, &[7; 200]).is_ok());
                }
            }
            while let Some(event) = memory.poll(now) {
                delivered += u64::from(matches!(event, Event::Message { .. }));
            }
        }
    }
    (delivered, began.elapsed())
}

fn main() {
    let header =
        |frame_type| Header { from: "gw-1", incarnation: 1_764_633_600, to: "gw-2", kind: 1, frame_type };
    let (datagram, stream) =
        (FrameType::Datagram, FrameType::Stream { stream: 1, epoch: 1, number: 100_000 });
    let lengths = [datagram, stream].map(|frame_type| encode(&header(frame_type), b"").len());
    println!("envelope: datagram {} bytes, stream {} bytes and 4 of length", lengths[0], lengths[1]);
    println!("length rate acknowledged_per_s p50_us p99_us refused");
    for (length, rate) in [(200, None), (16_384, None), (200, Some(500)), (200, Some(10_000))] {
        let mut run = run(length, rate);
        run.took.sort_unstable();
        let at = |part: f64| run.took.get((run.took.len() as f64 * part) as usize).copied().unwrap_or(0);
        let rate = rate.map_or("full".to_owned(), |r| r.to_string());
        let (a_second, p50, p99) = (run.acknowledged / SECONDS, at(0.5), at(0.99));
        println!("{length} {rate} {a_second} {p50} {p99} {}", run.refused);
    }
    for instances in [10, 100, 300] {
        let (delivered, took) = simulated(instances, 10);
        println!(
            "memory: {instances} instances, 10 s of simulated time: {delivered} delivered in {took:.2?}"
        );
    }
}
