//! Runs on loopback against the built router.

use super::helper::{BASE, read};
use crate::result::RunResult;
use rstest::rstest;
use std::path::PathBuf;
use std::process::Command;

/// The router program of this build.
fn router() -> PathBuf {
    let own = std::env::current_exe().expect("this program");
    let path = own.parent().and_then(|p| p.parent()).expect("a target folder").join("vetchkeel-router");
    if !path.exists() {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let built = Command::new(cargo).args(["build", "-p", "vetchkeel-router"]).status();
        assert!(built.is_ok_and(|s| s.success()), "the router builds");
    }
    path
}

fn play(more: &str) -> RunResult {
    let text = BASE.replace("length = \"8s\"", "length = \"6s\"");
    let e = read(&format!("{text}{more}")).expect("right");
    crate::loopback::play(&e.points[0].setup, 3, &router(), None).expect("plays")
}

fn books(r: &RunResult) {
    let a = &r.all;
    assert_eq!(a.asked, a.in_target + a.late + a.throttled + a.failed + a.unanswered);
    assert!(a.asked > 250, "{a:?}");
    assert_eq!(r.breach_counts, [0; 6], "{:?}", r.breaches);
}

#[rstest]
fn a_calm_run_is_answered_by_real_routers() {
    let r = play("");
    books(&r);
    assert!(r.all.throttled + r.all.failed + r.all.unanswered <= r.all.asked / 20, "{:?}", r.all);
    assert!(r.sends.reused > r.sends.dials && r.lateness_ms.is_some_and(|l| l.count > 500));
}

/// A primary dies, a member is replaced under its address, and a router is killed and comes back with its old list.
#[rstest]
fn rules_hold_on_loopback_while_members_and_routers_die() {
    let r = play(
        "\ntrouble \"crash\" {\n from = \"1s\"\n until = \"5s\"\n members = [0]\n}\n\
         trouble \"replace\" {\n from = \"1500ms\"\n until = \"3s\"\n members = [4]\n}\n\
         trouble \"routers\" {\n from = \"2s\"\n until = \"3s\"\n which = [1]\n}\n",
    );
    books(&r);
    assert!(r.happened.elections >= 1 && r.per_member.len() == 7, "{:?}", r.happened);
}

#[rstest]
fn a_baseline_is_refused_on_loopback() {
    let e = read(&format!("{BASE}\ndecides = \"random\"\n")).expect("right");
    assert!(crate::loopback::play(&e.points[0].setup, 1, &router(), None).is_err());
}
