//! The normal form of a statement and its fingerprint. Statements that differ only in comments, spacing,
//! case, values, lengths of lists or names of aliases have the same normal form.

mod aliases;

use crate::lex::{tokens, Token, TokenKind};
use aliases::{find_aliases, Aliases};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a text that is normalised, in bytes: the longest statement that clients may send is
/// shorter.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;
/// Maximum number of tokens that are normalised: a text with more tokens has the fingerprint of its
/// beginning, and its facts are unknown.
pub const MAX_TOKENS: usize = 16 * 1024;

/// The fingerprint of a statement: XXH3-64 of its normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Normalises statements. It reuses its buffers, and keeps the normal form of the last statement.
#[derive(Debug, Default)]
pub struct Normaliser {
    tokens: Vec<Token>,
    text: String,
    is_complete: bool,
}

/// Keywords that are followed by the name of a table.
pub(crate) const TABLE_KEYWORDS: &[&str] = &["from", "join", "update", "into", "using", "only", "table"];

/// A token of a statement with its text.
struct SourceToken<'a> {
    kind: TokenKind,
    /// Text of the token as in the statement.
    raw: &'a str,
}

impl SourceToken<'_> {
    fn is_word(&self, word: &str) -> bool {
        self.kind == TokenKind::Word && self.raw.eq_ignore_ascii_case(word)
    }

    fn is_symbol(&self, symbol: &str) -> bool {
        matches!(self.kind, TokenKind::Punctuation | TokenKind::Operator) && self.raw == symbol
    }

    fn is_any_of(&self, words: &[&str]) -> bool {
        words.iter().any(|word| self.is_word(word))
    }

    fn is_name(&self) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::QuotedIdentifier)
    }
}

/// An identifier as PostgreSQL resolves it: without its quotes, or in lower case if it is not quoted.
pub fn plain_name(raw: &str) -> String {
    match raw.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) {
        Some(inner) => inner.replace("\"\"", "\""),
        None => raw.to_lowercase(),
    }
}

impl Normaliser {
    /// Normalises a statement and returns its fingerprint. If the statement exceeds [`MAX_TEXT_BYTES`] or
    /// [`MAX_TOKENS`], only its beginning is used, and [`is_complete`](Normaliser::is_complete) returns
    /// `false`.
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
            .map(|token| SourceToken { kind: token.kind, raw: &head[token.start..token.end] })
            .collect();
        let aliases = find_aliases(&parts);
        self.text.clear();
        write_normal_form(&parts, &aliases, &mut self.text);
        Fingerprint(xxh3_64(self.text.as_bytes()))
    }

    /// Normal form of the last statement given to [`Normaliser::fingerprint`]; empty before the first one.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether the normal form covers the last statement completely.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }
}

/// Placeholder for a literal.
const PLACEHOLDER: &str = "?";
/// Keywords that are literal values.
const LITERAL_KEYWORDS: &[&str] = &["null", "true", "false"];
/// Keywords after which NULL, TRUE or FALSE is part of a test such as IS NOT NULL and not a value.
const BEFORE_TEST: &[&str] = &["is", "not", "distinct", "from"];
/// Keywords that begin the clauses in which aliases of columns may be used.
const ALIAS_CLAUSES: &[&str] = &["order", "group", "having"];
/// Keywords after which `-` or `+` is the sign of a number.
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

/// Writes the normal form of a statement to `out`.
fn write_normal_form(parts: &[SourceToken], aliases: &Aliases, out: &mut String) {
    let mut index = 0;
    let mut may_use_column_aliases = false;
    while index < parts.len() {
        let part = &parts[index];
        if part.is_symbol(";") && parts[index..].iter().all(|rest| rest.is_symbol(";")) {
            break;
        }
        if let Some(end) = folded_list_end(parts, index) {
            push_token(out, if part.is_symbol("[") { "[?]" } else { "(?)" });
            index = end;
            continue;
        }
        if part.is_any_of(ALIAS_CLAUSES) {
            may_use_column_aliases = true;
        } else if part.is_any_of(&["from", "where"]) {
            may_use_column_aliases = false;
        }
        match part.kind {
            TokenKind::StringLiteral | TokenKind::Number | TokenKind::Parameter => {
                push_token(out, PLACEHOLDER)
            }
            TokenKind::Operator if is_sign(parts, index) => {}
            TokenKind::Operator | TokenKind::Punctuation => push_token(out, part.raw),
            TokenKind::Word | TokenKind::QuotedIdentifier => {
                write_name(parts, index, aliases, may_use_column_aliases, out);
            }
            TokenKind::Trivia => {}
        }
        index += 1;
    }
}

/// Appends a token, separated by a space from the previous one.
fn push_token(out: &mut String, text: &str) {
    if !out.is_empty() {
        out.push(' ');
    }
    out.push_str(text);
}

