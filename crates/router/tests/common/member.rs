//! A member whose every step the test performs itself.

use super::*;
use socket2::SockRef;
use std::thread::sleep;

/// A listening member; it accepts and answers only when the test calls for it.
pub struct Member {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// A connection from the router to a member.
pub struct Link {
    pub stream: TcpStream,
}

/// The messages that complete a startup: AuthenticationOk and ReadyForQuery.
pub fn greeting() -> Vec<u8> {
    [&b"R\0\0\0\x08\0\0\0\0"[..], &ready()].concat()
}

impl Member {
    pub fn start() -> Member {
        Member::listening(Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket"))
    }

    /// A member with the smallest receive buffer and small segments, so that the router's writes to it are partial.
    pub fn narrow() -> Member {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(1).expect("a size");
        // SAFETY: the system reads as many bytes as this number has.
        let set = unsafe {
            let size = std::ptr::from_ref(&536i32).cast();
            libc::setsockopt(socket.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, size, 4)
        };
        assert_eq!(set, 0, "setting the segment size failed");
        Member::listening(socket)
    }

    pub fn listening(socket: Socket) -> Member {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).and_then(|()| socket.listen(64)).expect("a port");
        // This also limits how long accept() waits.
        socket.set_read_timeout(Some(WAIT)).expect("a time-out");
        let listener = TcpListener::from(socket);
        Member { address: listener.local_addr().expect("bound"), listener }
    }

    /// Accepts the router's next connection and reads its startup packet, without a reply.
    pub fn accept_without_reply(&self) -> Link {
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT)).expect("a time-out");
        read_packet(&mut stream, true).expect("a startup packet");
        Link { stream }
    }

    /// Accepts the router's next connection and completes its startup.
    pub fn accept(&self) -> Link {
        let mut link = self.accept_without_reply();
        link.greet();
        link
    }
}

impl Link {
    /// Sends these bytes and waits until the router's host has received them.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the connection is open");
        wait_until_acknowledged(&self.stream);
    }

    pub fn greet(&mut self) {
        self.send(&greeting());
    }

    /// Reads the next statement in full, empty queries apart, which are answered; `None` at the end of the connection.
    pub fn read_statement(&mut self) -> Option<String> {
        loop {
            let (_, body) = read_packet(&mut self.stream, false)?;
            if body != [0] {
                return Some(String::from_utf8_lossy(&body).into_owned());
            }
            self.send(&empty_query_answer());
        }
    }

    /// Answers a statement, and the empty query that follows it unless the router closes the connection.
    pub fn answer(&mut self, value: &str) {
        self.answer_last(value);
        self.answer_empty_query();
    }

    /// Answers a statement; what follows is left to the test.
    pub fn answer_last(&mut self, value: &str) {
        self.send(&[parameter("role", "primary"), row(value), ready()].concat());
    }

    /// Reads and answers the empty query that follows an answer, unless the router closes the connection.
    pub fn answer_empty_query(&mut self) {
        if let Some((kind, body)) = read_packet(&mut self.stream, false) {
            assert_eq!((kind, &body[..]), (b'Q', &[0][..]), "expected an empty query");
            self.send(&empty_query_answer());
        }
    }

    /// Answers the next statement, which must contain `text`.
    pub fn serve(&mut self, text: &str, value: &str) {
        let statement = self.read_statement().expect("a statement");
        assert!(statement.contains(text), "expected a statement with '{text}', got: {statement}");
        self.answer(value);
    }

    /// Waits for the router to close the connection; returns how many bytes arrived before that.
    pub fn wait_for_close(&mut self) -> usize {
        let mut all = Vec::new();
        match self.stream.read_to_end(&mut all) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => {
                panic!("the router did not close the connection: {e}")
            }
            _ => all.len(),
        }
    }

    /// Closes the connection, with a reset or by shutting down the writing side, and waits until the router's host has
    /// received that.
    pub fn close(self, reset: bool) {
        if !reset {
            self.stream.shutdown(Shutdown::Write).expect("open");
            return wait_until_acknowledged(&self.stream);
        }
        // A reset is not acknowledged, but it removes the router's socket from the table of connections. The table is not
        // read atomically and may miss an entry, so the socket must be absent from three reads in a row.
        let ends = [self.stream.peer_addr(), self.stream.local_addr()];
        let ends = ends.map(|end| format!(":{:04X}", end.expect("connected").port()));
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("an option");
        drop(self);
        let open = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields[1].ends_with(&ends[0]) && fields[2].ends_with(&ends[1]) && fields[3] == "01"
        };
        let (began, mut absences) = (Instant::now(), 0);
        while absences < 3 && began.elapsed() < WAIT {
            sleep(Duration::from_millis(100));
            let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
            absences = if table.lines().any(open) { 0 } else { absences + 1 };
        }
    }

    /// Reads everything that the router has written so far, including what its kernel has not sent yet.
    pub fn read_all_sent(&mut self) -> Vec<u8> {
        let ends = [self.stream.peer_addr(), self.stream.local_addr()];
        let ends = ends.map(|end| format!(":{:04X}", end.expect("connected").port()));
        let sent = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let ours = fields[1].ends_with(&ends[0]) && fields[2].ends_with(&ends[1]);
            ours && fields[4].starts_with("00000000:")
        };
        let (began, mut came) = (Instant::now(), Vec::new());
        self.stream.set_nonblocking(true).expect("an option");
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
            let all = table.lines().any(sent);
            assert!(began.elapsed() < WAIT, "the send queue of the router's socket is not empty");
            let before = came.len();
            _ = self.stream.read_to_end(&mut came);
            if all && came.len() == before {
                self.stream.set_nonblocking(false).expect("an option");
                return came;
            }
        }
    }

    /// Whether no bytes have arrived on the connection.
    pub fn received_nothing(&self) -> bool {
        self.stream.set_nonblocking(true).expect("an option");
        self.stream.peek(&mut [0]).map_or(true, |bytes| bytes == 0)
    }
}

/// Starts a router that sends no probes, with a dial timeout and a drain grace longer than any test.
pub fn without_probes(members: &[(&str, &Member)]) -> Router {
    without_probes_replacing(members, &[])
}

/// The same, with further replacements in the text of the settings.
pub fn without_probes_replacing(members: &[(&str, &Member)], pieces: &[(&str, &str)]) -> Router {
    let (discovery, text) = probeless_configuration(members, pieces);
    Router::with_discovery(discovery, &text, None)
}

/// The same, with fault injection.
pub fn without_probes_with_faults(
    members: &[(&str, &Member)],
    pieces: &[(&str, &str)],
    faults: &faults::Faults,
) -> Router {
    let (discovery, text) = probeless_configuration(members, pieces);
    Router::with_faults(discovery, &text, faults)
}

fn probeless_configuration(members: &[(&str, &Member)], pieces: &[(&str, &str)]) -> (Discovery, String) {
    let entries: Vec<String> =
        members.iter().map(|(id, m)| entry_at(id, m.address, "ready", "primary")).collect();
    let known = list(41, true, &entries);
    let discovery = Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&known);
    });
    let overrides = [
        (r#""may_probe":true"#, r#""may_probe":false"#),
        (r#""dial_timeout_ms":1000.0"#, r#""dial_timeout_ms":50000.0"#),
        (r#""drain_grace_ms":500.0"#, r#""drain_grace_ms":50000.0"#),
    ];
    let text = with_replacements(
        configuration(discovery.address, 1024, 192, "null"),
        &[&overrides, pieces].concat(),
    );
    (discovery, text)
}
