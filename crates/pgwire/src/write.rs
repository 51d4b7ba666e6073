//! Serializes messages.

/// Appends a message of `kind` whose body `fill` writes.
fn write_message(out: &mut Vec<u8>, kind: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    write_length_prefixed(out, fill);
}

/// Appends a length that includes itself, followed by what `fill` writes.
fn write_length_prefixed(out: &mut Vec<u8>, fill: impl FnOnce(&mut Vec<u8>)) {
    let at = out.len();
    out.extend([0; 4]);
    fill(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn write_c_string(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// The startup packet of a client.
pub fn startup(out: &mut Vec<u8>, user: &str, database: &str) {
    write_length_prefixed(out, |out| {
        out.extend((3u32 << 16).to_be_bytes());
        for text in ["user", user, "database", database, ""] {
            write_c_string(out, text);
        }
    });
}

/// The response to a startup: no password, the parameters that clients expect, ready for a query. A newer minor
/// version is negotiated down to 3.0. `key` is what a cancel request must carry: a process id and a secret.
pub fn welcome(out: &mut Vec<u8>, minor: u32, key: u64) {
    if minor > 0 {
        write_message(out, b'v', |out| out.extend([0; 8]));
    }
    write_message(out, b'R', |out| out.extend([0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        KNOWN_PARAMETER,
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        parameter_status(out, name, value);
    }
    write_message(out, b'K', |out| out.extend(key.to_be_bytes()));
    ready(out);
}

/// A parameter of the welcome that never changes.
const KNOWN_PARAMETER: (&str, &str) = ("client_encoding", "UTF8");

/// A ParameterStatus that tells a client nothing new.
pub fn known_parameter(out: &mut Vec<u8>) {
    parameter_status(out, KNOWN_PARAMETER.0, KNOWN_PARAMETER.1);
}

/// A ParameterStatus.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    write_message(out, b'S', |out| [name, value].iter().for_each(|t| write_c_string(out, t)));
}

/// A result of one row with one binary column named `v`, up to and including CommandComplete.
pub fn one_row(out: &mut Vec<u8>, value: &[u8]) {
    write_message(out, b'T', |out| {
        out.extend([0, 1]);
        write_c_string(out, "v");
        // No table, type bytea of any length, binary.
        out.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    });
    write_message(out, b'D', |out| {
        out.extend([0, 1]);
        out.extend((value.len() as u32).to_be_bytes());
        out.extend(value);
    });
    write_message(out, b'C', |out| write_c_string(out, "SELECT 1"));
}

/// A simple query.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    out.extend(query_head(statement.len()));
    out.extend(statement.bytes());
    out.push(0);
}

pub fn ready(out: &mut Vec<u8>) {
    write_message(out, b'Z', |out| out.push(b'I'));
}

pub fn empty_query(out: &mut Vec<u8>) {
    write_message(out, b'I', |_| {});
}

/// An ErrorResponse; `detail` becomes its field D.
pub fn error(out: &mut Vec<u8>, fatal: bool, sqlstate: &str, text: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    write_message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', sqlstate), (b'M', text)];
        for (field, value) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
            out.push(field);
            write_c_string(out, value);
        }
        out.push(0);
    });
}

/// The header of a simple query whose statement has this length without its terminating zero byte.
pub fn query_head(statement: usize) -> [u8; 5] {
    let mut head = [b'Q', 0, 0, 0, 0];
    head[1..].copy_from_slice(&(statement as u32 + 5).to_be_bytes());
    head
}
