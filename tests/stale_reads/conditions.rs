//! The conditions of one simulation: sizes, faults, delays and clocks, all drawn at random from the seed.

use super::rng::SeededRng;
use vetchkeel::Tenths;

pub const MILLISECOND: Tenths = 10;
pub const SECOND: Tenths = 1_000 * MILLISECOND;

/// The faults of a set; they happen one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary accepts commands and answers none; probes still get its last report. Another primary is
    /// elected.
    PrimaryHangs,
    /// The same for a replica.
    ReplicaHangs,
    /// The primary steps down and another member takes over.
    HandOver,
    /// The primary and its position stop for less time than failure detection takes.
    PrimaryPauses,
    /// A replica stops applying the log for a while.
    ReplicaLags,
}

const FAULTS: [Fault; 5] =
    [Fault::PrimaryHangs, Fault::ReplicaHangs, Fault::HandOver, Fault::PrimaryPauses, Fault::ReplicaLags];

#[derive(Clone, Debug)]
pub struct Conditions {
    pub sets: usize,
    /// The staleness bound of bounded reads.
    pub bound: Tenths,
    pub faults: Vec<Fault>,
    /// The maximum length of a primary's pause.
    pub max_pause: Tenths,
    /// Every answer carries a position, not only the answers of writes.
    pub positions_in_answers: bool,
    /// The answer carries the position at the command's arrival, otherwise the position at the time of the
    /// answer.
    pub position_at_arrival: bool,
    pub report_period: Tenths,
    pub report_delay: Tenths,
    /// The maximum delay of an answer on some connections, and of a probe or its answer.
    pub max_answer_delay: Tenths,
    pub max_probe_delay: Tenths,
    /// A router stalls before one in so many writes to members.
    pub stall_one_write_in: u64,
    /// The maximum time that opening a connection takes.
    pub max_dial_time: Tenths,
    /// One answer in so many ends after its row, without the member's role and position.
    pub truncate_one_answer_in: u64,
    /// One answer in so many is written by its member and lost, as its connection breaks.
    pub lose_one_answer_in: u64,
    /// By how much each router's wall clock is ahead of the members' clock.
    pub wall_clock_offsets: Vec<Tenths>,
    /// Writes among a hundred commands.
    pub write_percent: u64,
    /// Session reads among a hundred reads. They have to see the writes of their session.
    pub session_read_percent: u64,
    /// Sessions of each set at a router.
    pub sessions: u64,
    /// Commands a second at each router.
    pub rate: u64,
    pub semantics: &'static str,
    pub may_cancel: bool,
}

impl Conditions {
    pub fn random(rng: &mut SeededRng) -> Conditions {
        let faults: Vec<Fault> = FAULTS.into_iter().filter(|_| rng.below(2) == 0).collect();
        let wrong_offsets: [Tenths; 7] = [-150, 300, -1_000, 2_000, -30, 40, -2_000];
        let clocks_right = rng.below(3) > 0;
        let routers = 2 + rng.below(3);
        Conditions {
            sets: 1 + rng.below(3) as usize,
            bound: rng.choose(&[100, 150, 200, 300, 300, 300, 500]) * MILLISECOND,
            faults: if faults.is_empty() { FAULTS.to_vec() } else { faults },
            max_pause: rng.choose(&[100, 240, 300]) * MILLISECOND,
            positions_in_answers: rng.below(2) == 0,
            position_at_arrival: rng.below(2) == 0,
            report_period: rng.in_range(40, 250) * MILLISECOND,
            report_delay: rng.in_range(1, 66) * MILLISECOND,
            max_answer_delay: rng.choose(&[0, 0, 100, 300, 1_000]) * MILLISECOND,
            max_probe_delay: rng.choose(&[0, 0, 100, 300, 1_500]) * MILLISECOND,
            stall_one_write_in: rng.choose(&[0, 0, 50]) as u64,
            max_dial_time: 0,
            truncate_one_answer_in: 0,
            lose_one_answer_in: 0,
            wall_clock_offsets: (0..routers)
                .map(|_| if clocks_right { 0 } else { rng.choose(&wrong_offsets) * MILLISECOND })
                .collect(),
            write_percent: rng.choose(&[0, 10, 25, 25, 25]) as u64,
            session_read_percent: 0,
            sessions: 0,
            rate: rng.choose(&[5, 20, 60]) as u64,
            semantics: ["pure", "pure", "side_effect"][rng.below(3) as usize],
            may_cancel: rng.below(4) > 0,
        }
    }

    /// Whether commits are frequent enough for these routers to learn the members' time. A large part of the
    /// bounded reads then has to go to replicas.
    pub fn expects_replica_reads(&self) -> bool {
        self.write_percent > 0 && self.bound >= 300 * MILLISECOND && self.rate >= 20
    }
}
