//! The normal form of a statement and its fingerprint: what differs only in comments, spacing, case, values, lengths
//! of lists or chosen aliases has one form.

use crate::lex::{tokens, Token, TokenKind};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Longest text that is normalised: a front's longest statement is shorter.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum tokens of it; a longer one has the fingerprint of its head, and is unknown.
pub const MAX_TOKENS: usize = 16 * 1024;
/// Aliases of one statement that are renamed; more keep their names.
const MAX_ALIASES: usize = 64;

/// The fingerprint of a statement: XXH3-64 of its normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Normalises statements; what it works in is used again from one to the next.
#[derive(Debug, Default)]
pub struct Normaliser {
    tokens: Vec<Token>,
    text: String,
    whole: bool,
}

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
/// Words after which a table is named.
pub(crate) const BEFORE_TABLE: &[&str] = &["from", "join", "update", "into", "using", "only", "table"];

/// Words behind WITH that name no common table expression.
const NO_CTE: &[&str] = &["time", "local", "cascaded", "check", "ordinality", "no", "ties"];

/// A token and its text as it stands in the statement.
struct SourceToken<'a> {
    kind: TokenKind,
    raw: &'a str,
}

impl SourceToken<'_> {
    fn is(&self, word: &str) -> bool {
        self.kind == TokenKind::Word && self.raw.eq_ignore_ascii_case(word)
    }
    fn mark(&self, mark: &str) -> bool {
        matches!(self.kind, TokenKind::Mark | TokenKind::Operator) && self.raw == mark
    }
    fn among(&self, words: &[&str]) -> bool {
        self.kind == TokenKind::Word && words.iter().any(|w| self.raw.eq_ignore_ascii_case(w))
    }
    fn is_name(&self) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::Quoted)
    }
}

/// A name as it is known: without quotes where they change nothing, in lower case where there are none.
pub fn plain_name(raw: &str) -> String {
    match raw.strip_prefix('"').and_then(|r| r.strip_suffix('"')) {
        Some(inner) => inner.replace("\"\"", "\""),
        None => raw.to_lowercase(),
    }
}

impl Normaliser {
    /// The fingerprint of a statement. Of what is longer than [`MAX_TEXT_BYTES`] or [`MAX_TOKENS`] only the head
    /// counts, and [`whole`](Normaliser::whole) is false.
    pub fn fingerprint(&mut self, statement: &str) -> Fingerprint {
        let mut end = statement.len().min(MAX_TEXT_BYTES);
        while !statement.is_char_boundary(end) {
            end -= 1;
        }
        let head = &statement[..end];
        self.whole = tokens(head, MAX_TOKENS, &mut self.tokens) && end == statement.len();
        let parts: Vec<SourceToken> =
            self.tokens.iter().map(|t| SourceToken { kind: t.kind, raw: &head[t.at..t.end] }).collect();
        let names = aliases(&parts);
        self.text.clear();
        write(&parts, &names, &mut self.text);
        Fingerprint(xxh3_64(self.text.as_bytes()))
    }

    /// The normal form of the statement last taken.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether all of it was taken.
    pub fn whole(&self) -> bool {
        self.whole
    }
}

