//! The normal form of a statement and its fingerprint: what differs only in comments, spacing, case, values, lengths
//! of lists or chosen aliases has one form.

mod aliases;

use crate::lex::{tokens, Token, TokenKind};
use aliases::{find_aliases, Aliases};
use xxhash_rust::xxh3::xxh3_64;

/// Longest text that is normalised: a front's longest statement is shorter.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum tokens of it; a longer one has the fingerprint of its head, and is unknown.
pub const MAX_TOKENS: usize = 16 * 1024;

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

/// Words after which a table is named.
pub(crate) const BEFORE_TABLE: &[&str] = &["from", "join", "update", "into", "using", "only", "table"];

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
        let names = find_aliases(&parts);
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
