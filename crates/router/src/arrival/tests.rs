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

#[rstest]
fn accepted_connection_reports_the_time_since_it_was_established() {
    const IN_QUEUE: Duration = Duration::from_millis(150);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let before = Instant::now();
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let connected = Instant::now();
    std::thread::sleep(IN_QUEUE);
    client.write_all(b"x").expect("open");
    let (stream, _) = listener.accept().expect("a client");
    let least = (connected.elapsed().as_micros() / 100) as Tenths;
    let found = time_since_connected(&stream).expect("the kernel reports it");
    // The kernel counts in ticks of up to 10 ms, and one of them is added.
    let most = (before.elapsed().as_micros() / 100) as Tenths + 2 * MIN_AGE;
    assert!((least..=most).contains(&found), "{found} of {least} to {most}");
}
