//! A fleet's configuration under loss, cuts, stops, kills and restarts.

mod world;

use rstest::rstest;
use world::{SECOND, World};

#[rstest]
#[case::whole(0, 0)]
#[case::lossy(5, 5)]
fn a_change_is_in_force_everywhere_and_known_so(#[case] lost: u32, #[case] doubled: u32) {
    for seed in 0..3 {
        let mut world = World::whole(20, 5, 60, seed);
        (world.lost, world.doubled) = (lost, doubled);
        world.verdicts.clear();
        assert!(world.publish("limit", "7"), "seed {seed}");
        let took = world.run_until(14 * SECOND, |world| world.everywhere("limit", "7"));
        assert!(took.is_some(), "seed {seed}: not everywhere");
        let version = world.newest;
        world.run(15 * SECOND);
        let verdict = world.verdicts.iter().find(|(.., verdict)| verdict.version == version);
        let (_, _, verdict) = verdict.expect("a verdict");
        assert!(verdict.everywhere && verdict.at == 60, "seed {seed}: {verdict:?}");
    }
}
