//! A member whose every step is the test's.

use super::*;
use socket2::SockRef;
use std::thread::sleep;

pub struct Member {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// A connection of the router to a member.
pub struct Link {
    pub stream: TcpStream,
}

pub fn greeting() -> Vec<u8> {
    [&b"R\0\0\0\x08\0\0\0\0"[..], &ready()].concat()
}

impl Member {
    pub fn start() -> Member {
        Member::listening(Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket"))
    }

    /// One that takes little at a time.
    pub fn narrow() -> Member {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(1).expect("a size");
        // SAFETY: the system reads as many bytes as this number has.
        let set = unsafe {
            let size = std::ptr::from_ref(&536i32).cast();
            libc::setsockopt(socket.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, size, 4)
        };
        assert_eq!(set, 0, "a size of segments");
        Member::listening(socket)
    }

    pub fn listening(socket: Socket) -> Member {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).and_then(|()| socket.listen(64)).expect("a port");
        // Accepting waits for that long as well.
        socket.set_read_timeout(Some(WAIT)).expect("a time-out");
        let listener = TcpListener::from(socket);
        Member { address: listener.local_addr().expect("bound"), listener }
    }

    /// The router's next connection: it has opened it and is not greeted yet.
    pub fn dialled(&self) -> Link {
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT)).expect("a time-out");
        read_packet(&mut stream, true).expect("a startup packet");
        Link { stream }
    }

    pub fn met(&self) -> Link {
        let mut link = self.dialled();
        link.greet();
        link
    }
}

impl Link {
    pub fn say(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the router reads");
        delivered(&self.stream);
    }

    pub fn greet(&mut self) {
        self.say(&greeting());
    }

    /// The next statement, read whole; None at the connection's end.
    pub fn asked(&mut self) -> Option<String> {
        let (_, body) = read_packet(&mut self.stream, false)?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    pub fn answer(&mut self, value: &str) {
        self.say(&[parameter("role", "primary"), row(value), ready()].concat());
    }

    /// Serves the next statement, which has to hold this.
    pub fn serve(&mut self, text: &str, value: &str) {
        let statement = self.asked().expect("a statement");
        assert!(statement.contains(text), "{statement}");
        self.answer(value);
    }

    /// Waits for the router to end it; how many bytes came before that.
    pub fn ended(&mut self) -> usize {
        let mut all = Vec::new();
        match self.stream.read_to_end(&mut all) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("not ended: {e}"),
            _ => all.len(),
        }
    }

    /// Ends it, with a reset or as one that has no more to say, and waits until that has come to the router.
    pub fn end(self, reset: bool) {
        if !reset {
            self.stream.shutdown(Shutdown::Write).expect("open");
            return delivered(&self.stream);
        }
        // A reset is not acknowledged, but the router's end then leaves the table; which is not read in one piece,
        // and may leave one out.
        let ends = [self.stream.peer_addr(), self.stream.local_addr()];
        let ends = ends.map(|end| format!(":{:04X}", end.expect("connected").port()));
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("an option");
        drop(self);
        let open = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields[1].ends_with(&ends[0]) && fields[2].ends_with(&ends[1]) && fields[3] == "01"
        };
        let (began, mut gone) = (Instant::now(), 0);
        while gone < 3 && began.elapsed() < WAIT {
            sleep(Duration::from_millis(100));
            let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
            gone = if table.lines().any(open) { 0 } else { gone + 1 };
        }
    }

    /// All that the router has written and its system has not sent yet comes too.
    pub fn take_all(&mut self) -> Vec<u8> {
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
            assert!(began.elapsed() < WAIT, "the system still holds some");
            let before = came.len();
            _ = self.stream.read_to_end(&mut came);
            if all && came.len() == before {
                self.stream.set_nonblocking(false).expect("an option");
                return came;
            }
        }
    }

    pub fn heard_nothing(&self) -> bool {
        self.stream.set_nonblocking(true).expect("an option");
        self.stream.peek(&mut [0]).map_or(true, |bytes| bytes == 0)
    }
}

/// Without probes; a dial and a drain's grace last longer than any test.
pub fn without_probes(members: &[(&str, &Member)]) -> Router {
    without_probes_but(members, &[])
}

/// With these pieces of the settings' text in place of others as well.
pub fn without_probes_but(members: &[(&str, &Member)], pieces: &[(&str, &str)]) -> Router {
    let (discovery, text) = unprobed(members, pieces);
    Router::beside(discovery, &text, None)
}

/// The same with system calls that fail.
pub fn without_probes_failing(
    members: &[(&str, &Member)],
    pieces: &[(&str, &str)],
    faults: &faults::Faults,
) -> Router {
    let (discovery, text) = unprobed(members, pieces);
    Router::failing(discovery, &text, faults)
}

fn unprobed(members: &[(&str, &Member)], pieces: &[(&str, &str)]) -> (Discovery, String) {
    let entries: Vec<String> =
        members.iter().map(|(id, m)| entry_at(id, m.address, "ready", "primary")).collect();
    let known = list(41, true, &entries);
    let discovery = Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&known);
    });
    let alone = [
        (r#""may_probe":true"#, r#""may_probe":false"#),
        (r#""dial_timeout_ms":1000.0"#, r#""dial_timeout_ms":50000.0"#),
        (r#""drain_grace_ms":500.0"#, r#""drain_grace_ms":50000.0"#),
    ];
    let text = with_pieces(configuration(discovery.address, 1024, 192, "null"), &[&alone, pieces].concat());
    (discovery, text)
}
