//! Finds the aliases of a statement by the positions of its tokens.

use super::{plain_name, SourceToken, TABLE_KEYWORDS};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of aliases of one statement that are replaced by numbers; further aliases keep their names.
const MAX_ALIASES: usize = 64;

/// Keywords that may follow a table in a FROM list and are not an alias.
const NOT_ALIASES: &[&str] = &[
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
/// Keywords after WITH that are not the name of a common table expression.
const NOT_CTE_NAMES: &[&str] = &["time", "local", "cascaded", "check", "ordinality", "no", "ties"];

/// Keywords that may follow AS and are not an alias: those that begin a statement, and `[NOT] MATERIALIZED`.
const NOT_ALIASES_AFTER_AS: &[&str] =
    &["materialized", "not", "select", "with", "values", "insert", "update", "delete", "merge"];
/// Functions in whose arguments AS is followed by a type.
const CAST_FUNCTIONS: &[&str] = &["cast", "xmlserialize", "try_cast"];
/// Keywords that begin a list of tables.
const BEGIN_TABLE_LIST: &[&str] = &["from", "join", "update", "using", "into"];
/// Keywords that end a list of tables.
const END_TABLE_LIST: &[&str] = &[
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
];
/// Keywords between the keyword that begins a list of tables and the name of a table.
const TABLE_PREFIXES: &[&str] = &["only", "lateral", "into", "table"];
/// Keywords in the position of a table's name that are not a name.
const NOT_TABLE_NAMES: &[&str] = &["select", "values", "with", "set"];

/// Aliases of tables, common table expressions and columns. They are numbered in the order of their first
/// occurrence.
#[derive(Default)]
pub(super) struct Aliases {
    /// Numbers of the aliases of tables and common table expressions, by name.
    pub(super) tables: BTreeMap<String, usize>,
    /// Numbers of the aliases of columns, by name.
    pub(super) columns: BTreeMap<String, usize>,
    /// Names in `tables` that belong to a sub-select, whose columns may have aliases, too.
    pub(super) derived: BTreeSet<String>,
    /// Numbers of aliases by the index of the token that declares them.
    pub(super) declared: BTreeMap<usize, usize>,
    next_number: usize,
}

impl Aliases {
    fn add_table(&mut self, name: &str, index: usize) {
        let next = self.next_number;
        let number = *self.tables.entry(plain_name(name)).or_insert(next);
        self.declare(number, index);
    }

    fn add_derived(&mut self, name: &str, index: usize) {
        self.add_table(name, index);
        self.derived.insert(plain_name(name));
    }

    fn add_column(&mut self, name: &str, index: usize) {
        let next = self.next_number;
        let number = *self.columns.entry(plain_name(name)).or_insert(next);
        self.declare(number, index);
    }

    fn declare(&mut self, number: usize, index: usize) {
        if number == self.next_number {
            self.next_number += 1;
        }
        self.declared.insert(index, number);
    }

    fn is_full(&self) -> bool {
        self.next_number >= MAX_ALIASES
    }
}

/// Finds aliases by their positions: after a table or a closing bracket in a FROM list, after AS (except in a
/// cast), and as names of common table expressions.
pub(super) fn find_aliases(parts: &[SourceToken]) -> Aliases {
    let mut finder =
        AliasFinder { parts, aliases: Aliases::default(), open_casts: Vec::new(), in_from: vec![false] };
    let mut index = 0;
    while index < parts.len() && !finder.aliases.is_full() {
        index = finder.step(index) + 1;
    }
    finder.aliases
}

/// State of one pass over the tokens of a statement.
struct AliasFinder<'a> {
    parts: &'a [SourceToken<'a>],
    aliases: Aliases,
    /// For each open bracket, whether it holds the arguments of a cast.
    open_casts: Vec<bool>,
    /// Whether the current token is in a FROM list: at the top level, then inside each open bracket.
    in_from: Vec<bool>,
}