/// Aliases of tables, common table expressions and columns, each with its number in order of first sight.
#[derive(Default)]
struct Aliases {
    tables: BTreeMap<String, usize>,
    columns: BTreeMap<String, usize>,
    /// Those of them that stand for a sub-select: their columns may have aliases, too.
    derived: BTreeSet<String>,
    /// Places of tokens that name an alias where it is made.
    made: BTreeMap<usize, usize>,
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
fn aliases(parts: &[SourceToken]) -> Aliases {
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

/// What a literal becomes.
const VALUE: &str = "?";

fn write(parts: &[SourceToken], names: &Aliases, out: &mut String) {
    let mut i = 0;
    // Where the words of the present list of values began in `out`: IN, VALUES and ARRAY.
    let mut tail = false;
    while i < parts.len() {
        let p = &parts[i];
        if p.mark(";") && parts[i..].iter().all(|p| p.mark(";")) {
            break;
        }
        if let Some(end) = folded(parts, i) {
            put(out, if parts[i].mark("[") { "[?]" } else { "(?)" });
            i = end;
            continue;
        }
        tail |= p.among(&["order", "group", "having"]);
        if p.among(&["from", "where"]) {
            tail = false;
        }
        match p.kind {
            TokenKind::Text | TokenKind::Number | TokenKind::Parameter => put(out, VALUE),
            TokenKind::Operator if sign(parts, i) => {}
            TokenKind::Operator | TokenKind::Mark => put(out, p.raw),
            TokenKind::Word | TokenKind::Quoted => word(parts, i, names, tail, out),
            TokenKind::Blank => {}
        }
        // AS before an alias is as good as none.
        i += 1;
    }
}

fn put(out: &mut String, text: &str) {
    if !out.is_empty() {
        out.push(' ');
    }
    out.push_str(text);
}

fn word(parts: &[SourceToken], i: usize, names: &Aliases, tail: bool, out: &mut String) {
    let p = &parts[i];
    if p.is("as") && names.made.contains_key(&(i + 1)) {
        return;
    }
    let before = i.checked_sub(1).map(|k| &parts[k]);
    let behind = parts.get(i + 1);
    if let Some(number) = names.made.get(&i) {
        return put(out, &format!("a{number}"));
    }
    let value = p.among(&["null", "true", "false"]);
    let tested = before.is_some_and(|b| b.among(&["is", "not", "distinct", "from"]));
    if value && !tested {
        return put(out, VALUE);
    }
    let name = plain_name(p.raw);
    let qualified = before.is_some_and(|b| b.mark("."));
    let table = names.tables.get(&name).filter(|_| !qualified);
    let used =
        behind.is_some_and(|b| b.mark(".")) || before.is_some_and(|b| b.among(BEFORE_TABLE) || b.mark(","));
    if let Some(number) = table.filter(|_| used) {
        return put(out, &format!("a{number}"));
    }
    let of_derived = qualified && i >= 2 && names.derived.contains(&plain_name(parts[i - 2].raw));
    if let Some(number) = names.columns.get(&name).filter(|_| of_derived) {
        return put(out, &format!("a{number}"));
    }
    let column = names
        .columns
        .get(&name)
        .filter(|_| tail && !qualified && !behind.is_some_and(|b| b.mark("(") || b.mark(".")));
    if let Some(number) = column {
        return put(out, &format!("a{number}"));
    }
    // Quotes that change nothing are no difference; those that keep a case or a character do.
    let simple = name
        .chars()
        .enumerate()
        .all(|(k, c)| c == '_' || c.is_alphabetic() && !c.is_uppercase() || k > 0 && c.is_ascii_digit());
    if p.kind == TokenKind::Quoted && (!simple || name.is_empty()) {
        return put(out, &format!("\"{name}\""));
    }
    put(out, &name);
}

/// Whether an operator at `i` is the sign of a number: nothing stands before it that it could join.
fn sign(parts: &[SourceToken], i: usize) -> bool {
    if !matches!(parts[i].raw, "-" | "+")
        || !parts.get(i + 1).is_some_and(|n| matches!(n.kind, TokenKind::Number | TokenKind::Operator))
    {
        return false;
    }
    if parts[i + 1].kind == TokenKind::Operator && !sign(parts, i + 1) {
        return false;
    }
    match i.checked_sub(1).map(|k| &parts[k]) {
        None => true,
        Some(b) if b.kind == TokenKind::Operator => !b.raw.ends_with("::"),
        Some(b) if b.kind == TokenKind::Mark => matches!(b.raw, "(" | "[" | "," | ";"),
        Some(b) => b.among(&[
            "select",
            "where",
            "and",
            "or",
            "not",
            "in",
            "between",
            "when",
            "then",
            "else",
            "by",
            "limit",
            "offset",
            "values",
            "set",
            "on",
            "having",
            "like",
            "return",
            "returning",
            "case",
            "distinct",
            "all",
            "any",
        ]),
    }
}

/// A list of values that is folded into one: `(…)` behind IN and VALUES, with its further rows, and `[…]`. The place
/// behind it.
fn folded(parts: &[SourceToken], i: usize) -> Option<usize> {
    let array = parts[i].mark("[");
    let before = i.checked_sub(1).map(|k| &parts[k])?;
    if !(array && before.is("array") || parts[i].mark("(") && before.among(&["in", "values"])) {
        return None;
    }
    let mut end = list(parts, i)?;
    // Further rows.
    while before.is("values")
        && parts.get(end).is_some_and(|p| p.mark(","))
        && parts.get(end + 1).is_some_and(|p| p.mark("("))
    {
        match list(parts, end + 1) {
            Some(e) => end = e,
            None => break,
        }
    }
    Some(end)
}

/// The place behind a bracket that holds values only.
fn list(parts: &[SourceToken], open: usize) -> Option<usize> {
    let close = if parts[open].mark("[") { "]" } else { ")" };
    let mut i = open + 1;
    let mut values = 0;
    while let Some(p) = parts.get(i) {
        if p.mark(close) {
            return (values > 0).then_some(i + 1);
        }
        let value = matches!(p.kind, TokenKind::Text | TokenKind::Number | TokenKind::Parameter)
            || p.among(&["null", "true", "false", "default"])
            || p.kind == TokenKind::Operator && sign(parts, i);
        if !value && !p.mark(",") {
            return None;
        }
        values += usize::from(value);
        i += 1;
    }
    None
}
