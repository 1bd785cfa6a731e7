//! Facts of a statement: its kind, the tables and data sets that it reads and writes, and the effects that it
//! may have. The parser of `sqlparser` determines them, within bounds. A statement that it cannot parse
//! completely is of unknown kind, has the facts that the lexer finds, and is assumed to write and to load in
//! bulk.

mod function_names;
mod lexed;
mod parsed;

pub use lexed::{qualified_tables, QualifiedTable};

use crate::lex::{tokens, Token, TokenKind};
use lexed::lexed_facts;
use parsed::parsed_facts;
use serde::Serialize;

/// Maximum length of a statement that is parsed, in bytes. Longer statements consist mostly of long lists of
/// values.
pub const MAX_PARSED_BYTES: usize = 16 * 1024;
/// Maximum number of tokens of a statement that is parsed. The depth of the syntax tree of a chain such as
/// `1+1+1` is half its number of tokens, and the tree is visited recursively.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Maximum nesting depth of brackets and CASE in a statement that is parsed; clients commonly use up to a
/// dozen levels.
const MAX_DEPTH: usize = 48;
/// Maximum number of data sets and relations reported for one statement; the kind of a statement with more is
/// unknown.
const MAX_NAMES: usize = 64;

/// The kind of a statement, by its main effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementKind {
    /// The statement reads rows.
    Select,
    /// The statement inserts rows.
    Insert,
    /// The statement changes rows.
    Update,
    /// The statement deletes rows.
    Delete,
    /// The statement inserts, updates or deletes each row by a condition.
    Merge,
    /// The statement transfers rows in bulk.
    Copy,
    /// The statement creates, changes or drops tables, views or indexes, or truncates tables.
    Ddl,
    /// The statement neither reads nor writes rows: SET, SHOW, EXPLAIN.
    Utility,
    /// The parser could not parse the statement completely.
    #[default]
    Unknown,
}

/// The facts of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatementFacts {
    /// Kind of the statement; unknown if `is_complete` is false.
    pub kind: StatementKind,
    /// Whether the parser parsed the statement completely; otherwise the other fields hold only what the
    /// lexer found.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Names of the tables that the statement only reads, such as `schema.table`, sorted.
    pub reads: Vec<String>,
    /// Names of the tables that the statement writes, sorted.
    pub writes: Vec<String>,
    /// Data sets of the tables, by the numbers in schema names such as `rates_17`, sorted ([`data_set`]).
    pub data_sets: Vec<u64>,
    /// Whether the statement changes rows or tables, or may change them.
    pub may_write: bool,
    /// Whether the statement locks rows or tables.
    #[serde(rename = "locks")]
    pub takes_locks: bool,
    /// Whether the statement writes in bulk, or may: INSERT ... SELECT, many rows, COPY, MERGE, CREATE TABLE
    /// AS, TRUNCATE.
    #[serde(rename = "load")]
    pub may_load: bool,
    /// Names of the functions in the statement that are not known to be read-only, sorted.
    pub calls: Vec<String>,
    /// Number of joins, including those by commas in a FROM list.
    pub joins: u32,
    /// Whether the statement groups or aggregates rows.
    pub aggregates: bool,
    /// Whether the statement sorts rows.
    pub sorts: bool,
    /// Whether the statement has a LIMIT or FETCH clause.
    #[serde(rename = "limit")]
    pub has_limit: bool,
}

/// The data set of a schema: the number after the last underscore of its name. `None` if there is no such
/// number, or if the name before it is empty or `staging`.
pub fn data_set(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || name.eq_ignore_ascii_case("staging") || name.is_empty() {
        return None;
    }
    digits.parse().ok()
}

/// Determines the facts of a statement, by the parser if possible and otherwise by the lexer alone.
pub fn read_statement(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    let is_short = statement.len() <= MAX_PARSED_BYTES && tokens(statement, MAX_PARSED_TOKENS, &mut lexed);
    if is_short && nesting_depth(statement, &lexed) <= MAX_DEPTH {
        if let Some(facts) = parsed_facts(&normalise_spaces(statement, &lexed)) {
            return facts;
        }
    }
    lexed_facts(statement)
}

/// The statement without comments and with a single ASCII space for any white space, since the parser accepts
/// fewer kinds of white space than the lexer.
fn normalise_spaces(statement: &str, lexed: &[Token]) -> String {
    let mut normalised = String::with_capacity(statement.len());
    let mut previous_end = 0;
    for token in lexed {
        if token.start > previous_end && !normalised.is_empty() {
            normalised.push(' ');
        }
        normalised.push_str(&statement[token.start..token.end]);
        previous_end = token.end;
    }
    normalised
}

/// Maximum nesting depth of brackets and CASE, counted without recursion.
fn nesting_depth(statement: &str, lexed: &[Token]) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    for token in lexed {
        let text = &statement[token.start..token.end];
        match token.kind {
            TokenKind::Punctuation if matches!(text, "(" | "[") => depth += 1,
            TokenKind::Punctuation if matches!(text, ")" | "]") => depth = depth.saturating_sub(1),
            TokenKind::Word if text.eq_ignore_ascii_case("case") => depth += 1,
            TokenKind::Word if text.eq_ignore_ascii_case("end") => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}
