//! Size limits, round trips and rejection of invalid input: documents, changes, the log, persisted state and messages.

use std::collections::BTreeMap;

use rstest::rstest;
use vetchkeel_configuration::{
    Action, BadPlan, Change, Document, DocumentError, Edit, Log, MAX_DOCUMENT_BYTES, MAX_NAME_BYTES,
    MAX_NAMES, MAX_VALUE_BYTES, Machine, Message, Name, Outcome, PersistedState, Plan, PublishError, Record,
    Since, Subscriber, Version, whole, wire,
};

fn edit(name: &str, value: &str) -> Edit {
    Edit { name: name.into(), value: Some(value.into()) }
}

fn document(names: &[(&str, &str)]) -> Document {
    let names: BTreeMap<String, String> =
        names.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Document::from(names).expect("within the limits")
}

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

/// A change without edits from version `number - 1` to `number`.
fn change(number: u64) -> Change {
    let digest = Document::default().digest();
    Change { version: version(number), base: version(number - 1), published: 0, edits: Vec::new(), digest }
}

#[rstest]
#[case::empty_name(vec![edit("", "x")], DocumentError::InvalidName(String::new()))]
#[case::long_name(vec![edit(&"n".repeat(MAX_NAME_BYTES + 1), "x")], DocumentError::InvalidName("n".repeat(MAX_NAME_BYTES + 1)))]
#[case::long_value(vec![edit("n", &"x".repeat(MAX_VALUE_BYTES + 1))], DocumentError::ValueTooLong("n".into()))]
#[case::duplicate_name(vec![edit("n", "x"), edit("n", "y")], DocumentError::DuplicateName("n".into()))]
#[case::too_many_names((0..=MAX_NAMES).map(|at| edit(&at.to_string(), "")).collect(), DocumentError::TooManyNames(MAX_NAMES + 1))]
#[case::too_many_bytes((0..17).map(|at| edit(&format!("{at:02}"), &"x".repeat(MAX_VALUE_BYTES))).collect(),
    DocumentError::TooLarge(17 * (MAX_VALUE_BYTES + 2)))]
fn document_beyond_a_limit_is_rejected(#[case] edits: Vec<Edit>, #[case] expected: DocumentError) {
    assert_eq!(Document::default().changed(&edits), Err(expected));
}

#[test]
fn document_at_the_size_limit_is_accepted() {
    let value = "x".repeat(MAX_VALUE_BYTES - 2);
    let edits: Vec<Edit> = (0..16).map(|at| edit(&format!("{at:02}"), &value)).collect();
    let full = Document::default().changed(&edits).expect("it is within the size limit");
    assert_eq!(full.bytes(), MAX_DOCUMENT_BYTES);
}

#[test]
fn edits_between_two_documents_turn_one_into_the_other() {
    let one = document(&[("a", "1"), ("b", "2"), ("c", "3")]);
    let other = document(&[("b", "2"), ("c", "4"), ("d", "5")]);
    let edits = one.edits_to(&other);
    assert_eq!(edits.len(), 3);
    assert_eq!(one.changed(&edits), Ok(other));
}

#[test]
fn digest_separates_names_from_values() {
    assert_ne!(document(&[("ab", "c")]).digest(), document(&[("a", "bc")]).digest());
    assert_ne!(document(&[("a", ""), ("b", "")]).digest(), document(&[("a", "b")]).digest());
}

#[rstest]
#[case::newest(9, Since::UpToDate)]
#[case::one_behind(8, Since::Changes(vec![change(9)]))]
#[case::oldest_held(6, Since::Changes(vec![change(7), change(8), change(9)]))]
#[case::already_dropped(5, Since::Snapshot)]
#[case::newer_than_the_log(10, Since::Snapshot)]
fn log_returns_the_changes_after_a_held_version(#[case] from: u64, #[case] expected: Since) {
    let mut log = Log::default();
    (1..10).for_each(|number| log.push(change(number), 3, usize::MAX));
    assert_eq!(log.since(version(from)), expected);
}

#[test]
fn log_size_is_limited_in_bytes() {
    let mut log = Log::default();
    (1..100).for_each(|number| log.push(change(number), usize::MAX, 480));
    assert_eq!((log.len(), log.bytes()), (10, 480));
}

#[test]
fn gap_in_the_changes_restarts_the_log() {
    let mut log = Log::default();
    [1, 2, 5].into_iter().for_each(|number| log.push(change(number), 10, usize::MAX));
    assert_eq!(log.since(version(1)), Since::Snapshot);
    assert_eq!(log.since(version(4)), Since::Changes(vec![change(5)]));
}

#[test]
fn snapshot_round_trips() {
    let document = document(&[("a", "1"), ("b", &"x".repeat(10_000))]);
    let bytes = whole::pack(version(7), 5, &document);
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
    assert_eq!(whole::unpack(&bytes), Ok((version(7), 5, document)));
}

