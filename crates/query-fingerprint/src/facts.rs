//! What is known of a statement. The parser of a library reads it, within bounds; what it cannot read whole is
//! *unknown*, with what the lexer is certain of, and unknown is always the careful side: it may write, it may load.

mod lexed;
mod parsed;
mod word_lists;

pub use lexed::named;

use crate::lex::{tokens, Token, TokenKind};
use lexed::certain;
use parsed::parse;
use serde::Serialize;

/// Longest text that the parser is given, in bytes. Longer ones are long lists of values, most likely.
pub const MAX_PARSED_BYTES: usize = 16 * 1024;
/// Maximum tokens of it. A chain such as `1+1+1` makes a tree half as deep, which is walked by recursion.
pub const MAX_PARSED_TOKENS: usize = 2_000;
/// Deepest nesting that the parser follows; PostgreSQL's clients nest a dozen deep.
const MAX_DEPTH: usize = 48;
/// Data sets and relations that are told of one statement; of more, it is unknown.
const MAX_NAMES: usize = 64;

/// What kind of statement it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementKind {
    /// Reads rows.
    Select,
    /// Puts rows in.
    Insert,
    /// Changes rows.
    Update,
    /// Takes rows out.
    Delete,
    /// Any of the three, row by row.
    Merge,
    /// Moves rows in bulk.
    Copy,
    /// Changes tables.
    Ddl,
    /// Sets, shows, explains: touches no rows.
    Utility,
    /// It was not read whole.
    #[default]
    Unknown,
}

/// What is known of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatementFacts {
    /// What it is.
    pub kind: StatementKind,
    /// It was read whole; else all else here is what is certain, and there may be more.
    pub whole: bool,
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
    /// It says how many rows at most.
    pub limit: bool,
}

/// The data set of a schema: the number behind its last underscore; none of `staging`.
pub fn data_set(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let legal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if !legal || name.eq_ignore_ascii_case("staging") || name.is_empty() {
        return None;
    }
    digits.parse().ok()
}

/// Reads a statement: whole where it can be, else what is certain.
pub fn read(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    let bounded = statement.len() <= MAX_PARSED_BYTES && tokens(statement, MAX_PARSED_TOKENS, &mut lexed);
    let parsed = if bounded && !deep(statement, &lexed) { parse(&plain(statement, &lexed)) } else { None };
    parsed.unwrap_or_else(|| certain(statement))
}

/// The statement without comments, and with a plain space for whatever space there was: parsers know fewer of them.
fn plain(statement: &str, lexed: &[Token]) -> String {
    let mut out = String::with_capacity(statement.len());
    let mut end = 0;
    for t in lexed {
        if t.at > end && !out.is_empty() {
            out.push(' ');
        }
        out.push_str(&statement[t.at..t.end]);
        end = t.end;
    }
    out
}

/// Whether brackets and CASE nest deeper than the parser is let go, told without recursion.
fn deep(statement: &str, lexed: &[Token]) -> bool {
    let (mut depth, mut most) = (0_usize, 0);
    for t in lexed {
        let text = &statement[t.at..t.end];
        match t.kind {
            TokenKind::Mark if matches!(text, "(" | "[") => depth += 1,
            TokenKind::Mark if matches!(text, ")" | "]") => depth = depth.saturating_sub(1),
            TokenKind::Word if text.eq_ignore_ascii_case("case") => depth += 1,
            TokenKind::Word if text.eq_ignore_ascii_case("end") => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most > MAX_DEPTH
}
