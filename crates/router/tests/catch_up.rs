//! Tests the router while it is delayed between its poll and a write: input that arrives during the delay takes effect
//! before the write.

mod common;

use common::faults::*;
use common::member::*;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The fault library delays a read by 300 ms. Input arrives 50 ms into the delay, well over 100 ms before the write
/// that follows the read.
const INPUT_DELAY: Duration = Duration::from_millis(50);

/// Delays the next `count` reads of the router, which `cause_reads` triggers, and returns in the middle of the last
/// one.
fn delay_reads(count: u64, faults: &Faults, cause_reads: impl FnOnce()) {
    let before = faults.injected(Fault::DelayedReceive);
    faults.set(Fault::DelayedReceive, ALWAYS);
    cause_reads();
    let started = Instant::now();
    while faults.injected(Fault::DelayedReceive) < before + count {
        assert!(started.elapsed() < WAIT, "the router did not make the delayed reads");
        std::thread::sleep(Duration::from_millis(1));
    }
    faults.clear();
    std::thread::sleep(INPUT_DELAY);
}

fn receives_cancel_error(client: &mut Client) -> bool {
    client.answer() == Answer::Error("57014".into(), None)
}

/// The last of the delayed reads is the one right before the write of the query. Without a check after it, the router
/// sends a query whose cancel has already arrived.
#[rstest]
fn cancel_during_a_delayed_greeting_read_prevents_the_query(#[values(1, 2, 3, 4)] reads: u64) {
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_with_faults(&[("s-a", &member)], &[], &faults);
    let (mut client, key) = Client::connect_with_key(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.accept_without_reply();
    delay_reads(reads, &faults, || link.greet());
    let _cancel_connection = Client::cancel(&router, &key);
    assert!(receives_cancel_error(&mut client));
    drop(router);
    assert_eq!(link.wait_for_close(), 0, "statement bytes were sent to the member");
}

#[rstest]
fn cancel_during_a_delayed_query_read_prevents_the_query() {
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_with_faults(&[("s-a", &member)], &[], &faults);
    let (mut client, key) = Client::connect_with_key(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.accept();
    link.serve("id=i1", "w");
    assert_eq!(client.answer(), Answer::Row("w".into()));
    delay_reads(1, &faults, || client.send(&query_bytes(&order("i2", 30_000))));
    let _cancel_connection = Client::cancel(&router, &key);
    assert!(receives_cancel_error(&mut client));
    drop(router);
    assert_eq!(link.wait_for_close(), 0, "statement bytes were sent to the member");
}

/// A client with a command in flight; None once the router accepts no more clients.
fn connect_busy_client(router: &Router) -> Option<Client> {
    let mut client = Client::raw(router);
    client.send(&startup(3 << 16));
    client.stream.set_read_timeout(Some(Duration::from_millis(500))).expect("the read timeout is set");
    client.stream.peek(&mut [0]).ok()?;
    client.stream.set_read_timeout(Some(WAIT)).expect("the read timeout is set");
    assert_eq!(client.answer(), Answer::Empty);
    client.send(&query_bytes(
        &order("busy", 30_000).replace("busy", &format!("{:?}", client.stream.local_addr())),
    ));
    Some(client)
}

/// Clients that wait for answers use up all descriptors, so a cancel request waits to be accepted. It still takes
/// effect before a later write.
#[rstest]
fn a_cancel_that_waits_at_the_limit_of_descriptors_keeps_the_query_from_being_sent() {
    let member = Member::start();
    let few_descriptors = [(r#""sockets":1024"#, r#""sockets":56"#)];
    let router = without_probes_replacing(&[("s-a", &member)], &few_descriptors);
    let (mut client, key) = Client::connect_with_key(&router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut link = member.accept_without_reply();
    let busy: Vec<Client> = std::iter::from_fn(|| connect_busy_client(&router)).collect();
    assert!(busy.len() > 5, "{}", busy.len());
    let _cancel_connection = Client::cancel(&router, &key);
    std::thread::sleep(Duration::from_millis(300));
    link.greet();
    assert!(receives_cancel_error(&mut client));
    drop(router);
    assert_eq!(link.wait_for_close(), 0, "statement bytes were sent to the member");
}

/// Guards against a fresh read that is sent on an idle connection to a former primary, after another connection has
/// reported that the member is a replica now.
#[rstest]
fn demotion_reported_during_a_delayed_read_prevents_a_fresh_read() {
    let (member, faults) = (Member::start(), Faults::new(1));
    let fresh_reads = [(r#""class_read":["any","write"]"#, r#""class_read":["fresh","write"]"#)];
    let no_checks = (r#""server_checks":"wait""#, r#""server_checks":"none""#);
    let router = without_probes_with_faults(&[("s-a", &member)], &[fresh_reads[0], no_checks], &faults);
    let (mut writer, mut reader) = (Client::connect(&router), Client::connect(&router));
    writer.send(&query_bytes(&order("w1", 30_000)));
    let mut busy = member.accept();
    busy.serve("id=w1", "w");
    assert_eq!(writer.answer(), Answer::Row("w".into()));
    writer.send(&query_bytes(&order("w2", 30_000)));
    assert!(busy.read_statement().expect("a statement arrives").contains("id=w2"));
    reader.send(&query_bytes(&look("r1", 30_000)));
    let mut idle = member.accept();
    idle.serve("id=r1", "r");
    assert_eq!(reader.answer(), Answer::Row("r".into()));
    delay_reads(1, &faults, || reader.send(&query_bytes(&look("r2", 30_000))));
    busy.send(&[error_response("XX000"), parameter("role", "replica"), ready()].concat());
    // By then the delay is over and the router has processed the read.
    std::thread::sleep(Duration::from_millis(500));
    assert!(idle.received_nothing(), "a fresh read was sent to a member that is no longer the primary");
}

/// The write of one command's answer to its client is delayed by 100 ms or more. The answer to a second command arrives
/// during the delay, just before that command's deadline, and must be delivered.
#[rstest]
fn answer_received_during_a_delayed_write_reaches_its_client() {
    const SECOND_TIMEOUT_MS: u32 = 1_500;
    let (member, faults) = (Member::start(), Faults::new(1));
    let router = without_probes_with_faults(&[("s-a", &member)], &[FULL_BENEFIT], &faults);
    let (mut first, mut second) = (Client::connect(&router), Client::connect(&router));
    first.send(&query_bytes(&look("i1", 30_000)));
    let mut link = member.accept();
    assert!(link.read_statement().expect("a statement arrives").contains("id=i1"));
    let begun = Instant::now();
    second.send(&query_bytes(&look("i2", SECOND_TIMEOUT_MS)));
    let mut other = member.accept();
    assert!(other.read_statement().expect("a statement arrives").contains("id=i2"));
    // The decision module ends a command 10 ms before its deadline.
    let sleep_until = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    sleep_until(1_430);
    faults.set(Fault::DelayedSend, ALWAYS);
    link.answer("first");
    sleep_until(1_455);
    other.answer("second");
    let answers = [first.answer(), second.answer()];
    assert_eq!(answers, ["first", "second"].map(|value| Answer::Row(value.into())));
}
