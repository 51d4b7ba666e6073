//! What the fleet's thread costs commands: a router built without the feature `fleet`, one built with it and off, and one
//! with it and on beside another, in turn, on one member that answers at once. Eight clients, each with one command at a time.
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
use vetchkeel_pgwire::{message, one_row, opening, parameter_status, ready, text, welcome};

type Outcome<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

const CLIENTS: usize = 8;
const ROUND: Duration = Duration::from_secs(2);

fn serve(mut stream: TcpStream) -> Option<()> {
    let (mut input, mut opened, mut bytes) = (Vec::new(), false, [0; 4096]);
    loop {
        let mut out = Vec::new();
        while !opened && let Some((_, size)) = opening(&input).ok()? {
            input.drain(..size);
            opened = true;
            welcome(&mut out, 0, 1);
        }
        while opened && let Some(found) = message(&input).ok()? {
            let size = found.size;
            parameter_status(&mut out, "role", "primary");
            if text(found.body)?.0 == b"SHOW load" {
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

/// An agent that tells one list and keeps its connections.
fn tell(listener: &TcpListener, list: &str) -> Outcome<()> {
    let mut open = Vec::new();
    for stream in listener.incoming() {
        let mut stream = stream?;
        let _asked = stream.read(&mut [0; 4096])?;
        let (head, size) = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", list.len() + 1);
        write!(stream, "{head}{size:x}\r\n{list}\n\r\n")?;
        open.push(stream);
    }
    Ok(())
}

/// A router that ends with this value.
struct Router(Child, SocketAddr);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn router(
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
    let serving = lines.find(|l| l.contains("serves on")).ok_or("it does not serve")?;
    router.1 = serving.rsplit(' ').next().unwrap_or_default().parse()?;
    thread::spawn(move || lines.for_each(drop));
    Ok(router)
}

fn until_ready(stream: &mut TcpStream, input: &mut Vec<u8>) -> Outcome<()> {
    let mut bytes = [0; 4096];
    while !input.ends_with(b"Z\0\0\0\x05I") {
        match stream.read(&mut bytes)? {
            0 => return Err("the router closed".into()),
            read => input.extend_from_slice(&bytes[..read]),
        }
    }
    Ok(())
}

/// Latencies in microseconds of one client's answered commands.
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
            return Err(format!("not answered: {}", String::from_utf8_lossy(&input)).into());
        }
        took.push(sent.elapsed().as_micros() as u64);
    }
    Ok(took)
}

/// Commands a second, and the 99th percentile in microseconds.
fn round(at: SocketAddr) -> Outcome<(f64, f64)> {
    let clients: Vec<_> = (0..CLIENTS).map(|i| thread::spawn(move || client(at, i))).collect();
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.join().map_err(|_| "a client panicked")??);
    }
    all.sort_unstable();
    Ok((all.len() as f64 / ROUND.as_secs_f64(), all[all.len() * 99 / 100] as f64))
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
    format!("{:.3} ({:.3} to {:.3})", at(0.5), at(0.0), at(1.0))
}

fn main() -> Outcome<()> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let [plain, built, rest @ ..] = &given[..] else { return Err("expected PLAIN FLEET [ROUNDS]".into()) };
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
    thread::spawn(move || tell(&listener, &list));
    let free = || UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr());
    let (own, other) = (free()?, free()?);
    let _other = router(built, "other", agent, Some((other, own)))?;
    let kinds = [
        ("not built", router(plain, "plain", agent, None)?),
        ("built, off", router(built, "off", agent, None)?),
        ("built, on", router(built, "on", agent, Some((own, other)))?),
    ];
    thread::sleep(Duration::from_secs(1));
    let mut found = vec![Vec::new(); kinds.len()];
    // In turn, and each round begins with another one; the first is for warmth alone.
    for r in 0..=rounds {
        for i in (0..kinds.len()).map(|i| (i + r) % kinds.len()) {
            found[i].push(round(kinds[i].1.1)?);
        }
    }
    for ((name, _), rounds) in kinds.iter().zip(&found) {
        let part = |of: fn(&(f64, f64)) -> f64| rounds[1..].iter().map(of).collect::<Vec<_>>();
        let pairs = rounds[1..].iter().zip(&found[0][1..]).map(|(a, b)| a.0 / b.0).collect();
        let (rate, p99) = (spread(part(|r| r.0)), spread(part(|r| r.1)));
        println!("{name}: commands/s {rate}, p99 us {p99}, of not built {}", spread(pairs));
    }
    Ok(())
}
