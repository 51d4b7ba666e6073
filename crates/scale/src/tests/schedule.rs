use crate::file::read;
use crate::schedule::{Deed, Schedule, Step};
use rstest::rstest;
use vetchkeel_operator::{FileError, OperatorFile};

const HEAD: &str = "length = \"60s\"\nsize {\n  routers = 10\n  members = 20\n}\nregion \"r\" { zones = [\"a\", \"b\"] }\nregion \"s\" { zones = [\"c\"] }\n";

fn parsed(tail: &str) -> Result<Schedule, FileError> {
    read(&OperatorFile::parse("s.hcl", &format!("{HEAD}{tail}"))?)
}

const CONTROL: &str = "control { machines = 3 }\n";

#[rstest]
#[case::unknown("sized = 3\n", "s.hcl:8:1: expected one of agents_silent")]
#[case::no_zone(
    "zone_lost \"z\" {\n  zone = \"x\"\n  at = \"1s\"\n  until = \"2s\"\n}\n",
    "s.hcl:9:10: expected one of the regions' zones for zone_lost.z.zone, found \"x\""
)]
#[case::no_region(
    "cut \"c\" {\n  from = [\"r\"]\n  to = [\"t\"]\n  at = \"1s\"\n  until = \"2s\"\n}\n",
    "s.hcl:10:9: expected one of the regions for cut.c.to, found \"t\""
)]
#[case::no_end(
    "cut \"c\" {\n  from = [\"r\"]\n  to = [\"s\"]\n  at = \"1s\"\n}\n",
    "s.hcl:8:1: expected a value for cut.c.until, found none"
)]
#[case::ends_before(
    "agents_silent \"a\" {\n  at = \"5s\"\n  until = \"4s\"\n}\n",
    "s.hcl:10:11: expected a time such as \"250ms\" from"
)]
#[case::past_the_end(
    "restart { at = \"61s\" }\n",
    "s.hcl:8:16: expected a time such as \"250ms\" from 0s to 60s"
)]
#[case::too_many_left(
    "list_changes { \n  at = \"50s\"\n  every = \"5s\"\n  count = 4\n}\n",
    "s.hcl:11:11: expected as many as are due inside the play for list_changes.count, found 4"
)]
#[case::too_slow(
    "restart {\n  at = \"0s\"\n  a_minute = 9\n}\n",
    "s.hcl:10:14: expected as many a minute as end inside the play for restart.a_minute, found 9"
)]
#[case::even_keepers(
    "control {\n  machines = 4\n  keepers = 2\n}\n",
    "s.hcl:10:13: expected an odd number of keepers for control.keepers, found 2"
)]
#[case::no_machines(
    "changes { at = \"1s\" }\n",
    "s.hcl:8:1: expected a block control with machines, found none"
)]
#[case::no_such_machine(
    "control { machines = 3 }\nmachine_killed { \n machine = 4\n at = \"1s\" \n}\n",
    "s.hcl:10:12: expected a whole number from 1 to 3 for machine_killed.machine, found 4"
)]
#[case::no_label("region { zones = [\"x\"] }\n", "s.hcl:8:1: expected a label for region, found none")]
fn what_is_wrong_is_told_with_its_place(#[case] tail: &str, #[case] error: &str) {
    let found = parsed(tail).expect_err("wrong").to_string();
    assert!(found.starts_with(error), "{found}");
}

#[rstest]
#[case::at_once("restart {\n at = \"10s\"\n routers = 2\n away = \"1s\"\n}\n", &[
    (100_000, Deed::EndRouter(0)), (100_000, Deed::EndRouter(5)),
    (110_000, Deed::StartRouter(0)), (110_000, Deed::StartRouter(5)),
])]
#[case::by_the_minute("restart {\n at = \"10s\"\n routers = 2\n a_minute = 6\n away = \"1s\"\n}\n", &[
    (100_000, Deed::EndRouter(0)), (110_000, Deed::StartRouter(0)),
    (200_000, Deed::EndRouter(5)), (210_000, Deed::StartRouter(5)),
])]
#[case::changes("changes \"c\" {\n at = \"10s\"\n count = 2\n every = \"500ms\"\n}\n", &[
    (100_000, Deed::Publish { event: 0, number: 0 }), (105_000, Deed::Publish { event: 0, number: 1 }),
])]
#[case::killed("machine_killed {\n at = \"10s\"\n machine = 3\n until = \"12s\"\n}\n", &[
    (100_000, Deed::KillMachine(2)), (120_000, Deed::StartMachine(2)),
])]
fn events_become_steps_in_order_of_time(#[case] tail: &str, #[case] expected: &[(i64, Deed)]) {
    let steps = parsed(&format!("{CONTROL}{tail}")).expect("right").steps();
    let expected: Vec<Step> =
        expected.iter().map(|(at, deed)| Step { at: *at, deed: deed.clone() }).collect();
    assert_eq!(steps[10..], expected);
}
