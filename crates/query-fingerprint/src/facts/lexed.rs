//! Facts of a statement from its tokens alone, for statements that the parser cannot parse.

use super::{data_set, StatementFacts, MAX_NAMES, MAX_PARSED_TOKENS};
use crate::lex::{tokens, Token, TokenKind};
use crate::normal::{plain_name, TABLE_KEYWORDS};
use std::collections::BTreeSet;

/// Maximum number of tokens that are searched for facts; the rest of a longer statement is ignored.
const MAX_LEXED_TOKENS: usize = 8 * MAX_PARSED_TOKENS;
/// Keywords besides [`TABLE_KEYWORDS`] that are followed by the name of a table.
const COMMANDS_ON_TABLES: &[&str] = &["copy", "truncate"];
/// Keywords that end a list of tables.
const END_TABLE_LIST: &[&str] =
    &["where", "group", "order", "having", "set", "values", "select", "on", "limit", "returning"];

/// Facts of a statement that the parser could not parse completely: the data sets that it names, and the
/// clauses that its keywords show. It is assumed to write and to load in bulk.
pub(super) fn lexed_facts(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    tokens(statement, MAX_LEXED_TOKENS, &mut lexed);
    let mut facts = StatementFacts { may_write: true, may_load: true, ..StatementFacts::default() };
    let tables = qualified_tables(statement, &lexed);
    let data_sets: BTreeSet<u64> = tables.iter().filter_map(|table| data_set(&table.schema)).collect();
    facts.data_sets = data_sets.into_iter().take(MAX_NAMES).collect();
    for (index, token) in lexed.iter().enumerate() {
        if token.kind != TokenKind::Word {
            continue;
        }
        let keyword = statement[token.start..token.end].to_ascii_lowercase();
        let next = lexed.get(index + 1).map_or("", |next| &statement[next.start..next.end]);
        let is_next = |expected: &str| next.eq_ignore_ascii_case(expected);
        match keyword.as_str() {
            "join" => facts.joins += 1,
            "order" if is_next("by") => facts.sorts = true,
            "group" if is_next("by") => facts.aggregates = true,
            "limit" | "fetch" => facts.has_limit = true,
            "for" if is_next("update") || is_next("share") => facts.takes_locks = true,
            _ => {}
        }
    }
    facts
}

/// The name of a table with its schema, as PostgreSQL resolves them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QualifiedTable {
    /// Name of the schema.
    pub schema: String,
    /// Name of the table, without the schema.
    pub table: String,
}

/// Tables that a statement names with their schemas after FROM, JOIN, INTO and the like, found by the lexer
/// alone. `lexed` are the tokens of the statement.
pub fn qualified_tables(statement: &str, lexed: &[Token]) -> Vec<QualifiedTable> {
    let text = |token: &Token| &statement[token.start..token.end];
    let mut tables = Vec::new();
    // Whether the current token is in a list of tables: at the top level, then inside each open bracket.
    let mut in_table_list = vec![false];
    let mut index = 0;
    while index < lexed.len() {
        let token = &lexed[index];
        track_table_lists(token.kind, text(token), &mut in_table_list);
        let previous = index.checked_sub(1).map(|before| text(&lexed[before]));
        let is_in_list = in_table_list.last().is_some_and(|in_list| *in_list);
        let begins_table = previous.is_some_and(|previous| {
            is_any_of(previous, TABLE_KEYWORDS)
                || is_any_of(previous, COMMANDS_ON_TABLES)
                || matches!(previous, "," | "(") && is_in_list
        });
        if begins_table && is_name(token) {
            let is_dotted = lexed.get(index + 1).is_some_and(|next| text(next) == ".");
            if let Some(table) = lexed.get(index + 2).filter(|name| is_dotted && is_name(name)) {
                let schema = plain_name(text(token));
                tables.push(QualifiedTable { schema, table: plain_name(text(table)) });
                index += 2;
            }
        }
        index += 1;
    }
    tables
}

/// Updates `in_table_list` by the current token.
fn track_table_lists(kind: TokenKind, text: &str, in_table_list: &mut Vec<bool>) {
    let is_in_list = in_table_list.last().is_some_and(|in_list| *in_list);
    match kind {
        TokenKind::Punctuation if text == "(" => in_table_list.push(is_in_list),
        TokenKind::Punctuation if text == ")" && in_table_list.len() > 1 => {
            in_table_list.pop();
        }
        TokenKind::Word => {
            let Some(innermost) = in_table_list.last_mut() else { return };
            if is_any_of(text, TABLE_KEYWORDS) || is_any_of(text, COMMANDS_ON_TABLES) {
                *innermost = true;
            } else if is_any_of(text, END_TABLE_LIST) {
                *innermost = false;
            }
        }
        _ => {}
    }
}

fn is_name(token: &Token) -> bool {
    matches!(token.kind, TokenKind::Word | TokenKind::QuotedIdentifier)
}

fn is_any_of(text: &str, words: &[&str]) -> bool {
    words.iter().any(|word| word.eq_ignore_ascii_case(text))
}