/// Writes a keyword or an identifier: an alias as its number, a literal as the placeholder. AS before an
/// alias is omitted.
fn write_name(
    parts: &[SourceToken],
    index: usize,
    aliases: &Aliases,
    may_use_column_aliases: bool,
    out: &mut String,
) {
    let part = &parts[index];
    if part.is_word("as") && aliases.declared.contains_key(&(index + 1)) {
        return;
    }
    if let Some(number) = aliases.declared.get(&index) {
        push_token(out, &alias_text(*number));
        return;
    }
    let previous = index.checked_sub(1).map(|previous_index| &parts[previous_index]);
    let is_test = previous.is_some_and(|previous| previous.is_any_of(BEFORE_TEST));
    if part.is_any_of(LITERAL_KEYWORDS) && !is_test {
        push_token(out, PLACEHOLDER);
        return;
    }
    let name = plain_name(part.raw);
    if let Some(number) = referenced_alias(parts, index, &name, aliases, may_use_column_aliases) {
        push_token(out, &alias_text(number));
        return;
    }
    if part.kind == TokenKind::QuotedIdentifier && !is_plain_identifier(&name) {
        push_token(out, &format!("\"{name}\""));
    } else {
        push_token(out, &name);
    }
}

/// Text for an alias in the normal form.
fn alias_text(number: usize) -> String {
    format!("a{number}")
}

/// The number of the alias that the name at `index` refers to; `None` if it does not refer to an alias.
fn referenced_alias(
    parts: &[SourceToken],
    index: usize,
    name: &str,
    aliases: &Aliases,
    may_use_column_aliases: bool,
) -> Option<usize> {
    let previous = index.checked_sub(1).map(|previous_index| &parts[previous_index]);
    let next = parts.get(index + 1);
    let is_qualified = previous.is_some_and(|previous| previous.is_symbol("."));
    let is_qualifier = next.is_some_and(|next| next.is_symbol("."));
    let is_call = next.is_some_and(|next| next.is_symbol("("));
    let names_table = is_qualifier
        || previous.is_some_and(|previous| previous.is_any_of(TABLE_KEYWORDS) || previous.is_symbol(","));
    if names_table && !is_qualified {
        if let Some(number) = aliases.tables.get(name) {
            return Some(*number);
        }
    }
    let is_column_of_sub_select =
        is_qualified && index >= 2 && aliases.derived.contains(&plain_name(parts[index - 2].raw));
    let is_sort_or_group_key = may_use_column_aliases && !is_qualified && !is_call && !is_qualifier;
    if is_column_of_sub_select || is_sort_or_group_key {
        return aliases.columns.get(name).copied();
    }
    None
}

/// Whether a name means the same with and without quotes, since it has neither upper-case letters nor special
/// characters.
fn is_plain_identifier(name: &str) -> bool {
    let is_plain = |(position, c): (usize, char)| {
        c == '_' || c.is_alphabetic() && !c.is_uppercase() || position > 0 && c.is_ascii_digit()
    };
    !name.is_empty() && name.chars().enumerate().all(is_plain)
}

/// Whether the operator at `index` is the sign of a number and not a binary operator: a number follows, and
/// no operand precedes.
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
    match index.checked_sub(1).map(|previous_index| &parts[previous_index]) {
        None => true,
        Some(previous) if previous.kind == TokenKind::Operator => !previous.raw.ends_with("::"),
        Some(previous) if previous.kind == TokenKind::Punctuation => {
            matches!(previous.raw, "(" | "[" | "," | ";")
        }
        Some(previous) => previous.is_any_of(BEFORE_SIGN),
    }
}

/// Index after a list of values that the normal form folds into one value: `(…)` after IN, `(…)` after VALUES
/// including further rows, and `[…]` after ARRAY. `None` if no such list begins at `index`.
fn folded_list_end(parts: &[SourceToken], index: usize) -> Option<usize> {
    let previous = &parts[index.checked_sub(1)?];
    let is_array = parts[index].is_symbol("[") && previous.is_word("array");
    let is_list = parts[index].is_symbol("(") && previous.is_any_of(&["in", "values"]);
    if !is_array && !is_list {
        return None;
    }
    let mut end = value_list_end(parts, index)?;
    let has_rows = previous.is_word("values");
    while has_rows
        && parts.get(end).is_some_and(|part| part.is_symbol(","))
        && parts.get(end + 1).is_some_and(|part| part.is_symbol("("))
    {
        match value_list_end(parts, end + 1) {
            Some(row_end) => end = row_end,
            None => break,
        }
    }
    Some(end)
}

/// Index after the list in brackets that begins at `open`; `None` unless the list holds only values, and at
/// least one.
fn value_list_end(parts: &[SourceToken], open: usize) -> Option<usize> {
    let close = if parts[open].is_symbol("[") { "]" } else { ")" };
    let mut has_value = false;
    for (index, part) in parts.iter().enumerate().skip(open + 1) {
        if part.is_symbol(close) {
            return has_value.then_some(index + 1);
        }
        let is_value =
            matches!(part.kind, TokenKind::StringLiteral | TokenKind::Number | TokenKind::Parameter)
                || part.is_any_of(LITERAL_KEYWORDS)
                || part.is_word("default")
                || part.kind == TokenKind::Operator && is_sign(parts, index);
        if !is_value && !part.is_symbol(",") {
            return None;
        }
        has_value |= is_value;
    }
    None
}
