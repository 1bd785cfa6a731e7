//! Which group of tables a statement reads or writes: the number after the underscore in the
//! name of its schema; and whether a text holds one statement.

use super::Malformed;
use sprucelink_shapes::facts::data_set;

/// What a word in a statement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// A name, bare or in double quotes.
    Name,
    /// A string or comment: nothing in it counts.
    Opaque,
    /// `$1` and the like.
    Parameter,
    /// Any other single character.
    Mark,
    /// White space.
    Space,
}

/// The first token of a statement and its length in bytes; `None` at the end.
pub fn token(text: &str) -> Option<(Token, usize)> {
    let b = text.as_bytes();
    let first = *b.first()?;
    let until =
        |from: usize, stop: &str| text[from..].find(stop).map_or(text.len(), |n| from + n + stop.len());
    let name = |c: &u8| c.is_ascii_alphanumeric() || *c == b'_' || *c >= 0x80;
    Some(match first {
        b'-' if b.get(1) == Some(&b'-') => (Token::Opaque, until(2, "\n")),
        b'/' if b.get(1) == Some(&b'*') => (Token::Opaque, comment(b)),
        b'\'' => (Token::Opaque, quoted(b, 0, false)),
        b'e' | b'E' if b.get(1) == Some(&b'\'') => (Token::Opaque, quoted(b, 1, true)),
        b'b' | b'B' | b'x' | b'X' | b'n' | b'N' if b.get(1) == Some(&b'\'') => {
            (Token::Opaque, quoted(b, 1, false))
        }
        b'"' => (Token::Name, quoted(b, 0, false)),
        b'$' => {
            let digits = b[1..].iter().take_while(|c| c.is_ascii_digit()).count();
            let tag = b[1..].iter().take_while(|c| name(c)).count();
            match b.get(1 + tag) {
                _ if digits > 0 => (Token::Parameter, 1 + digits),
                Some(b'$') => (Token::Opaque, until(2 + tag, &text[..2 + tag])),
                _ => (Token::Mark, 1),
            }
        }
        c if c.is_ascii_whitespace() => {
            (Token::Space, b.iter().take_while(|c| c.is_ascii_whitespace()).count())
        }
        c if c.is_ascii_digit() => {
            (Token::Mark, b.iter().take_while(|c| c.is_ascii_alphanumeric() || **c == b'_').count())
        }
        c if name(&c) => (Token::Name, b.iter().take_while(|c| name(c) || **c == b'$').count()),
        _ => (Token::Mark, 1),
    })
}

/// Block comments nest.
fn comment(b: &[u8]) -> usize {
    let (mut depth, mut i) = (0usize, 0);
    while i < b.len() {
        match b.get(i..i + 2) {
            Some(b"/*") => (depth, i) = (depth + 1, i + 2),
            Some(b"*/") => (depth, i) = (depth - 1, i + 2),
            _ => i += 1,
        }
        if depth == 0 {
            break;
        }
    }
    i
}

/// From the opening quote at `at` to behind the closing one; doubled quotes stay inside.
fn quoted(b: &[u8], at: usize, escapes: bool) -> usize {
    let (quote, mut i) = (b[at], at + 1);
    while i < b.len() {
        let escaped = escapes && b[i] == b'\\';
        if escaped || b[i] == quote && b.get(i + 1) == Some(&quote) {
            i += 2;
        } else if b[i] == quote {
            return i + 1;
        } else {
            i += 1;
        }
    }
    b.len()
}

/// Words after which a table is named.
const BEFORE_TABLE: [&str; 8] = ["from", "into", "update", "join", "table", "copy", "only", "using"];

/// The group of tables of a statement, 0 if no schema in it has a number. A schema named after
/// `FROM`, `INTO` and the like goes before any other, which may be a table's short name.
pub fn group(statement: &str) -> u64 {
    let (mut rest, mut fallback) = (statement, None);
    // The last word, the name before the present point, and whether a list of tables goes on.
    let (mut named, mut schema, mut after_dot): (bool, Option<(&str, bool)>, bool) = (false, None, false);
    while let Some((kind, len)) = token(rest) {
        let Some(text) = rest.get(..len) else { return fallback.unwrap_or(0) };
        rest = &rest[len..];
        match kind {
            Token::Space | Token::Opaque => {}
            Token::Name => {
                let bare = text.trim_matches('"');
                schema = (!after_dot).then_some((bare, named));
                after_dot = false;
                named = BEFORE_TABLE.iter().any(|w| w.eq_ignore_ascii_case(bare));
            }
            _ => {
                if text == "." {
                    if let Some((name, sure)) = schema.take() {
                        match data_set(name) {
                            Some(n) if sure => return n,
                            Some(n) => fallback = fallback.or(Some(n)),
                            None => {}
                        }
                    }
                    after_dot = true;
                } else {
                    (schema, after_dot) = (None, false);
                }
                named = false;
            }
        }
    }
    fallback.unwrap_or(0)
}

/// Whether a text holds one statement at most: what stands behind a semicolon is another one, unless it
/// is nothing.
pub fn single(mut text: &str) -> Result<(), Malformed> {
    while let Some((kind, len)) = token(text) {
        let (head, tail) = text.split_at_checked(len).unwrap_or((text, ""));
        if head == ";" && kind == Token::Mark && !is_empty(tail) {
            return Err(Malformed::field("query", "holds several statements, where one is supported"));
        }
        text = tail;
    }
    Ok(())
}

/// Whether a text holds no statement: white space, comments and semicolons only.
pub fn is_empty(mut text: &str) -> bool {
    while let Some((kind, len)) = token(text) {
        let (Some(head), Some(rest)) = (text.get(..len), text.get(len..)) else { return false };
        let passed = match kind {
            Token::Space => true,
            Token::Opaque => head.starts_with("--") || head.starts_with("/*"),
            _ => head == ";",
        };
        if !passed {
            return false;
        }
        text = rest;
    }
    true
}
