//! The time that an attempt tells its member: at most what is left to the client, however long the attempt was held.

mod common;

use common::member::*;
use common::*;
use rstest::rstest;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What the client waits, and how much more than is left to it an attempt may tell, both in milliseconds.
const WAITS: u32 = 20_000;
const SLACK: u32 = 150;
/// How long an attempt is held: what told the time before that would be far off.
const HELD: Duration = Duration::from_millis(700);

fn told(statement: &str) -> u32 {
    let wait = statement.rsplit(",d=").next().and_then(|s| s.split(',').next());
    wait.and_then(|w| w.parse().ok()).unwrap_or_else(|| panic!("no wait in '{statement}'"))
}

fn router(member: &Member) -> Router {
    without_probes_but(&[("s-a", member)], &[WORTH])
}

/// A client and when it began to send its command.
struct Waiting {
    client: Client,
    since: Instant,
    waits: u32,
}

impl Waiting {
    fn asks(router: &Router, statement: &str, waits: u32) -> Waiting {
        let mut client = Client::connect(router);
        let since = Instant::now();
        client.send(&query_bytes(statement));
        Waiting { client, since, waits }
    }

    fn left(&self) -> u32 {
        self.waits.saturating_sub(self.since.elapsed().as_millis() as u32)
    }

    /// The next statement on this connection tells no more than was left to the client when `left` was read.
    fn checks(&self, link: &mut Link, left: u32) {
        self.tells(&link.asked().expect("a statement"), left);
    }

    fn tells(&self, statement: &str, left: u32) {
        let told = told(statement);
        assert!(told <= left + SLACK, "told {told} with {left} left");
        // And what is told is no guess far below.
        assert!(told + 8_000 >= left, "told {told} with {left} left");
    }

    fn served(&mut self, mut link: Link) {
        link.answer("r");
        assert_eq!(self.client.answer(), Answer::Row("r".into()));
    }
}

/// How an attempt ends so that a further one may follow.
#[derive(Clone, Copy, Debug)]
enum Ends {
    With(&'static str),
    Reset,
}

impl Ends {
    /// The connection ends with it: the router hears both in one turn.
    fn end(self, router: &Router, mut link: Link) {
        match self {
            Ends::With(sqlstate) => {
                router.stop();
                link.say(&[code(sqlstate), ready()].concat());
                link.end(false);
                router.signal("-CONT");
            }
            Ends::Reset => link.end(true),
        }
    }
}

#[rstest]
#[case::erred(Ends::With("XX000"))]
#[case::missed(Ends::With("72000"))]
#[case::turned_away(Ends::With("53300"))]
#[case::reset(Ends::Reset)]
fn a_further_attempt_after_a_late_dial_tells_what_is_left(#[case] ends: Ends) {
    let member = Member::start();
    let router = router(&member);
    let mut waiting = Waiting::asks(&router, &look("i1", WAITS), WAITS);
    let mut first = member.dialled();
    sleep(HELD);
    let left = waiting.left();
    first.greet();
    waiting.checks(&mut first, left);
    ends.end(&router, first);
    let mut further = member.dialled();
    sleep(HELD);
    let left = waiting.left();
    further.greet();
    waiting.checks(&mut further, left);
    waiting.served(further);
}

#[rstest]
#[case::as_wide_as_before(20_000)]
#[case::with_a_digit_less_by_then(10_300)]
fn a_further_attempt_that_is_written_in_parts_tells_what_is_left(#[case] waits: u32) {
    let member = Member::narrow();
    let router = router(&member);
    let long = order("i1", waits).replace(r"\x01", &format!(r"\x{}", "01".repeat(64_000)));
    let mut waiting = Waiting::asks(&router, &long, waits);
    let mut link = member.met();
    let left = waiting.left();
    waiting.checks(&mut link, left);
    Ends::With("25006").end(&router, link);
    let mut link = member.met();
    // Something of it has come: the router has told how many bytes there will be, and its system takes no more.
    link.stream.peek(&mut [0]).expect("a statement");
    sleep(HELD);
    let left = waiting.left();
    waiting.checks(&mut link, left);
    waiting.served(link);
}

#[rstest]
#[case::a_dial_comes_up(true)]
#[case::an_attempt_ends(false)]
fn after_standing_still_an_attempt_tells_what_is_left(#[case] dials: bool) {
    let member = Member::start();
    let router = router(&member);
    let mut waiting = Waiting::asks(&router, &look("i1", WAITS), WAITS);
    let mut link = member.met();
    let left = waiting.left();
    waiting.checks(&mut link, left);
    if dials {
        link.end(true);
        link = member.dialled();
        router.stop();
        link.greet();
    } else {
        router.stop();
        // Its connection rests, and a new one carries the further attempt.
        link.say(&[code("XX000"), ready()].concat());
    }
    sleep(HELD);
    let left = waiting.left();
    router.signal("-CONT");
    let mut link = if dials { link } else { member.met() };
    waiting.checks(&mut link, left);
    waiting.served(link);
}

#[rstest]
fn what_came_while_it_stood_still_tells_what_is_left() {
    let member = Member::start();
    let router = router(&member);
    // One that was served before, so that the connection is there and the command is written at once.
    let mut before = Waiting::asks(&router, &look("i0", WAITS), WAITS);
    let mut link = member.met();
    let left = before.left();
    before.checks(&mut link, left);
    link.answer("r");
    assert_eq!(before.client.answer(), Answer::Row("r".into()));
    router.stop();
    before.since = Instant::now();
    before.client.send(&query_bytes(&look("i1", WAITS)));
    sleep(HELD);
    let left = before.left();
    router.signal("-CONT");
    before.checks(&mut link, left);
    before.served(link);
}
