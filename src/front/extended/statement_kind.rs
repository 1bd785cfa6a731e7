//! Classifies statements on the `extended` front by their first words.

use super::statement_timeout;
use crate::proto::pg::ErrorResponse;
use crate::proto::tables::{self, first_token, Token};

/// First words of unsupported statements.
const UNSUPPORTED_STATEMENTS: [&str; 25] = [
    "abort",
    "begin",
    "close",
    "commit",
    "copy",
    "deallocate",
    "declare",
    "discard",
    "end",
    "execute",
    "fetch",
    "listen",
    "lock",
    "move",
    "notify",
    "prepare",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "set",
    "show",
    "start",
    "unlisten",
    "vacuum",
];
/// Settings that clients may set without effect.
const IGNORED_SETTINGS: [&str; 3] = ["application_name", "client_min_messages", "extra_float_digits"];
/// Tokens that separate a setting's name from its value.
const ASSIGNMENTS: [&str; 2] = ["=", "to"];
/// Maximum number of tokens of a statement that are examined; no supported `SET` has more.
const MAX_TOKENS: usize = 8;

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    /// The text holds only white space, comments and semicolons.
    Empty,
    /// A `SET` that is answered without an engine.
    Set(Setting),
    /// A statement that an engine runs.
    Query,
}

/// The effect of a `SET`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Setting {
    /// No effect.
    Ignored,
    /// Sets the session's time-out in milliseconds; `None` restores the default of each request's class.
    StatementTimeout(Option<u64>),
}

/// Determines the kind of a statement.
///
/// # Errors
/// If the statement is not supported, or the text holds more than one statement.
pub(super) fn classify(statement: &str) -> Result<StatementKind, ErrorResponse> {
    if tables::is_empty(statement) {
        return Ok(StatementKind::Empty);
    }
    tables::check_single_statement(statement)
        .map_err(|error| ErrorResponse::new("0A000", error.to_string()))?;
    let tokens = first_tokens(statement);
    if let Some(setting) = parse_set(&tokens)? {
        return Ok(StatementKind::Set(setting));
    }
    let first_word = lower_case(&tokens, 0);
    if UNSUPPORTED_STATEMENTS.contains(&first_word.as_str()) {
        let first_word = first_word.to_uppercase();
        let message = format!("{first_word} is not supported: there are no transactions, cursors or COPY");
        return Err(ErrorResponse::new("0A000", message));
    }
    Ok(StatementKind::Query)
}

/// The first tokens that are neither white space, nor comments, nor semicolons.
fn first_tokens(statement: &str) -> Vec<&str> {
    let mut rest = statement;
    let mut tokens = Vec::new();
    while let Some((kind, length)) = first_token(rest) {
        let (head, tail) = rest.split_at(length.min(rest.len()));
        let is_comment = kind == Token::Opaque && tables::is_comment(head);
        if kind != Token::Space && !is_comment && head != ";" && tokens.len() < MAX_TOKENS {
            tokens.push(head);
        }
        rest = tail;
    }
    tokens
}

fn lower_case(tokens: &[&str], index: usize) -> String {
    tokens.get(index).map_or(String::new(), |token| token.to_ascii_lowercase())
}

/// The effect of `SET [SESSION] name { = | TO } value`; `None` if the setting is not supported, or the
/// statement is not a `SET`.
fn parse_set(tokens: &[&str]) -> Result<Option<Setting>, ErrorResponse> {
    if lower_case(tokens, 0) != "set" {
        return Ok(None);
    }
    let is_assignment = |index: usize| ASSIGNMENTS.contains(&lower_case(tokens, index).as_str());
    // `SET session = ...` sets a setting of that name.
    let has_scope = lower_case(tokens, 1) == "session" && !is_assignment(2);
    let name_index = if has_scope { 2 } else { 1 };
    let value_index = name_index + 2;
    if !is_assignment(name_index + 1) || tokens.len() <= value_index {
        return Ok(None);
    }
    let name = lower_case(tokens, name_index);
    if name == statement_timeout::NAME && tokens.len() == value_index + 1 {
        let timeout = statement_timeout::parse(tokens[value_index])?;
        return Ok(Some(Setting::StatementTimeout(timeout)));
    }
    Ok(IGNORED_SETTINGS.contains(&name.as_str()).then_some(Setting::Ignored))
}
