use crate::list::List;
use rstest::rstest;
use vetchkeel_discovery::{MemberList, parse_list};

fn list() -> List {
    let zones = ["a".to_owned(), "b".to_owned()];
    List::new(6, 3, &zones, |at| ([127, 0, 0, 1], 1_000 + at as u16).into())
}

fn read(line: &str) -> MemberList {
    parse_list(line.as_bytes()).expect("readable")
}

#[rstest]
fn every_set_has_one_primary_and_members_in_both_zones() {
    let member_list = read(&list().whole());
    for set in 0..3 {
        let rows: Vec<_> = member_list.rows.iter().filter(|row| row.entry.set == set).collect();
        assert_eq!(rows.iter().filter(|row| row.entry.primary).count(), 1);
        assert_ne!(rows[0].entry.zone, rows[1].entry.zone);
    }
}

#[rstest]
fn a_primary_that_moves_is_two_rows_under_a_version_of_their_own() {
    let mut list = list();
    let rows = list.move_primary(1);
    let version = list.change(&rows, |_| {});
    let change = read(&list.since(version - 1).expect("news"));
    let told: Vec<_> =
        change.rows.iter().map(|row| (row.entry.node.to_string(), row.entry.primary)).collect();
    assert_eq!((change.version, change.whole), (2, false));
    assert_eq!(told, [("m1".to_owned(), false), ("m4".to_owned(), true)]);
}

#[rstest]
#[case::nothing_new(3, None)]
#[case::one_behind(2, Some((false, 1)))]
#[case::two_behind(1, Some((false, 2)))]
#[case::unknown(9, Some((true, 5)))]
fn what_has_changed_since_a_version(#[case] version: u64, #[case] expected: Option<(bool, usize)>) {
    let mut list = list();
    list.change(&[0], |row| row.listed = false);
    list.change(&[5], |row| row.started_ms = 7);
    let told = list
        .since(version)
        .map(|line| read(&line))
        .map(|member_list| (member_list.whole, member_list.rows.len()));
    assert_eq!(told, expected);
}