#[test]
fn snapshot_with_a_flipped_bit_is_rejected() {
    let good = document(&[("a", "1"), ("b", "a value that is a little longer")]);
    let bytes = whole::pack(version(7), 5, &good);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x10;
        let taken = whole::unpack(&damaged);
        assert!(taken.is_err() || taken.is_ok_and(|(.., taken)| taken == good), "byte {at}");
    }
    assert!(whole::unpack(&bytes[..bytes.len() - 1]).is_err());
}

#[test]
fn decompression_bomb_is_rejected() {
    let bomb = zstd::encode_all(std::io::repeat(0).take_at_most(64 << 20), 3).expect("compression succeeds");
    assert!(bomb.len() < 10_000);
    assert!(matches!(whole::unpack(&bomb), Err(DocumentError::TooLarge(_))));
}

/// Limits an endless reader to `limit` bytes.
trait TakeAtMost: std::io::Read + Sized {
    fn take_at_most(self, limit: u64) -> std::io::Take<Self> {
        self.take(limit)
    }
}

impl TakeAtMost for std::io::Repeat {}

#[test]
fn persisted_state_round_trips_and_corruption_is_detected() {
    let mut kept = PersistedState::default();
    let plan = Plan::default();
    kept.apply(&Record::Promised(3), &plan);
    kept.apply(&Record::Voting, &plan);
    let mut first = change(1);
    first.base = Version::NONE;
    kept.apply(&Record::Unreleased(vec![first.clone()]), &plan);
    kept.apply(&Record::Released(vec![first]), &plan);
    assert_eq!((kept.version(), kept.held()), (version(1), version(1)));
    let bytes = kept.to_bytes();
    assert_eq!(PersistedState::from_bytes(&bytes), Some(kept));
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert_eq!(PersistedState::from_bytes(&damaged), None, "byte {at}");
    }
}

#[rstest]
#[case::empty(vec![], wire::WireError::Empty)]
#[case::unsupported_version(vec![9, 0, 0], wire::WireError::Version(9))]
#[case::unknown_kind(vec![wire::VERSION, 99], wire::WireError::Malformed)]
#[case::too_long(vec![wire::VERSION; wire::MAX_MESSAGE_BYTES + 1], wire::WireError::TooLong(wire::MAX_MESSAGE_BYTES + 1))]
fn undecodable_message_is_rejected(#[case] bytes: Vec<u8>, #[case] expected: wire::WireError) {
    assert_eq!(wire::decode(&bytes), Err(expected));
}

#[test]
fn message_round_trips_and_trailing_bytes_are_rejected() {
    let outcome = Outcome::Refused { why: "a reason".into() };
    let message = Message::Status { start: 1, turn: 2, in_force: version(3), version: version(4), outcome };
    let mut bytes = wire::encode(&message).expect("it is within the size limit");
    assert_eq!(bytes.len(), wire::length(&message));
    assert_eq!(wire::decode(&bytes), Ok(message));
    bytes.push(0);
    assert_eq!(wire::decode(&bytes), Err(wire::WireError::Trailing(1)));
}

#[rstest]
#[case("")]
#[case("with space")]
#[case("a-name-of-thirty-three-characters")]
fn invalid_name_is_rejected(#[case] text: &str) {
    assert!(Name::new(text).is_err());
}

#[test]
fn invalid_plan_is_rejected_with_the_failing_field() {
    let plan = Plan { patience: 10_000, ..Plan::default() };
    assert_eq!(plan.check(), Err(BadPlan { what: "patience", expected: "at least two beats" }));
    let me = Name::new("r1").expect("a valid name");
    assert!(Subscriber::new(Plan::default(), me, 1, None, Vec::new(), 0, 1).is_err());
}

#[test]
fn pending_edits_at_the_writer_are_limited() {
    let me = Name::new("m1").expect("a valid name");
    let plan = Plan { waiting_bytes: 4_096, ..Plan::default() };
    let all = vec![me.clone()];
    let machine = Machine::new(plan, me, all.clone(), all, None, |_| Ok(()), 0, 1);
    let mut machine = machine.expect("a valid plan");
    let mut now = 0;
    // A single keeper is a majority by itself, so the machine elects itself.
    while machine.writer_epoch().is_none() {
        now = machine.wake_at().expect("a wake-up time is set");
        while machine.next_decision(now).is_some() {}
    }
    let publish = |machine: &mut Machine| machine.publish(now, vec![edit("n", &"x".repeat(3_000))]);
    assert_eq!(publish(&mut machine), Ok(()));
    assert_eq!(publish(&mut machine), Err(PublishError::Full));
    let records = std::iter::from_fn(|| machine.next_decision(now));
    assert!(records.into_iter().any(|order| matches!(order, Action::Persist(Record::Released(_)))));
    assert_eq!(machine.document().get("n").map(str::len), Some(3_000));
}