impl AliasFinder<'_> {
    /// Handles the token at `index` and possibly some after it. Returns the index of the last token handled.
    fn step(&mut self, index: usize) -> usize {
        let part = &self.parts[index];
        if part.is_symbol("(") {
            let is_cast = index > 0 && self.parts[index - 1].is_any_of(CAST_FUNCTIONS);
            self.open_casts.push(is_cast);
            self.in_from.push(false);
            index
        } else if part.is_symbol(")") {
            self.close_bracket(index)
        } else if self.begins_cte(index) {
            self.add_cte(index + 1);
            index
        } else if part.is_word("as") && !self.is_in_cast() {
            self.add_explicit_alias(index)
        } else if part.is_any_of(TABLE_KEYWORDS) || part.is_symbol(",") && self.is_in_from() {
            if part.is_any_of(BEGIN_TABLE_LIST) {
                self.set_in_from(true);
            }
            self.add_table_alias(index + 1).saturating_sub(1).max(index)
        } else {
            // ON ends the list of tables, too; another JOIN begins a new one.
            if part.is_any_of(END_TABLE_LIST) {
                self.set_in_from(false);
            }
            index
        }
    }

    fn is_in_from(&self) -> bool {
        self.in_from.last().is_some_and(|in_from| *in_from)
    }

    fn set_in_from(&mut self, in_from: bool) {
        if let Some(innermost) = self.in_from.last_mut() {
            *innermost = in_from;
        }
    }

    fn is_in_cast(&self) -> bool {
        self.open_casts.last().is_some_and(|is_cast| *is_cast)
    }

    /// Handles a closing bracket, which the alias of a sub-select or function may follow in a FROM list.
    /// Returns the index of the last token handled.
    fn close_bracket(&mut self, index: usize) -> usize {
        self.open_casts.pop();
        if self.in_from.len() > 1 {
            self.in_from.pop();
        }
        let next = self.parts.get(index + 1).filter(|next| next.is_name() && !next.is_any_of(NOT_ALIASES));
        match next {
            Some(alias) if self.is_in_from() => {
                self.aliases.add_derived(alias.raw, index + 1);
                index + 1
            }
            _ => index,
        }
    }

    /// Whether the token at `index` is followed by a common table expression: it is WITH, or the comma
    /// between two such expressions.
    fn begins_cte(&self, index: usize) -> bool {
        let part = &self.parts[index];
        let is_with = part.is_word("with")
            && !self.parts.get(index + 1).is_some_and(|next| next.is_any_of(NOT_CTE_NAMES));
        is_with || part.is_symbol(",") && self.is_cte_at(index + 1)
    }

    /// Whether a common table expression begins at `index`: a name, optional columns, AS, and a bracket or
    /// `[NOT] MATERIALIZED`.
    fn is_cte_at(&self, index: usize) -> bool {
        if !self.parts.get(index).is_some_and(SourceToken::is_name) {
            return false;
        }
        let mut position = index + 1;
        if self.parts.get(position).is_some_and(|part| part.is_symbol("(")) {
            while position < self.parts.len() && !self.parts[position].is_symbol(")") {
                position += 1;
            }
            position += 1;
        }
        let begins_body =
            |part: &SourceToken| part.is_symbol("(") || part.is_any_of(&["materialized", "not"]);
        self.parts.get(position).is_some_and(|part| part.is_word("as"))
            && self.parts.get(position + 1).is_some_and(begins_body)
    }

    fn add_cte(&mut self, index: usize) {
        let is_recursive = self.parts.get(index).is_some_and(|part| part.is_word("recursive"));
        let index = index + usize::from(is_recursive);
        if let Some(name) = self.parts.get(index).filter(|part| part.is_name()) {
            self.aliases.add_derived(name.raw, index);
        }
    }

    /// Adds the alias after AS: in a FROM list the alias is that of a sub-select, elsewhere that of a column.
    /// Returns the index of the last token handled.
    fn add_explicit_alias(&mut self, index: usize) -> usize {
        let next =
            self.parts.get(index + 1).filter(|next| next.is_name() && !next.is_any_of(NOT_ALIASES_AFTER_AS));
        let Some(alias) = next else { return index };
        if self.is_in_from() {
            self.aliases.add_derived(alias.raw, index + 1);
        } else {
            self.aliases.add_column(alias.raw, index + 1);
        }
        index + 1
    }

    /// Skips the name of a table that begins at `start` and adds the alias after the name. Returns the index
    /// after the name and the alias.
    fn add_table_alias(&mut self, start: usize) -> usize {
        let parts = self.parts;
        let mut index = start;
        while parts.get(index).is_some_and(|part| part.is_any_of(TABLE_PREFIXES)) {
            index += 1;
        }
        let Some(first) = parts.get(index) else { return index };
        if !first.is_name() || first.is_any_of(NOT_TABLE_NAMES) {
            return index;
        }
        index += 1;
        while parts.get(index).is_some_and(|part| part.is_symbol("."))
            && parts.get(index + 1).is_some_and(SourceToken::is_name)
        {
            index += 2;
        }
        if parts.get(index).is_some_and(|part| part.is_symbol("*")) {
            index += 1;
        }
        let has_as = parts.get(index).is_some_and(|part| part.is_word("as"));
        let alias_index = index + usize::from(has_as);
        match parts.get(alias_index) {
            Some(alias) if alias.is_name() && (has_as || !alias.is_any_of(NOT_ALIASES)) => {
                self.aliases.add_table(alias.raw, alias_index);
                alias_index + 1
            }
            _ => index,
        }
    }
}
