use crate::{Means, PLAYS, Play, measures, play};
use std::collections::BTreeSet;
use std::path::PathBuf;

fn no_router() -> Means {
    Means { router: PathBuf::from("/nonexistent/vetchkeel-router") }
}

fn of(name: &str) -> &'static Play {
    PLAYS.iter().find(|p| p.measures.iter().any(|m| m.name == name)).expect("a play of this name")
}

/// A small run: a list of ten members more is ten rows more in bytes, and more is held.
#[test]
fn a_list_costs_more_the_longer_it_is() {
    let mut seen = Vec::new();
    let results =
        play(of("module.list.memory"), &[20, 40, 60], 2, &no_router(), |p| seen.push((p.run, p.size)));
    assert_eq!(seen, [(0, 20), (0, 40), (0, 60), (1, 20), (1, 40), (1, 60)]);
    let slope = |name: &str| {
        let found = results.iter().flatten().find(|m| m.slope.name == name);
        found.unwrap_or_else(|| panic!("{name} measured")).slope.clone()
    };
    let (bytes, memory) = (slope("list.whole.bytes"), slope("module.list.memory"));
    assert!((120.0..200.0).contains(&bytes.fit.value), "bytes of a row: {}", bytes.fit.value);
    assert!((200.0..5_000.0).contains(&memory.fit.value), "bytes held of a member: {}", memory.fit.value);
    // Allocations repeat exactly: the runs differ by their seed alone.
    assert_eq!((memory.fit.low, memory.fit.sizes), (memory.fit.high, vec![20.0, 40.0, 60.0]));
    assert_eq!(slope("module.list.whole.pair").fit.sizes, [400.0, 1_600.0, 3_600.0]);
}

/// What goes wrong at one size leaves no slope of the others.
#[test]
fn a_play_that_fails_gives_no_slope() {
    let results = play(of("router.list.change"), &[20, 40], 1, &no_router(), |_| {});
    let [Err(unmeasured)] = &results[..] else { panic!("expected one failure, found {results:?}") };
    assert!(unmeasured.why.starts_with("run 0 at 20: "), "{}", unmeasured.why);
}

#[test]
fn every_slope_has_one_name_and_five_sizes() {
    let names: BTreeSet<&str> = measures().map(|m| m.name).collect();
    assert_eq!(names.len(), measures().count(), "a name stands for one slope");
    for play in PLAYS {
        let counted: BTreeSet<u64> =
            play.sizes.iter().map(|size| (play.measures[0].counted)(*size).to_bits()).collect();
        assert!(counted.len() >= 5, "{}", play.measures[0].name);
    }
}
