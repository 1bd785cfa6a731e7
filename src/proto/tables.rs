//! Finds the number of the group of tables that a statement reads or writes, and checks that a text holds
//! only one statement. The tables of a group are in schemas whose names end with an underscore and the number
//! of the group; schemas named `staging_N` belong to no group.

use sprucelink_query_fingerprint::facts::data_set;
use sprucelink_query_fingerprint::lex::{self, TokenKind};
use thiserror::Error;

/// Error for a text that holds more than one statement, of which a request may have only one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("field query holds several statements, where one is supported")]
pub struct SeveralStatements;

/// Kind of a token of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    /// A name, bare or in double quotes.
    Name,
    /// A string or a comment; its text is not interpreted.
    Opaque,
    /// A parameter, such as `$1`.
    Parameter,
    /// A number, an operator, or any other single character.
    Other,
    /// White space.
    Space,
}

/// The kind of the first token of `text`, and the length of the token in bytes; `None` if `text` is empty.
pub fn first_token(text: &str) -> Option<(Token, usize)> {
    let token = lex::token(text, 0)?;
    let kind = match token.kind {
        TokenKind::Word | TokenKind::QuotedIdentifier => Token::Name,
        TokenKind::StringLiteral => Token::Opaque,
        TokenKind::Trivia if text.starts_with(['-', '/']) => Token::Opaque,
        TokenKind::Trivia => Token::Space,
        TokenKind::Parameter => Token::Parameter,
        TokenKind::Number | TokenKind::Operator | TokenKind::Punctuation => Token::Other,
    };
    Some((kind, token.end))
}

/// Keywords that are followed by the name of a table.
const TABLE_KEYWORDS: [&str; 8] = ["from", "into", "update", "join", "table", "copy", "only", "using"];

/// The number of a statement's group of tables; 0 if no schema in the statement has a number. A name before a
/// dot is taken for a schema. If it follows one of [`TABLE_KEYWORDS`], it is certainly a schema and has
/// precedence; any other name may be a table's alias.
pub fn group(statement: &str) -> u64 {
    let mut rest = statement;
    let mut fallback = None;
    // The last name, unless it followed a dot, and whether it followed one of `TABLE_KEYWORDS`.
    let mut schema: Option<(&str, bool)> = None;
    let mut is_table_next = false;
    let mut is_after_dot = false;
    while let Some((kind, length)) = first_token(rest) {
        let Some(text) = rest.get(..length) else { return fallback.unwrap_or(0) };
        rest = &rest[length..];
        match kind {
            Token::Space | Token::Opaque => {}
            Token::Name => {
                let name = text.trim_matches('"');
                schema = (!is_after_dot).then_some((name, is_table_next));
                is_after_dot = false;
                is_table_next = TABLE_KEYWORDS.iter().any(|word| word.eq_ignore_ascii_case(name));
            }
            _ if text == "." => {
                match schema.take().and_then(|(name, is_certain)| Some((data_set(name)?, is_certain))) {
                    Some((group, true)) => return group,
                    Some((group, false)) => fallback = fallback.or(Some(group)),
                    None => {}
                }
                is_after_dot = true;
                is_table_next = false;
            }
            _ => {
                schema = None;
                is_after_dot = false;
                is_table_next = false;
            }
        }
    }
    fallback.unwrap_or(0)
}

/// Checks that a text holds at most one statement. Text after a semicolon counts as another statement unless
/// it is empty (see [`is_empty`]). Each token is read once, however many semicolons there are.
///
/// # Errors
/// If the text holds more than one statement.
pub fn check_single_statement(mut text: &str) -> Result<(), SeveralStatements> {
    let mut is_after_semicolon = false;
    while let Some((kind, length)) = first_token(text) {
        let (head, tail) = text.split_at_checked(length).unwrap_or((text, ""));
        if is_after_semicolon && !is_ignored(kind, head) {
            return Err(SeveralStatements);
        }
        is_after_semicolon |= is_semicolon(kind, head);
        text = tail;
    }
    Ok(())
}

/// Whether a text holds no statement, but only white space, comments and semicolons.
pub fn is_empty(mut text: &str) -> bool {
    while let Some((kind, length)) = first_token(text) {
        let (Some(head), Some(rest)) = (text.get(..length), text.get(length..)) else { return false };
        if !is_ignored(kind, head) {
            return false;
        }
        text = rest;
    }
    true
}

/// Whether a token belongs to no statement: it is white space, a comment or a semicolon.
fn is_ignored(kind: Token, token: &str) -> bool {
    match kind {
        Token::Space => true,
        Token::Opaque => is_comment(token),
        _ => is_semicolon(kind, token),
    }
}

fn is_semicolon(kind: Token, token: &str) -> bool {
    kind == Token::Other && token == ";"
}

/// Whether an opaque token is a comment rather than a string.
pub fn is_comment(token: &str) -> bool {
    token.starts_with("--") || token.starts_with("/*")
}
