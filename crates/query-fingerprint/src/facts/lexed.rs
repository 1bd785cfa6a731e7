//! Facts of a statement from its tokens alone, for statements that the parser cannot read.

use super::{data_set, StatementFacts, MAX_NAMES, MAX_PARSED_TOKENS};
use crate::lex::{tokens, Token, TokenKind};
use crate::normal::{plain_name, BEFORE_TABLE};
use std::collections::BTreeSet;

/// What is certain of a statement that was not read whole, by the lexer alone: data sets named behind the words that
/// name tables, or anywhere, and that it may do anything.
pub(super) fn certain(statement: &str) -> StatementFacts {
    let mut lexed = Vec::new();
    // Of what is longer, the head is certain.
    tokens(statement, 8 * MAX_PARSED_TOKENS, &mut lexed);
    let mut facts = StatementFacts { may_write: true, load: true, ..StatementFacts::default() };
    let sets: BTreeSet<u64> =
        named(statement, &lexed).into_iter().filter_map(|(schema, _)| data_set(&schema)).collect();
    facts.data_sets = sets.into_iter().take(MAX_NAMES).collect();
    for (i, t) in lexed.iter().enumerate() {
        let text = &statement[t.at..t.end];
        if t.kind != TokenKind::Word {
            continue;
        }
        let next = lexed.get(i + 1).map_or("", |n| &statement[n.at..n.end]);
        match text.to_ascii_lowercase().as_str() {
            "join" => facts.joins += 1,
            "order" if next.eq_ignore_ascii_case("by") => facts.sorts = true,
            "group" if next.eq_ignore_ascii_case("by") => facts.aggregates = true,
            "limit" | "fetch" => facts.limit = true,
            "for" if next.eq_ignore_ascii_case("update") || next.eq_ignore_ascii_case("share") => {
                facts.locks = true
            }
            _ => {}
        }
    }
    facts
}

/// Schemas and tables that a statement names behind FROM, JOIN, INTO and the like, by the lexer alone.
pub fn named(statement: &str, lexed: &[Token]) -> Vec<(String, String)> {
    let text = |t: &Token| &statement[t.at..t.end];
    let is_name = |t: &Token| matches!(t.kind, TokenKind::Word | TokenKind::Quoted);
    let mut all = Vec::new();
    let mut lists = vec![false];
    let mut i = 0;
    while i < lexed.len() {
        let t = &lexed[i];
        match t.kind {
            TokenKind::Mark if text(t) == "(" => lists.push(*lists.last().unwrap_or(&false)),
            TokenKind::Mark if text(t) == ")" && lists.len() > 1 => drop(lists.pop()),
            TokenKind::Word => {
                let word = text(t).to_ascii_lowercase();
                if let Some(last) = lists.last_mut() {
                    if BEFORE_TABLE.contains(&word.as_str()) || matches!(word.as_str(), "copy" | "truncate") {
                        *last = true;
                    } else if matches!(
                        word.as_str(),
                        "where"
                            | "group"
                            | "order"
                            | "having"
                            | "set"
                            | "values"
                            | "select"
                            | "on"
                            | "limit"
                            | "returning"
                    ) {
                        *last = false;
                    }
                }
            }
            _ => {}
        }
        let before = i.checked_sub(1).map(|k| text(&lexed[k]));
        let starts = before.is_some_and(|b| {
            BEFORE_TABLE.iter().any(|w| w.eq_ignore_ascii_case(b))
                || matches!(b, "," | "(") && *lists.last().unwrap_or(&false)
                || b.eq_ignore_ascii_case("copy")
                || b.eq_ignore_ascii_case("truncate")
        });
        let dotted =
            lexed.get(i + 1).is_some_and(|d| text(d) == ".") && lexed.get(i + 2).is_some_and(is_name);
        if is_name(t) && starts && dotted {
            all.push((plain_name(text(t)), plain_name(text(&lexed[i + 2]))));
            i += 2;
        }
        i += 1;
    }
    all
}
