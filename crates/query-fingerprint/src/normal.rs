//! The normal form of a statement and its fingerprint: what differs only in comments, spacing, case, values, lengths
//! of lists or chosen aliases has one form.

mod aliases;

use crate::lex::{tokens, Token, TokenKind};
use aliases::{find_aliases, Aliases};
use xxhash_rust::xxh3::xxh3_64;

/// Length of the longest text that is normalised, in bytes: the longest statement that clients may send is shorter.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum number of its tokens; a longer text has the fingerprint of its head, and its facts are unknown.
pub const MAX_TOKENS: usize = 16 * 1024;

/// The fingerprint of a statement: XXH3-64 of its normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Normalises statements; its buffers are reused from one to the next.
#[derive(Debug, Default)]
pub struct Normaliser {
    tokens: Vec<Token>,
    text: String,
    is_complete: bool,
}

/// Words after which a table is named.
pub(crate) const BEFORE_TABLE: &[&str] = &["from", "join", "update", "into", "using", "only", "table"];

/// A token and its text in the statement.
struct SourceToken<'a> {
    kind: TokenKind,
    raw: &'a str,
}

impl SourceToken<'_> {
    fn is(&self, word: &str) -> bool {
        self.kind == TokenKind::Word && self.raw.eq_ignore_ascii_case(word)
    }

    fn is_mark(&self, mark: &str) -> bool {
        matches!(self.kind, TokenKind::Punctuation | TokenKind::Operator) && self.raw == mark
    }

    fn is_any_of(&self, words: &[&str]) -> bool {
        words.iter().any(|word| self.is(word))
    }

    fn is_name(&self) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::QuotedIdentifier)
    }
}

/// A name as PostgreSQL resolves it: without its quotes, or in lower case where it has none.
pub fn plain_name(raw: &str) -> String {
    match raw.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(inner) => inner.replace("\"\"", "\""),
        None => raw.to_lowercase(),
    }
}

impl Normaliser {
    /// The fingerprint of a statement. Of what is longer than [`MAX_TEXT_BYTES`] or [`MAX_TOKENS`] only the head
    /// counts, and [`is_complete`](Normaliser::is_complete) is false.
    pub fn fingerprint(&mut self, statement: &str) -> Fingerprint {
        let mut end = statement.len().min(MAX_TEXT_BYTES);
        while !statement.is_char_boundary(end) {
            end -= 1;
        }
        let head = &statement[..end];
        self.is_complete = tokens(head, MAX_TOKENS, &mut self.tokens) && end == statement.len();
        let parts: Vec<SourceToken> = self
            .tokens
            .iter()
            .map(|token| SourceToken { kind: token.kind, raw: &head[token.at..token.end] })
            .collect();
        let aliases = find_aliases(&parts);
        self.text.clear();
        write(&parts, &aliases, &mut self.text);
        Fingerprint(xxh3_64(self.text.as_bytes()))
    }

    /// The normal form of the last statement.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether the normal form covers the last statement completely.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }
}

/// The placeholder for a literal.
const VALUE: &str = "?";
/// Keywords that are literals.
const LITERAL_KEYWORDS: &[&str] = &["null", "true", "false"];
/// Words after which NULL, TRUE or FALSE is part of a test such as IS NOT NULL, and no value.
const BEFORE_TEST: &[&str] = &["is", "not", "distinct", "from"];
/// Words that begin the clauses in which aliases of columns may be used.
const ALIAS_CLAUSES: &[&str] = &["order", "group", "having"];
/// Words after which `-` or `+` is the sign of a number.
const BEFORE_SIGN: &[&str] = &[
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
];

/// Writes the normal form.
fn write(parts: &[SourceToken], aliases: &Aliases, out: &mut String) {
    let mut index = 0;
    let mut may_use_column_aliases = false;
    while index < parts.len() {
        let part = &parts[index];
        if part.is_mark(";") && parts[index..].iter().all(|rest| rest.is_mark(";")) {
            break;
        }
        if let Some(end) = folded_list_end(parts, index) {
            push(out, if part.is_mark("[") { "[?]" } else { "(?)" });
            index = end;
            continue;
        }
        if part.is_any_of(ALIAS_CLAUSES) {
            may_use_column_aliases = true;
        } else if part.is_any_of(&["from", "where"]) {
            may_use_column_aliases = false;
        }
        match part.kind {
            TokenKind::StringLiteral | TokenKind::Number | TokenKind::Parameter => push(out, VALUE),
            TokenKind::Operator if is_sign(parts, index) => {}
            TokenKind::Operator | TokenKind::Punctuation => push(out, part.raw),
            TokenKind::Word | TokenKind::QuotedIdentifier => {
                write_name(parts, index, aliases, may_use_column_aliases, out);
            }
            TokenKind::Trivia => {}
        }
        index += 1;
    }
}

/// Appends a token, separated by a space.
fn push(out: &mut String, text: &str) {
    if !out.is_empty() {
        out.push(' ');
    }
    out.push_str(text);
}

