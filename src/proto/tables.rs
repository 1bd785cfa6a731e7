//! Which group of tables a statement reads or writes: the number after the underscore in the
//! name of its schema; and whether a text holds one statement.

use super::Malformed;
use sprucelink_query_fingerprint::facts::data_set;
use sprucelink_query_fingerprint::lex::{self, Kind};

/// What a word in a statement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// A name, bare or in double quotes.
    Name,
    /// A string or comment: nothing in it counts.
    Opaque,
    /// `$1` and the like.
    Parameter,
    /// A number, an operator, or any other single character.
    Mark,
    /// White space.
    Space,
}

/// The first token of a statement and its length in bytes; `None` at the end.
pub fn token(text: &str) -> Option<(Token, usize)> {
    let t = lex::token(text, 0)?;
    let kind = match t.kind {
        Kind::Word | Kind::Quoted => Token::Name,
        Kind::Text => Token::Opaque,
        Kind::Blank if text.starts_with(['-', '/']) => Token::Opaque,
        Kind::Blank => Token::Space,
        Kind::Parameter => Token::Parameter,
        Kind::Number | Kind::Operator | Kind::Mark => Token::Mark,
    };
    Some((kind, t.end))
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
