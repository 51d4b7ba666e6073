//! What one play is like: sizes, habits of members and ways, clocks. All of it is drawn from the seed.

use super::draw::Draw;
use vetchkeel::Tenths;

pub const MILLISECOND: Tenths = 10;
pub const SECOND: Tenths = 1_000 * MILLISECOND;

/// What goes wrong in a set, one after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The primary takes work and answers nothing; its probes are answered with the report from before. Another is elected.
    PrimaryHangs,
    /// The same with a replica.
    ReplicaHangs,
    /// The primary steps down and another takes over.
    HandOver,
    /// The primary stands still for less than the detection takes, its position too.
    PrimaryPauses,
    /// A replica applies nothing.
    ReplicaLags,
}

const TROUBLES: [Trouble; 5] = [
    Trouble::PrimaryHangs,
    Trouble::ReplicaHangs,
    Trouble::HandOver,
    Trouble::PrimaryPauses,
    Trouble::ReplicaLags,
];

#[derive(Clone, Debug)]
pub struct Conditions {
    pub sets: usize,
    pub bound: Tenths,
    pub troubles: Vec<Trouble>,
    /// The longest that a pause of a primary takes.
    pub pause_most: Tenths,
    /// Every answer tells a position, not those of writes alone.
    pub positions_told: bool,
    /// It tells the position of when the command was taken, else of when it is answered.
    pub position_as_taken: bool,
    pub report_period: Tenths,
    pub report_delay: Tenths,
    /// Some connections hold each answer back by up to this; so do the probes'.
    pub answers_held: Tenths,
    pub probes_held: Tenths,
    /// A router is held up before one in so many writes to members.
    pub writes_held_one_in: u64,
    /// A connection takes up to this to open.
    pub dials_take: Tenths,
    /// One answer in so many is cut off behind its row.
    pub answers_cut_one_in: u64,
    /// One answer in so many is written by its member and never heard: its connection breaks on the way.
    pub answers_lost_one_in: u64,
    /// By how much each router's wall clock is ahead of the members'.
    pub wall_clocks: Vec<Tenths>,
    /// Of a hundred commands.
    pub writes: u64,
    /// Of a hundred reads those that must see what their session wrote, and how many sessions a set has at a router.
    pub session_reads: u64,
    pub sessions: u64,
    /// Commands a second and router.
    pub rate: u64,
    pub semantics: &'static str,
    pub may_cancel: bool,
}

impl Conditions {
    pub fn draw(draw: &mut Draw) -> Conditions {
        let troubles: Vec<Trouble> = TROUBLES.into_iter().filter(|_| draw.below(2) == 0).collect();
        let wrong: [Tenths; 7] = [-150, 300, -1_000, 2_000, -30, 40, -2_000];
        let right = draw.below(3) > 0;
        let routers = 2 + draw.below(3);
        Conditions {
            sets: 1 + draw.below(3) as usize,
            bound: draw.one_of(&[100, 150, 200, 300, 300, 300, 500]) * MILLISECOND,
            troubles: if troubles.is_empty() { TROUBLES.to_vec() } else { troubles },
            pause_most: draw.one_of(&[100, 240, 300]) * MILLISECOND,
            positions_told: draw.below(2) == 0,
            position_as_taken: draw.below(2) == 0,
            report_period: draw.up_to(40, 250) * MILLISECOND,
            report_delay: draw.up_to(1, 66) * MILLISECOND,
            answers_held: draw.one_of(&[0, 0, 100, 300, 1_000]) * MILLISECOND,
            probes_held: draw.one_of(&[0, 0, 100, 300, 1_500]) * MILLISECOND,
            writes_held_one_in: draw.one_of(&[0, 0, 50]) as u64,
            dials_take: 0,
            answers_cut_one_in: 0,
            answers_lost_one_in: 0,
            wall_clocks: (0..routers)
                .map(|_| if right { 0 } else { draw.one_of(&wrong) * MILLISECOND })
                .collect(),
            writes: draw.one_of(&[0, 10, 25, 25, 25]) as u64,
            session_reads: 0,
            sessions: 0,
            rate: draw.one_of(&[5, 20, 60]) as u64,
            semantics: ["pure", "pure", "side_effect"][draw.below(3) as usize],
            may_cancel: draw.below(4) > 0,
        }
    }

    /// Whether commits tell these routers the members' time: then most bounded reads are to go to replicas.
    pub fn is_ordinary(&self) -> bool {
        self.writes > 0 && self.bound >= 300 * MILLISECOND && self.rate >= 20
    }
}