/// Writes a word or a name: an alias as its number, a literal as the placeholder. AS before an alias is left out.
fn write_name(
    parts: &[SourceToken],
    index: usize,
    aliases: &Aliases,
    may_use_column_aliases: bool,
    out: &mut String,
) {
    let part = &parts[index];
    if part.is("as") && aliases.declared.contains_key(&(index + 1)) {
        return;
    }
    if let Some(number) = aliases.declared.get(&index) {
        push(out, &alias_text(*number));
        return;
    }
    let previous = index.checked_sub(1).map(|before| &parts[before]);
    let is_test = previous.is_some_and(|previous| previous.is_any_of(BEFORE_TEST));
    if part.is_any_of(LITERAL_KEYWORDS) && !is_test {
        push(out, VALUE);
        return;
    }
    let name = plain_name(part.raw);
    if let Some(number) = used_alias(parts, index, &name, aliases, may_use_column_aliases) {
        push(out, &alias_text(number));
        return;
    }
    if part.kind == TokenKind::QuotedIdentifier && !is_plain_identifier(&name) {
        push(out, &format!("\"{name}\""));
    } else {
        push(out, &name);
    }
}

/// An alias in the normal form.
fn alias_text(number: usize) -> String {
    format!("a{number}")
}

/// The number of the alias that a name at `index` refers to, if it refers to one.
fn used_alias(
    parts: &[SourceToken],
    index: usize,
    name: &str,
    aliases: &Aliases,
    may_use_column_aliases: bool,
) -> Option<usize> {
    let previous = index.checked_sub(1).map(|before| &parts[before]);
    let next = parts.get(index + 1);
    let is_qualified = previous.is_some_and(|previous| previous.is_mark("."));
    let is_qualifier = next.is_some_and(|next| next.is_mark("."));
    let is_call = next.is_some_and(|next| next.is_mark("("));
    let names_table = is_qualifier
        || previous.is_some_and(|previous| previous.is_any_of(BEFORE_TABLE) || previous.is_mark(","));
    if names_table && !is_qualified {
        if let Some(number) = aliases.tables.get(name) {
            return Some(*number);
        }
    }
    let is_of_derived =
        is_qualified && index >= 2 && aliases.derived.contains(&plain_name(parts[index - 2].raw));
    let is_sort_or_group_key = may_use_column_aliases && !is_qualified && !is_call && !is_qualifier;
    if is_of_derived || is_sort_or_group_key {
        return aliases.columns.get(name).copied();
    }
    None
}

/// Whether a name is the same with and without quotes: they preserve neither case nor a special character.
fn is_plain_identifier(name: &str) -> bool {
    let is_plain = |(position, c): (usize, char)| {
        c == '_' || c.is_alphabetic() && !c.is_uppercase() || position > 0 && c.is_ascii_digit()
    };
    !name.is_empty() && name.chars().enumerate().all(is_plain)
}

/// Whether an operator at `index` is the sign of a number: there is nothing before it that it could join.
fn is_sign(parts: &[SourceToken], index: usize) -> bool {
    if !matches!(parts[index].raw, "-" | "+") {
        return false;
    }
    let is_followed_by_number = match parts.get(index + 1).map(|next| next.kind) {
        Some(TokenKind::Number) => true,
        Some(TokenKind::Operator) => is_sign(parts, index + 1),
        _ => false,
    };
    if !is_followed_by_number {
        return false;
    }
    match index.checked_sub(1).map(|before| &parts[before]) {
        None => true,
        Some(previous) if previous.kind == TokenKind::Operator => !previous.raw.ends_with("::"),
        Some(previous) if previous.kind == TokenKind::Punctuation => {
            matches!(previous.raw, "(" | "[" | "," | ";")
        }
        Some(previous) => previous.is_any_of(BEFORE_SIGN),
    }
}

/// The position behind a list of values that is folded into one: `(…)` behind IN and VALUES, with its further rows, and
/// `[…]` behind ARRAY.
fn folded_list_end(parts: &[SourceToken], index: usize) -> Option<usize> {
    let previous = &parts[index.checked_sub(1)?];
    let is_array = parts[index].is_mark("[") && previous.is("array");
    let is_list = parts[index].is_mark("(") && previous.is_any_of(&["in", "values"]);
    if !is_array && !is_list {
        return None;
    }
    let mut end = value_list_end(parts, index)?;
    let has_rows = previous.is("values");
    while has_rows
        && parts.get(end).is_some_and(|part| part.is_mark(","))
        && parts.get(end + 1).is_some_and(|part| part.is_mark("("))
    {
        match value_list_end(parts, end + 1) {
            Some(row_end) => end = row_end,
            None => break,
        }
    }
    Some(end)
}

/// The position behind a bracket that holds values only, and at least one.
fn value_list_end(parts: &[SourceToken], open: usize) -> Option<usize> {
    let close = if parts[open].is_mark("[") { "]" } else { ")" };
    let mut has_value = false;
    for (index, part) in parts.iter().enumerate().skip(open + 1) {
        if part.is_mark(close) {
            return has_value.then_some(index + 1);
        }
        let is_value =
            matches!(part.kind, TokenKind::StringLiteral | TokenKind::Number | TokenKind::Parameter)
                || part.is_any_of(LITERAL_KEYWORDS)
                || part.is("default")
                || part.kind == TokenKind::Operator && is_sign(parts, index);
        if !is_value && !part.is_mark(",") {
            return None;
        }
        has_value |= is_value;
    }
    None
}
