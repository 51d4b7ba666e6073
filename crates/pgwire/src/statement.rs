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

/// The first quoted literal and the last comment of a statement, as ranges without their delimiters, and whether
/// there is anything outside comments.
fn scan(text: &[u8]) -> (Option<Range<usize>>, Option<Range<usize>>, bool) {
    let (mut literal, mut comment, mut more) = (None, None, false);
    let mut at = 0;
    while at < text.len() {
        let rest = &text[at + 1..];
        match text[at] {
            b'\'' => {
                let length = rest.iter().position(|b| *b == b'\'').unwrap_or(rest.len());
                literal = literal.or(Some(at + 1..at + 1 + length));
                (at, more) = (at + length + 2, true);
            }
            b'/' if rest.first() == Some(&b'*') => {
                let body = &rest[1..];
                let Some(length) = body.windows(2).position(|w| w == b"*/") else {
                    return (literal, None, true);
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
    (literal, comment, more)
}

/// True for a statement that consists of comments, blanks and semicolons only.
pub fn is_empty(statement: &[u8]) -> bool {
    !scan(statement).2
}

/// Parses the comment; the error names what is missing.
pub fn parse_metadata(statement: &[u8]) -> Result<StatementMetadata<'_>, &'static str> {
    let whole = std::str::from_utf8(statement).map_err(|_| "the statement is not UTF-8")?;
    let (literal, comment, _) = scan(statement);
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
        key: literal.map(|l| &whole[l]),
        wait,
        wait_at,
    })
}
