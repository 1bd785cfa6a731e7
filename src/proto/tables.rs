//! Finds the group of tables that a statement reads or writes (the number after the underscore in the name of
//! its schema), and checks that a text holds only one statement.

use sprucelink_query_fingerprint::facts::data_set;
use sprucelink_query_fingerprint::lex::{self, TokenKind};
use thiserror::Error;

/// The text holds more than one statement.
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

/// The first token of a statement and its length in bytes; `None` at the end.
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

/// The group of tables of a statement, 0 if no schema in it has a number. A name that follows one of
/// [`TABLE_KEYWORDS`] is certainly a schema and has precedence; any other may be a table's alias.
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
/// it is empty (see [`is_empty`]).
///
/// # Errors
/// If the text holds more than one statement.
pub fn check_single_statement(mut text: &str) -> Result<(), SeveralStatements> {
    while let Some((kind, length)) = first_token(text) {
        let (head, tail) = text.split_at_checked(length).unwrap_or((text, ""));
        if head == ";" && kind == Token::Other && !is_empty(tail) {
            return Err(SeveralStatements);
        }
        text = tail;
    }
    Ok(())
}

/// Whether a text holds no statement, but only white space, comments and semicolons.
pub fn is_empty(mut text: &str) -> bool {
    while let Some((kind, length)) = first_token(text) {
        let (Some(head), Some(rest)) = (text.get(..length), text.get(length..)) else { return false };
        let is_ignored = match kind {
            Token::Space => true,
            Token::Opaque => is_comment(head),
            _ => head == ";",
        };
        if !is_ignored {
            return false;
        }
        text = rest;
    }
    true
}

/// Whether an opaque token is a comment rather than a string.
pub fn is_comment(token: &str) -> bool {
    token.starts_with("--") || token.starts_with("/*")
}
