//! Measures what the fleet thread costs commands. Three routers are measured in turn, on one member that answers at once: one
//! built without the feature `fleet`, one built with it but not using it, and one that is in a fleet with another router. Eight
//! clients send one command at a time each.
//!
//!     cargo run --release -p vetchkeel-router --example paired PLAIN FLEET [ROUNDS]
//!
//! PLAIN and FLEET are the programs, built in release without and with the feature.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel_pgwire::{
    empty_query, is_empty, message, one_row, opening, parameter_status, ready, text, welcome,
};

type Outcome<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

const CLIENTS: usize = 8;
const ROUND: Duration = Duration::from_secs(2);

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

fn start_router(
    program: &str,
    name: &str,
    agent: SocketAddr,
    fleet: Option<(SocketAddr, SocketAddr)>,
) -> Outcome<Router> {
    let folder: PathBuf = std::env::temp_dir();
    let path = |kind: &str| folder.join(format!("paired-{}-{name}.{kind}", std::process::id()));
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
        r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{agent}","seed":"1","known":null,
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    );
    std::fs::write(path("json"), text)?;
    let mut command = Command::new(program);
    command.env("NODE_CONFIG", path("json")).stderr(Stdio::piped());
    if let Some((own, seed)) = fleet {
        let text =
            format!("fleet {{\n address = \"{own}\"\n seed \"other\" {{ address = \"{seed}\" }}\n}}\n");
        std::fs::write(path("hcl"), text)?;
        command.env("VETCHKEEL_FLEET", path("hcl"));
    }
    let mut child = command.spawn()?;
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
    while !input.ends_with(b"Z\0\0\0\x05I") {
        match stream.read(&mut bytes)? {
            0 => return Err("the router closed the connection".into()),
            read => input.extend_from_slice(&bytes[..read]),
        }
    }
    Ok(())
}

/// Runs one client for a round; returns the latencies of its commands in microseconds.
fn client(at: SocketAddr, number: usize) -> Outcome<Vec<u64>> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    let body = [&(3u32 << 16).to_be_bytes()[..], b"user\0svc\0database\0main\0\0"].concat();
    stream.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat())?;
    let mut input = Vec::new();
    until_ready(&mut stream, &mut input)?;
    let (began, mut took) = (Instant::now(), Vec::new());
    while began.elapsed() < ROUND {
        let id = format!("c{number}x{}", took.len());
        let text =
            format!("SELECT v FROM records WHERE k = 'k1' /* id={id},c=look,t=acme,d=5000,cluster=2 */\0");
        let sent = Instant::now();
        stream.write_all(&[b"Q", &(text.len() as u32 + 4).to_be_bytes()[..], text.as_bytes()].concat())?;
        input.clear();
        until_ready(&mut stream, &mut input)?;
        if !input.windows(5).any(|w| w == b"value") {
            return Err(format!("unexpected answer: {}", String::from_utf8_lossy(&input)).into());
        }
        took.push(sent.elapsed().as_micros() as u64);
    }
    Ok(took)
}

/// Runs one round; returns the commands per second and the 99th percentile of the latency in microseconds.
fn round(at: SocketAddr) -> Outcome<(f64, f64)> {
    let clients: Vec<_> = (0..CLIENTS).map(|i| thread::spawn(move || client(at, i))).collect();
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.join().map_err(|_| "a client panicked")??);
    }
    all.sort_unstable();
    Ok((all.len() as f64 / ROUND.as_secs_f64(), all[all.len() * 99 / 100] as f64))
}

/// Formats the median, minimum and maximum.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
    format!("{:.3} ({:.3} to {:.3})", at(0.5), at(0.0), at(1.0))
}

fn main() -> Outcome<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [plain, built, rest @ ..] = &args[..] else { return Err("expected PLAIN FLEET [ROUNDS]".into()) };
    let rounds: usize = rest.first().map_or(Ok(10), |r| r.parse())?;
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
    let free = || UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr());
    let (own, other) = (free()?, free()?);
    let _other = start_router(built, "other", agent, Some((other, own)))?;
    let kinds = [
        ("not built", start_router(plain, "plain", agent, None)?),
        ("built, off", start_router(built, "off", agent, None)?),
        ("built, on", start_router(built, "on", agent, Some((own, other)))?),
    ];
    thread::sleep(Duration::from_secs(1));
    let mut results = vec![Vec::new(); kinds.len()];
    // The routers take turns, and each round starts with a different one. The first round is a warm-up and is not counted.
    for r in 0..=rounds {
        for i in (0..kinds.len()).map(|i| (i + r) % kinds.len()) {
            results[i].push(round(kinds[i].1.1)?);
        }
    }
    for ((name, _), rounds) in kinds.iter().zip(&results) {
        let values = |of: fn(&(f64, f64)) -> f64| rounds[1..].iter().map(of).collect::<Vec<_>>();
        let ratios = rounds[1..].iter().zip(&results[0][1..]).map(|(a, b)| a.0 / b.0).collect();
        let (rate, p99) = (spread(values(|r| r.0)), spread(values(|r| r.1)));
        println!("{name}: commands/s {rate}, p99 us {p99}, rate relative to not built {}", spread(ratios));
    }
    Ok(())
}
