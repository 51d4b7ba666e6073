use super::*;
use rstest::rstest;
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[rstest]
fn unread_bytes_report_their_age() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    client.write_all(b"x").expect("open");
    let sent = Instant::now();
    let (stream, _) = listener.accept().expect("a client");
    let mut found = 0;
    while found == 0 && sent.elapsed() < Duration::from_secs(10) {
        found = time_since_last_receive(&stream);
    }
    // The kernel may count one tick more than the elapsed time.
    let most = (sent.elapsed().as_micros() / 100) as Tenths + MIN_AGE;
    assert!((MIN_AGE..=most).contains(&found), "{found} of {most}");
}
