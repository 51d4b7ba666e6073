//! Parses the metadata of a statement: the names and values in its comment, and its first quoted literal.

use std::ops::Range;

/// The metadata of a statement, borrowed from its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementMetadata<'a> {
    pub id: &'a str,
    pub group: &'a str,
    pub customer: Option<&'a str>,
    pub set: Option<&'a str>,
    pub after: Option<&'a str>,
    pub repeat: bool,
    /// The first quoted literal, without its quotes.
    pub key: Option<&'a str>,
    /// The client timeout, and its position in the statement.
    pub wait: &'a str,
    pub wait_at: Range<usize>,
}

/// The kind and the length of a message.
const HEAD_SIZE: usize = 5;

/// Calls `on_literal` with each quoted literal; returns the last comment of a statement, and whether there is anything
/// outside comments. Ranges are without delimiters; a literal that does not end extends to the end of the text.
fn scan(text: &[u8], mut on_literal: impl FnMut(Range<usize>)) -> (Option<Range<usize>>, bool) {
    let (mut comment, mut more) = (None, false);
    let mut at = 0;
    while at < text.len() {
        let rest = &text[at + 1..];
        match text[at] {
            b'\'' => {
                let length = rest.iter().position(|b| *b == b'\'').unwrap_or(rest.len());
                on_literal(at + 1..at + 1 + length);
                (at, more) = (at + length + 2, true);
            }
            b'/' if rest.first() == Some(&b'*') => {
                let body = &rest[1..];
                let Some(length) = body.windows(2).position(|w| w == b"*/") else {
                    return (None, true);
                };
                comment = Some(at + 2..at + 2 + length);
                at += length + 4;
            }
            byte => {
                more |= !byte.is_ascii_whitespace() && byte != b';';
                at += 1;
            }
        }
    }
    (comment, more)
}

/// The beginning of a literal that `shortened` keeps, in bytes.
const KEPT_LITERAL: usize = 64;

/// The positions that `shortened` leaves out: what follows the first bytes of each literal, up to its end or to the end of
/// the text. Characters are left out whole.
fn long_literals(text: &[u8]) -> Vec<Range<usize>> {
    let is_character_start = |at: &usize| text.get(*at).is_none_or(|byte| byte & 0xc0 != 0x80);
    let mut cuts = Vec::new();
    scan(text, |literal| {
        let from = (literal.start + KEPT_LITERAL..literal.end).find(is_character_start);
        // Of an unfinished literal, the last character may be incomplete.
        let is_finished = literal.end < text.len();
        let last_character = (literal.start..literal.end).rev().find(is_character_start);
        let until = if is_finished { Some(literal.end) } else { last_character };
        if let (Some(from), Some(until)) = (from, until)
            && from < until
        {
            cuts.push(from..until);
        }
    });
    cuts
}

/// The same query, or its beginning, with all long literals shortened and its length adapted. `None` if that saves nothing. More
/// bytes may follow a shortened beginning as if it were whole. What remains has the metadata of the query; it must not be
/// sent.
pub fn shortened(query: &[u8]) -> Option<Vec<u8>> {
    let (head, text) = query.split_at_checked(HEAD_SIZE).filter(|(head, _)| head[0] == b'Q')?;
    // Memory may be short because of hundreds of messages without a literal: for these a short look has to do.
    if !text.contains(&b'\'') {
        return None;
    }
    let cuts = long_literals(text);
    let saved: usize = cuts.iter().map(Range::len).sum();
    let length = u32::from_be_bytes(head[1..].try_into().ok()?).checked_sub(saved as u32)?;
    if saved == 0 {
        return None;
    }
    let mut out = Vec::with_capacity(query.len() - saved);
    out.push(head[0]);
    out.extend(length.to_be_bytes());
    let mut at = 0;
    for cut in cuts {
        out.extend_from_slice(&text[at..cut.start]);
        at = cut.end;
    }
    out.extend_from_slice(&text[at..]);
    Some(out)
}

/// True for a statement that consists of comments, blanks and semicolons only.
pub fn is_empty(statement: &[u8]) -> bool {
    !scan(statement, |_| {}).1
}

/// Parses the comment; the error names what is missing.
pub fn parse_metadata(statement: &[u8]) -> Result<StatementMetadata<'_>, &'static str> {
    let whole = std::str::from_utf8(statement).map_err(|_| "the statement is not UTF-8")?;
    let mut first_literal = None;
    let (comment, _) = scan(statement, |literal| _ = first_literal.get_or_insert(literal));
    let comment = comment.ok_or("the statement has no comment")?;
    let (mut id, mut group, mut customer, mut set, mut after) = (None, None, None, None, None);
    let (mut wait, mut repeat) = (None, false);
    let mut at = comment.start;
    let mut pieces = whole[comment].split(',').peekable();
    while let Some(piece) = pieces.next() {
        let start = at;
        at += piece.len() + 1;
        // Danger: without this, the value "a, b" would be read as "a". A value continues until a piece with a name and
        // an equals sign follows.
        while let Some(more) = pieces.next_if(|p| !p.contains('=') && !p.trim().is_empty()) {
            at += more.len() + 1;
        }
        let Some((name, value)) = whole[start..at - 1].split_once('=') else { continue };
        let from = start + name.len() + 1 + (value.len() - value.trim_start().len());
        let value = value.trim();
        match name.trim() {
            "id" => id = Some(value),
            "c" => group = Some(value),
            "t" => customer = Some(value),
            "d" => wait = Some((value, from..from + value.len())),
            "cluster" => set = Some(value),
            "after" => after = Some(value),
            "r" => repeat = value == "1",
            _ => {}
        }
    }
    let id = id.filter(|i| !i.is_empty()).ok_or("the comment has no id")?;
    let group = group.ok_or("the comment has no c")?;
    let (wait, wait_at) = wait.ok_or("the comment has no d")?;
    Ok(StatementMetadata {
        id,
        group,
        customer,
        set,
        after,
        repeat,
        key: first_literal.map(|literal| &whole[literal]),
        wait,
        wait_at,
    })
}
