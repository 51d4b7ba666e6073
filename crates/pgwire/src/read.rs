//! Parses messages in place. `Ok(None)` means that more bytes are needed.

/// Maximum message length: a value of 64 KiB as a hex literal, plus the statement around it.
pub const MAX_MESSAGE: usize = 2 * 64 * 1024 + 8 * 1024;
/// Maximum length of an opening packet, the same as in PostgreSQL.
const MAX_OPENING: usize = 10_000;
/// Maximum length of a message from a node: a row of one 64 KiB value, or a long error.
const MAX_NODE_MESSAGE: usize = 64 * 1024 + 1024;

const VERSION_3: u32 = 3 << 16;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// Why the input cannot be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    Length(u32),
    Version(u32),
    Kind(u8),
    /// A row that does not consist of exactly one column.
    Row,
}

/// The packet with which a client opens its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Startup, with the requested minor version.
    Startup(u32),
    /// A request for TLS or GSS encryption.
    Encryption,
    /// Cancel request, with the key data of the connection whose current query is to be cancelled.
    Cancel(u64),
}

/// A message after the opening: its kind, its body and its total size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub kind: u8,
    pub body: &'a [u8],
    pub size: usize,
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The opening packet and its size.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Unreadable> {
    let Some(length) = read_u32(bytes, 0) else { return Ok(None) };
    let size = length as usize;
    if !(8..=MAX_OPENING).contains(&size) {
        return Err(Unreadable::Length(length));
    }
    if bytes.len() < size {
        return Ok(None);
    }
    let opening = match read_u32(bytes, 4).unwrap_or_default() {
        SSL | GSS => Opening::Encryption,
        CANCEL => {
            let [process, secret] = [8, 12].map(|at| read_u32(&bytes[..size], at).unwrap_or_default());
            Opening::Cancel(u64::from(process) << 32 | u64::from(secret))
        }
        version if version >> 16 == VERSION_3 >> 16 => Opening::Startup(version & 0xffff),
        version => return Err(Unreadable::Version(version)),
    };
    Ok(Some((opening, size)))
}

/// The size of the message that begins here, if its length has arrived and is valid.
pub fn message_size(bytes: &[u8]) -> Option<usize> {
    let size = read_u32(bytes, 1)? as usize + 1;
    (5..=MAX_MESSAGE).contains(&size).then_some(size)
}

/// The next message of a client or a node.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, Unreadable> {
    let Some(length) = read_u32(bytes, 1) else { return Ok(None) };
    let size = message_size(bytes).ok_or(Unreadable::Length(length))?;
    Ok(bytes.get(5..size).map(|body| Message { kind: bytes[0], body, size }))
}

/// The next message of a node. An invalid message is rejected by its header, before the rest has arrived.
pub fn node_message(bytes: &[u8]) -> Result<Option<Message<'_>>, Unreadable> {
    if let Some(kind) = bytes.first().filter(|kind| !b"RKvSNATDCIEZ".contains(kind)) {
        return Err(Unreadable::Kind(*kind));
    }
    if let Some(length) = read_u32(bytes, 1) {
        let fits = match bytes[0] {
            b'Z' => length == 5,
            b'I' => length == 4,
            _ => length as usize <= MAX_NODE_MESSAGE,
        };
        if !fits {
            return Err(Unreadable::Length(length));
        }
        let column = read_u32(bytes, 7).filter(|_| bytes[0] == b'D');
        if column.is_some_and(|column| bytes[5..7] != [0, 1] || u64::from(column) + 10 != u64::from(length)) {
            return Err(Unreadable::Row);
        }
    }
    message(bytes)
}

/// True for the description of a row of exactly one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    body.strip_prefix(&[0, 1]).and_then(text).is_some_and(|(_, rest)| rest.len() == 18)
}

/// The text up to the first zero byte, and the bytes after it.
pub fn text(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

/// The name and value of a ParameterStatus.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let (name, rest) = text(body)?;
    let (value, _) = text(rest).filter(|(_, more)| more.is_empty())?;
    Some((std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?))
}

/// The SQLSTATE of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> Option<&[u8]> {
    error_field(body, b'C')
}

/// A field of an ErrorResponse.
pub fn error_field(mut body: &[u8], wanted: u8) -> Option<&[u8]> {
    while let Some((&field, rest)) = body.split_first().filter(|(f, _)| **f != 0) {
        let (value, after) = text(rest)?;
        if field == wanted {
            return Some(value);
        }
        body = after;
    }
    None
}

/// The value of a DataRow of exactly one column; `None` if it is anything else or null.
pub fn one_column(body: &[u8]) -> Option<&[u8]> {
    let (count, rest) = body.split_at_checked(2)?;
    let (length, value) = rest.split_at_checked(4)?;
    let declared = u32::from_be_bytes(length.try_into().ok()?) as usize;
    (count == [0, 1] && declared == value.len()).then_some(value)
}
