//! Measures what connected clients cost a router process, with a given limit of descriptors and one member that answers at once.
//! Clients connect, send one query each and stay connected; the number still connected and the memory of the process are printed
//! at five sizes.
//!
//!     cargo run --release -p vetchkeel-router --example clients PROGRAM [CLIENTS] [SOCKETS] [MEMORY_MB]
//!
//! PROGRAM is the router, built in release; the defaults are 7143 clients, 16384 sockets and 192 MB.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel_pgwire::{
    empty_query, is_empty, message, one_row, opening, parameter_status, ready, text, welcome,
};

type Outcome<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

const SIZES: usize = 5;

/// Serves one connection of the simulated member.
fn serve(mut stream: TcpStream) -> Option<()> {
    let (mut input, mut started, mut bytes) = (Vec::new(), false, [0; 4096]);
    loop {
        let mut out = Vec::new();
        while !started && let Some((_, size)) = opening(&input).ok()? {
            input.drain(..size);
            started = true;
            welcome(&mut out, 0, 1);
        }
        while started && let Some(found) = message(&input).ok()? {
            let size = found.size;
            let statement = text(found.body)?.0;
            parameter_status(&mut out, "role", "primary");
            if is_empty(statement) {
                empty_query(&mut out);
            } else if statement == b"SHOW load" {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
                one_row(&mut out, format!("x0={now:.3},x1=1").as_bytes());
            } else {
                one_row(&mut out, b"value");
            }
            ready(&mut out);
            input.drain(..size);
        }
        stream.write_all(&out).ok()?;
        match stream.read(&mut bytes).ok()? {
            0 => return None,
            read => input.extend_from_slice(&bytes[..read]),
        }
    }
}

/// A discovery agent that sends one member list on each connection and keeps the connections open.
fn serve_discovery(listener: &TcpListener, list: &str) -> Outcome<()> {
    let mut open = Vec::new();
    for stream in listener.incoming() {
        let mut stream = stream?;
        let _request = stream.read(&mut [0; 4096])?;
        let (head, size) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", list.len() + 1);
        write!(stream, "{head}{size:x}\r\n{list}\n\r\n")?;
        open.push(stream);
    }
    Ok(())
}

/// A router process and its address; the process is killed on drop.
struct Router(Child, SocketAddr);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_router(program: &str, agent: SocketAddr, sockets: usize, memory: usize) -> Outcome<Router> {
    let path = std::env::temp_dir().join(format!("clients-{}.json", std::process::id()));
    let class =
        r#"{"name":"look","semantics":"pure","hard_limit_ms":60000.0,"aim_ms":60000.0,"importance":1.0}"#;
    let settings = format!(
        r#"{{"me":0,"balancers":1,"tick_ms":5.0,"membership_mode":"automatic",
        "family_info":{{"class_read":["any"],"server_checks":"wait","token_mode":"remembered"}},
        "report":{{"via":"probe","fields":["x0","x1"]}},"permissions":{{"cancel":true,"may_probe":true,
        "retry_after":true,"max_attempts":6,"conn_idle_ms":60000.0,"dial_timeout_ms":1000.0}},
        "projects":[{{"name":"acme","share":1.0}}],"rules":{{"drain_grace_ms":500.0}},"request_classes":[{class}]}}"#
    );
    let text = format!(
        r#"{{"name":"clients","listen":"127.0.0.1:0","discovery":"{agent}","seed":"1","known":null,
        "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},"settings":{settings}}}"#
    );
    std::fs::write(&path, text)?;
    let mut child = Command::new(program).env("NODE_CONFIG", &path).stderr(Stdio::piped()).spawn()?;
    let lines = BufReader::new(child.stderr.take().ok_or("piped")?).lines();
    let mut router = Router(child, agent);
    let mut lines = lines.map_while(Result::ok);
    let serving = lines.find(|l| l.contains("serves on")).ok_or("the router does not serve")?;
    router.1 = serving.rsplit(' ').next().unwrap_or_default().parse()?;
    thread::spawn(move || lines.for_each(drop));
    Ok(router)
}

