//! Finds the aliases of a statement by their places among its tokens.

use super::{plain_name, SourceToken, BEFORE_TABLE};
use std::collections::{BTreeMap, BTreeSet};

/// Aliases of one statement that are renamed; more keep their names.
const MAX_ALIASES: usize = 64;

/// Words that end a table's place in a FROM list: none of them is an alias.
const NO_ALIAS: &[&str] = &[
    "as",
    "on",
    "using",
    "where",
    "group",
    "order",
    "having",
    "limit",
    "offset",
    "fetch",
    "for",
    "union",
    "intersect",
    "except",
    "join",
    "inner",
    "left",
    "right",
    "full",
    "cross",
    "natural",
    "lateral",
    "set",
    "values",
    "select",
    "returning",
    "window",
    "tablesample",
    "when",
    "default",
    "not",
    "and",
    "or",
    "with",
    "only",
    "from",
    "into",
    "do",
    "then",
    "end",
    "else",
    "is",
    "in",
    "like",
    "ilike",
    "between",
    "asc",
    "desc",
    "nulls",
    "overriding",
    "cascade",
    "restrict",
    "conflict",
    "partition",
    "rows",
    "range",
    "groups",
    "to",
    "by",
    "no",
    "nowait",
    "skip",
    "of",
];
/// Words behind WITH that name no common table expression.
const NO_CTE: &[&str] = &["time", "local", "cascaded", "check", "ordinality", "no", "ties"];

/// Aliases of tables, common table expressions and columns, each with its number in order of first sight.
#[derive(Default)]
pub(super) struct Aliases {
    pub(super) tables: BTreeMap<String, usize>,
    pub(super) columns: BTreeMap<String, usize>,
    /// Those of them that stand for a sub-select: their columns may have aliases, too.
    pub(super) derived: BTreeSet<String>,
    /// Places of tokens that name an alias where it is made.
    pub(super) made: BTreeMap<usize, usize>,
    next: usize,
}

impl Aliases {
    fn table(&mut self, name: &str, place: usize) {
        let next = self.next;
        let number = *self.tables.entry(plain_name(name)).or_insert(next);
        self.next += usize::from(number == next);
        self.made.insert(place, number);
    }
    fn derived(&mut self, name: &str, place: usize) {
        self.table(name, place);
        self.derived.insert(plain_name(name));
    }
    fn column(&mut self, name: &str, place: usize) {
        let next = self.next;
        let number = *self.columns.entry(plain_name(name)).or_insert(next);
        self.next += usize::from(number == next);
        self.made.insert(place, number);
    }
    fn full(&self) -> bool {
        self.next >= MAX_ALIASES
    }
}

/// Finds aliases by their places: behind a table in a FROM list, behind a closing bracket there, behind AS (but in
/// a cast), and common table expressions.
pub(super) fn find_aliases(parts: &[SourceToken]) -> Aliases {
    let mut names = Aliases::default();
    // Brackets that are open, and whether each is a cast's.
    let mut open: Vec<bool> = Vec::new();
    let mut in_from = vec![false];
    let mut i = 0;
    while i < parts.len() && !names.full() {
        let p = &parts[i];
        if p.mark("(") {
            open.push(i > 0 && parts[i - 1].among(&["cast", "xmlserialize", "try_cast"]));
            in_from.push(false);
        } else if p.mark(")") {
            open.pop();
            if in_from.len() > 1 {
                in_from.pop();
            }
            // A sub-select or function in a FROM list has its alias behind its bracket.
            if *in_from.last().unwrap_or(&false) {
                if let Some(next) = parts.get(i + 1).filter(|n| n.is_name() && !n.among(NO_ALIAS)) {
                    names.derived(next.raw, i + 1);
                    i += 1;
                }
            }
        } else if p.among(&["with"]) && !parts.get(i + 1).is_some_and(|n| n.among(NO_CTE))
            || p.mark(",") && cte_follows(parts, i)
        {
            cte(parts, i + 1, &mut names);
        } else if p.among(&["as"]) && !open.last().is_some_and(|cast| *cast) {
            if let Some(next) = parts.get(i + 1).filter(|n| n.is_name()) {
                let cte = next.among(&["materialized", "not"]);
                let select = next.among(&["select", "with", "values", "insert", "update", "delete", "merge"]);
                if !cte && !select {
                    if *in_from.last().unwrap_or(&false) {
                        names.derived(next.raw, i + 1);
                    } else {
                        names.column(next.raw, i + 1);
                    }
                    i += 1;
                }
            }
        } else if p.among(BEFORE_TABLE) || p.mark(",") && *in_from.last().unwrap_or(&false) {
            if p.among(&["from", "join", "update", "using", "into"]) {
                if let Some(last) = in_from.last_mut() {
                    *last = true;
                }
            }
            i = table(parts, i + 1, &mut names).saturating_sub(1).max(i);
        } else if p.among(&[
            "where",
            "group",
            "order",
            "having",
            "limit",
            "set",
            "values",
            "select",
            "returning",
            "on",
            "union",
            "window",
        ]) {
            if let Some(last) = in_from.last_mut() {
                // A join's condition does not end the list: another join may follow, and begins it anew.
                *last = false;
            }
        }
        i += 1;
    }
    names
}

/// Whether a comma parts common table expressions: a name, perhaps columns, AS and a bracket follow.
fn cte_follows(parts: &[SourceToken], comma: usize) -> bool {
    if !parts.get(comma + 1).is_some_and(SourceToken::is_name) {
        return false;
    }
    let mut i = comma + 2;
    if parts.get(i).is_some_and(|p| p.mark("(")) {
        while i < parts.len() && !parts[i].mark(")") {
            i += 1;
        }
        i += 1;
    }
    parts.get(i).is_some_and(|p| p.is("as"))
        && parts.get(i + 1).is_some_and(|p| p.mark("(") || p.among(&["materialized", "not"]))
}

fn cte(parts: &[SourceToken], at: usize, names: &mut Aliases) {
    let at = at + usize::from(parts.get(at).is_some_and(|p| p.is("recursive")));
    if let Some(name) = parts.get(at).filter(|n| n.is_name()) {
        names.derived(name.raw, at);
    }
}

/// Passes over a table's name from `at` on, and takes the alias behind it. The place behind both.
fn table(parts: &[SourceToken], mut at: usize, names: &mut Aliases) -> usize {
    while parts.get(at).is_some_and(|p| p.among(&["only", "lateral", "into", "table"])) {
        at += 1;
    }
    let Some(first) = parts.get(at) else { return at };
    if !first.is_name() || first.among(&["select", "values", "with", "set"]) {
        return at;
    }
    at += 1;
    while parts.get(at).is_some_and(|p| p.mark(".")) && parts.get(at + 1).is_some_and(SourceToken::is_name) {
        at += 2;
    }
    if parts.get(at).is_some_and(|p| p.mark("*")) {
        at += 1;
    }
    let named = parts.get(at).is_some_and(|p| p.is("as"));
    let place = at + usize::from(named);
    match parts.get(place) {
        Some(p) if p.is_name() && (named || !p.among(NO_ALIAS)) => {
            names.table(p.raw, place);
            place + 1
        }
        _ => at,
    }
}
