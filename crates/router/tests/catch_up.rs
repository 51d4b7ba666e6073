//! The built program held up between its poll and a write: what came meanwhile counts before the write.

mod common;

use common::faults::*;
use common::member::*;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The library holds a read up for 300 ms: something comes 50 ms into that, well over 100 ms before the write behind it.
const INTO_IT: Duration = Duration::from_millis(50);

/// Holds up so many reads that the router is about to make, and returns in the middle of the last.
fn hold_reads(count: u64, faults: &Faults, begin: impl FnOnce()) {
    let before = faults.injected(Fault::HeldReceive);
    faults.set(Fault::HeldReceive, ALWAYS);
    begin();
    let waits = Instant::now();
    while faults.injected(Fault::HeldReceive) < before + count {
        assert!(waits.elapsed() < WAIT, "nothing is read");
        std::thread::sleep(Duration::from_millis(1));
    }
    faults.none();
    std::thread::sleep(INTO_IT);
}

fn ended_by_cancel(client: &mut Client) -> bool {
    client.answer() == Answer::Error("57014".into(), None)
}

/// The last of these reads is the one right before the write.
#[rstest]
fn a_cancel_that_came_while_a_greeting_was_read_keeps_the_query_from_being_sent(
    #[values(1, 2, 3, 4)] reads: u64,
) {
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let (mut client, key) = Client::keyed(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.dialled();
    hold_reads(reads, &faults, || link.greet());
    let _asks = Client::cancel(&router, &key);
    assert!(ended_by_cancel(&mut client));
    drop(router);
    assert_eq!(link.ended(), 0, "bytes of a statement");
}

#[rstest]
fn a_cancel_that_came_while_its_query_was_read_keeps_it_from_being_sent() {
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let (mut client, key) = Client::keyed(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.met();
    link.serve("id=i1", "w");
    assert_eq!(client.answer(), Answer::Row("w".into()));
    hold_reads(1, &faults, || client.send(&query_bytes(&order("i2", 30_000))));
    let _asks = Client::cancel(&router, &key);
    assert!(ended_by_cancel(&mut client));
    drop(router);
    assert_eq!(link.ended(), 0, "bytes of a statement");
}

/// A client with a command in hand; None where the router lets nobody in any more.
fn let_in(router: &Router) -> Option<Client> {
    let mut client = Client::raw(router);
    client.send(&startup(3 << 16));
    client.stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a time-out");
    client.stream.peek(&mut [0]).ok()?;
    client.stream.set_read_timeout(Some(WAIT)).expect("a time-out");
    assert_eq!(client.answer(), Answer::Empty);
    client.send(&query_bytes(
        &order("busy", 30_000).replace("busy", &format!("{:?}", client.stream.local_addr())),
    ));
    Some(client)
}

/// Clients that wait for answers hold all connections: a cancel waits to be accepted, and counts before a later write all the same.
#[rstest]
fn a_cancel_that_waits_at_the_limit_of_descriptors_keeps_the_query_from_being_sent() {
    let member = Member::start();
    let few = [(r#""sockets":1024"#, r#""sockets":56"#)];
    let router = without_probes_but(&[("s-a", &member)], &few);
    let (mut client, key) = Client::keyed(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.dialled();
    let busy: Vec<Client> = std::iter::from_fn(|| let_in(&router)).collect();
    assert!(busy.len() > 5, "{}", busy.len());
    let _asks = Client::cancel(&router, &key);
    std::thread::sleep(Duration::from_millis(300));
    link.greet();
    assert!(ended_by_cancel(&mut client));
    drop(router);
    assert_eq!(link.ended(), 0, "bytes of a statement");
}

/// A read that must be fresh, on a connection that idles, while another brings the word that the member is a replica by now.
#[rstest]
fn word_of_a_replica_that_came_while_a_read_was_taken_keeps_it_from_being_sent() {
    let (member, faults) = (Member::start(), Faults::new(1));
    let fresh = [(r#""class_read":["any","write"]"#, r#""class_read":["fresh","write"]"#)];
    let waits = (r#""server_checks":"wait""#, r#""server_checks":"none""#);
    let router = without_probes_failing(&[("s-a", &member)], &[fresh[0], waits], &faults);
    let (mut writer, mut reader) = (Client::connect(&router), Client::connect(&router));
    writer.send(&query_bytes(&order("w1", 30_000)));
    let mut busy = member.met();
    busy.serve("id=w1", "w");
    assert_eq!(writer.answer(), Answer::Row("w".into()));
    writer.send(&query_bytes(&order("w2", 30_000)));
    assert!(busy.asked().expect("a statement").contains("id=w2"));
    reader.send(&query_bytes(&look("r1", 30_000)));
    let mut kept = member.met();
    kept.serve("id=r1", "r");
    assert_eq!(reader.answer(), Answer::Row("r".into()));
    hold_reads(1, &faults, || reader.send(&query_bytes(&look("r2", 30_000))));
    busy.say(&[code("XX000"), parameter("role", "replica"), ready()].concat());
    // Behind the hold-up it has taken the read up.
    std::thread::sleep(Duration::from_millis(500));
    assert!(kept.heard_nothing(), "a fresh read at a member that is no primary any more");
}

/// The answer to one command is held up on its way to its client, for 100 ms or more; another's comes meanwhile, just in time.
#[rstest]
fn an_answer_that_came_while_another_was_written_counts_before_its_command_is_given_up() {
    const WAIT_OF_SECOND: u32 = 1_500;
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_failing(&[("s-a", &member)], &[WORTH], &faults);
    let (mut first, mut second) = (Client::connect(&router), Client::connect(&router));
    first.send(&query_bytes(&look("i1", 30_000)));
    let mut link = member.met();
    assert!(link.asked().expect("a statement").contains("id=i1"));
    let begun = Instant::now();
    second.send(&query_bytes(&look("i2", WAIT_OF_SECOND)));
    let mut other = member.met();
    assert!(other.asked().expect("a statement").contains("id=i2"));
    // The module ends a command 10 ms before its time.
    let until = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    until(1_430);
    faults.set(Fault::HeldSend, ALWAYS);
    link.answer("first");
    until(1_455);
    other.answer("second");
    let answers = [first.answer(), second.answer()];
    assert_eq!(answers, ["first", "second"].map(|value| Answer::Row(value.into())));
}
