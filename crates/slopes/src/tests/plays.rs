use crate::{Means, PLAYS, Play, TRIES, measures, play};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

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
    let results = play(of("module.list.memory"), &[20, 40, 60], 2, &no_router(), |p| {
        assert!(p.needs.is_ok(), "{p:?}");
        seen.push((p.run, p.size));
    });
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

/// What stays void at one size leaves no slope of the others, and every try is told.
#[test]
fn a_play_that_fails_gives_no_slope() {
    let mut void = 0;
    let results =
        play(of("router.list.change"), &[20, 40], 1, &no_router(), |p| void += p.needs.is_err() as u32);
    let [Err(unmeasured)] = &results[..] else { panic!("expected one failure, found {results:?}") };
    assert!(unmeasured.why.starts_with("run 0 at 20, 4 times: "), "{}", unmeasured.why);
    assert_eq!(void, TRIES);
}

/// Void once, then well: the size counts once.
#[test]
fn a_void_try_is_played_again() {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let stubborn = Play {
        run: |_, size, _| match TRIED.fetch_add(1, Relaxed) % 2 {
            0 => Err("the machine was too busy".into()),
            _ => Ok(vec![2.0 * size as f64]),
        },
        measures: &of("list.whole.bytes").measures[..1],
        sizes: &[1, 2, 3],
        processes: false,
    };
    let mut void = 0;
    let results = play(&stubborn, stubborn.sizes, 2, &no_router(), |p| void += p.needs.is_err() as u32);
    let [Ok(measured)] = &results[..] else { panic!("expected a slope, found {results:?}") };
    assert_eq!((measured.slope.fit.value, measured.slope.fit.runs, void), (2.0, 2, 6));
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

/// What goes between a router and its machine for changes grows with them alone, and repeats exactly.
#[test]
fn changes_cost_the_same_each() {
    let results = play(of("configuration.bytes.change"), &[2, 4, 6], 1, &no_router(), |_| {});
    let found = results.iter().flatten().find(|m| m.slope.name == "configuration.bytes.change");
    let bytes = &found.expect("measured").slope.fit;
    assert!((500.0..5_000.0).contains(&bytes.value) && bytes.residual < 0.02, "{bytes:?}");
}

/// A copy of settings that hardly compress is about as long as they are, and a router that kept nothing gets one.
#[test]
fn a_whole_copy_is_as_long_as_the_settings() {
    let results = play(of("configuration.bytes.whole"), &[4_000, 8_000, 12_000], 1, &no_router(), |_| {});
    let found = results.iter().flatten().find(|m| m.slope.name == "configuration.bytes.whole");
    let bytes = &found.expect("measured").slope.fit;
    assert!((0.7..1.3).contains(&bytes.value), "{bytes:?}");
}
