//! Facts of a statement: its kind, the tables and data sets that it reads and writes, and what it may do. The parser
//! of `sqlparser` reads it, within bounds. A statement that it cannot read completely is of unknown kind, with the
//! facts that the lexer finds, and is assumed to write and to load in bulk.

mod function_names;
mod lexed;
mod parsed;

pub use lexed::{named, QualifiedTable};

use crate::lex::{tokens, Token, TokenKind};
use lexed::certain;
use parsed::parse;
use serde::Serialize;

/// Maximum length of a text that is parsed, in bytes. Longer texts are mostly long lists of values.
pub const MAX_PARSED_BYTES: usize = 16 * 1024;
/// Maximum number of tokens of a text that is parsed. A chain such as `1+1+1` gives a tree half as deep as it has tokens,
/// and the tree is visited recursively.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Maximum nesting of brackets and CASE in a text that is parsed; clients commonly nest up to a dozen deep.
const MAX_DEPTH: usize = 48;
/// Maximum number of data sets and relations reported for one statement; a statement with more is unknown.
const MAX_NAMES: usize = 64;

/// The kind of a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementKind {
    /// Reads rows.
    Select,
    /// Inserts rows.
    Insert,
    /// Changes rows.
    Update,
    /// Deletes rows.
    Delete,
    /// Inserts, updates or deletes, row by row.
    Merge,
    /// Moves rows in bulk.
    Copy,
    /// Changes tables.
    Ddl,
    /// Sets, shows, explains: touches no rows.
    Utility,
    /// The parser could not read it completely.
    #[default]
    Unknown,
}

/// The facts of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatementFacts {
    /// Its kind.
    pub kind: StatementKind,
    /// The parser read it completely; otherwise the other fields hold only what the lexer found.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Tables that it reads, `schema.table`, sorted.
    pub reads: Vec<String>,
    /// Tables that it writes.
    pub writes: Vec<String>,
    /// Data sets that it names: numbers of schemas such as `rates_17`, sorted.
    pub data_sets: Vec<u64>,
    /// It changes rows or tables, or may.
    pub may_write: bool,
    /// It takes locks on rows or tables.
    pub locks: bool,
    /// It writes in bulk, or may: INSERT ... SELECT, many rows, COPY, MERGE, CREATE TABLE AS, TRUNCATE.
    pub load: bool,
    /// Functions that it calls which are not known to write nothing.
    pub calls: Vec<String>,
    /// Joins, also by commas.
    pub joins: u32,
    /// It groups or aggregates.
    pub aggregates: bool,
    /// It sorts.
    pub sorts: bool,
    /// It has a LIMIT or FETCH clause.
    pub limit: bool,
}

/// The data set of a schema: the number behind its last underscore; none of `staging`.
pub fn data_set(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || name.eq_ignore_ascii_case("staging") || name.is_empty() {
        return None;
    }
    digits.parse().ok()
}

/// Reads a statement: by the parser if possible, otherwise by the lexer alone.
pub fn read(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    let is_short = statement.len() <= MAX_PARSED_BYTES && tokens(statement, MAX_PARSED_TOKENS, &mut lexed);
    if is_short && nesting(statement, &lexed) <= MAX_DEPTH {
        if let Some(facts) = parse(&normalise_spaces(statement, &lexed)) {
            return facts;
        }
    }
    certain(statement)
}

/// The statement without comments, and with one plain space for any white space: the parser knows fewer kinds of it.
fn normalise_spaces(statement: &str, lexed: &[Token]) -> String {
    let mut normalised = String::with_capacity(statement.len());
    let mut previous_end = 0;
    for token in lexed {
        if token.at > previous_end && !normalised.is_empty() {
            normalised.push(' ');
        }
        normalised.push_str(&statement[token.at..token.end]);
        previous_end = token.end;
    }
    normalised
}

/// How deep brackets and CASE nest, counted without recursion.
fn nesting(statement: &str, lexed: &[Token]) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    for token in lexed {
        let text = &statement[token.at..token.end];
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
