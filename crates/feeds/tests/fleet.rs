//! The whole of it in a simulated fleet, by seeds, judged by an auditor that shares no code with it.

mod world;

use rstest::rstest;
use world::{Plan, World};

#[rstest]
fn no_bulletin_is_missed_disordered_or_doubled_whatever_happens() {
    for seed in 0..40 {
        let mut world = World::new(Plan::troubled(), seed);
        world.play();
        assert!(world.auditor.breaches.is_empty(), "seed {seed}: {:#?}", world.auditor.breaches);
        assert!(world.auditor.taken > 5_000, "seed {seed}: {} taken", world.auditor.taken);
    }
}