fn until_ready(stream: &mut TcpStream, input: &mut Vec<u8>) -> Outcome<()> {
    let mut bytes = [0; 4096];
    input.clear();
    while !input.ends_with(b"Z\0\0\0\x05I") {
        match stream.read(&mut bytes)? {
            0 => return Err("the router closed the connection".into()),
            read => input.extend_from_slice(&bytes[..read]),
        }
    }
    Ok(())
}

/// Connects a client and has it answered once; it stays connected.
fn client(at: SocketAddr, number: usize) -> Outcome<TcpStream> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let body = [&(3u32 << 16).to_be_bytes()[..], b"user\0svc\0database\0main\0\0"].concat();
    stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
    let mut input = Vec::new();
    until_ready(&mut stream, &mut input)?;
    let text =
        format!("SELECT v FROM records WHERE k = 'k1' /* id=c{number},c=look,t=acme,d=5000,cluster=2 */\0");
    stream.write_all(&[b"Q", &(text.len() as u32 + 4).to_be_bytes()[..], text.as_bytes()].concat())?;
    until_ready(&mut stream, &mut input)?;
    if !input.windows(5).any(|w| w == b"value") {
        return Err(format!("unexpected answer: {}", String::from_utf8_lossy(&input)).into());
    }
    Ok(stream)
}

/// The resident memory of a process, its peak, and the processor time used; in KiB and milliseconds.
fn used(pid: u32) -> Outcome<(u64, u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name)).and_then(|l| l.split_whitespace().nth(1));
        line.and_then(|n| n.parse().ok()).ok_or(format!("no {name}"))
    };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
    Ok((field("VmRSS:")?, field("VmHWM:")?, ticks * 10))
}

fn main() -> Outcome<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, rest @ ..] = &args[..] else { return Err("expected PROGRAM [CLIENTS] [SOCKETS]".into()) };
    let number = |at: usize, or: usize| rest.get(at).map_or(Ok(or), |n| n.parse());
    let (clients, sockets, memory) = (number(0, 7_143)?, number(1, 16_384)?, number(2, 192)?);
    let member = TcpListener::bind("127.0.0.1:0")?;
    let list = format!(
        r#"{{"version":1,"full":true,"servers":[{{"id":"s","addr":"{}","zone":"a","kind":"std","cell":2,"state":"ready","weight":1.0,"started_ms":0,"role":"primary"}}]}}"#,
        member.local_addr()?
    );
    thread::spawn(move || {
        for stream in member.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let agent = listener.local_addr()?;
    thread::spawn(move || serve_discovery(&listener, &list));
    let router = start_router(program, agent, sockets, memory)?;
    thread::sleep(Duration::from_secs(1));
    let (first, ..) = used(router.0.id())?;
    let mut open: Vec<TcpStream> = Vec::new();
    println!(
        "| clients connected | still connected | resident KiB | peak KiB | KiB per client | s to connect | idle, % of a core |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in 0..=SIZES {
        let began = Instant::now();
        while open.len() < clients * size / SIZES {
            open.push(client(router.1, open.len())?);
        }
        let took = began.elapsed().as_secs_f64();
        thread::sleep(Duration::from_millis(500));
        let connected = open.iter().filter(|s| {
            s.set_nonblocking(true).is_ok()
                && s.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        });
        let connected = connected.count();
        let (.., before) = used(router.0.id())?;
        thread::sleep(Duration::from_secs(2));
        let (resident, peak, after) = used(router.0.id())?;
        let per_client = if connected == 0 { 0.0 } else { (resident - first) as f64 / connected as f64 };
        let idle = (after - before) as f64 / 20.0;
        println!(
            "| {} | {connected} | {resident} | {peak} | {per_client:.2} | {took:.1} | {idle:.1} |",
            open.len()
        );
    }
    Ok(())
}
