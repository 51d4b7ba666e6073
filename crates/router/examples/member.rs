//! A simulated member for trying the router by hand. It reports the primary role and answers every command with `value`.
//!
//!     cargo run --release -p vetchkeel-router --example member 127.0.0.1:5433

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{SystemTime, UNIX_EPOCH};
use vetchkeel_pgwire::{
    empty_query, is_empty, message, one_row, opening, parameter_status, ready, text, welcome,
};

fn answer(statement: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    if is_empty(statement) {
        empty_query(&mut out);
        ready(&mut out);
        return out;
    }
    parameter_status(&mut out, "role", "primary");
    if statement == b"SHOW load" {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        one_row(&mut out, format!("x0={now:.3},x1=1").as_bytes());
    } else {
        println!("{}", String::from_utf8_lossy(statement));
        one_row(&mut out, b"value");
    }
    ready(&mut out);
    out
}

fn serve(mut stream: TcpStream) -> Option<()> {
    let (mut input, mut started) = (Vec::new(), false);
    let mut bytes = [0; 4096];
    loop {
        let mut out = Vec::new();
        while !started && let Some((_, size)) = opening(&input).ok()? {
            input.drain(..size);
            started = true;
            welcome(&mut out, 0, 1);
        }
        while started && let Some(found) = message(&input).ok()? {
            match found.kind {
                b'Q' => out.extend(answer(text(found.body)?.0)),
                _ => return None,
            }
            let size = found.size;
            input.drain(..size);
        }
        stream.write_all(&out).ok()?;
        match stream.read(&mut bytes).ok()? {
            0 => return None,
            read => input.extend_from_slice(&bytes[..read]),
        }
    }
}

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:5433".into());
    for stream in TcpListener::bind(&address)?.incoming() {
        let stream = stream?;
        std::thread::spawn(move || serve(stream));
    }
    Ok(())
}
