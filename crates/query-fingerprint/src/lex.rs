//! A bounded lexer of PostgreSQL's SQL: every byte of a text belongs to one token, whatever the bytes; only comments nest,
//! and those are counted without recursion.

/// The kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword or a name without quotes.
    Word,
    /// An identifier in double quotes, with the quotes.
    QuotedIdentifier,
    /// A string literal of any form, with its quotes and prefix.
    StringLiteral,
    /// A number, without sign.
    Number,
    /// `$1` and the like.
    Parameter,
    /// One of `( ) [ ] , ; .`, or a single character that begins no other token.
    Punctuation,
    /// An operator of one character or more.
    Operator,
    /// White space of any kind, or a comment.
    Trivia,
}

/// A token, by its position in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its kind.
    pub kind: TokenKind,
    /// Position of its first byte.
    pub at: usize,
    /// Position behind its last byte.
    pub end: usize,
}

/// Characters of operators. A `-` before a digit is an operator, too: the normaliser recognises signs.
const OPERATORS: &[u8] = b"+-*/<>=~!@#%^&|`?:";

/// Whether a character is white space, within ASCII or beyond it: no-break and ideographic spaces, line and paragraph
/// separators, the byte order mark.
pub fn is_space(c: char) -> bool {
    c.is_whitespace() || matches!(c, '\u{feff}' | '\u{200b}' | '\u{2060}' | '\u{180e}')
}

/// Whether a name may begin with this byte.
fn begins_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Whether a name may contain this byte behind its first.
fn continues_name(byte: u8) -> bool {
    begins_name(byte) || byte.is_ascii_digit() || byte == b'$'
}

/// The token that begins at `at`; `None` at the end of the text. A comment or quoted text that is not closed extends to
/// the end.
pub fn token(text: &str, at: usize) -> Option<Token> {
    let bytes = text.as_bytes();
    let first = *bytes.get(at)?;
    let second = bytes.get(at + 1).copied();
    let third = bytes.get(at + 2).copied();
    let (kind, end) = match (first, second) {
        (byte, _) if byte.is_ascii_whitespace() => (TokenKind::Trivia, ascii_space_end(bytes, at)),
        (b'-', Some(b'-')) => (TokenKind::Trivia, line_comment_end(bytes, at)),
        (b'/', Some(b'*')) => (TokenKind::Trivia, block_comment_end(bytes, at)),
        (b'\'', _) => (TokenKind::StringLiteral, quoted_end(bytes, at, Escapes::None)),
        (b'"', _) => (TokenKind::QuotedIdentifier, quoted_end(bytes, at, Escapes::None)),
        (b'e' | b'E', Some(b'\'')) => {
            (TokenKind::StringLiteral, quoted_end(bytes, at + 1, Escapes::Backslash))
        }
        (b'b' | b'B' | b'x' | b'X' | b'n' | b'N', Some(b'\'')) => {
            (TokenKind::StringLiteral, quoted_end(bytes, at + 1, Escapes::None))
        }
        (b'u' | b'U', Some(b'&')) if third == Some(b'\'') => {
            (TokenKind::StringLiteral, quoted_end(bytes, at + 2, Escapes::None))
        }
        (b'u' | b'U', Some(b'&')) if third == Some(b'"') => {
            (TokenKind::QuotedIdentifier, quoted_end(bytes, at + 2, Escapes::None))
        }
        (b'$', _) => dollar(bytes, at),
        (byte, _) if byte.is_ascii_digit() => (TokenKind::Number, number_end(bytes, at)),
        (b'.', Some(digit)) if digit.is_ascii_digit() && !is_after_name(bytes, at) => {
            (TokenKind::Number, number_end(bytes, at))
        }
        (byte, _) if begins_name(byte) => name_or_space(text.get(at..)?, at),
        (byte, _) if OPERATORS.contains(&byte) => (TokenKind::Operator, operator_end(bytes, at)),
        _ => (TokenKind::Punctuation, at + 1),
    };
    Some(Token { kind, at, end: end.min(bytes.len()) })
}

/// The position behind a run of ASCII white space.
fn ascii_space_end(bytes: &[u8], at: usize) -> usize {
    at + bytes[at..].iter().take_while(|byte| byte.is_ascii_whitespace()).count()
}

/// The position behind a comment that ends with its line.
fn line_comment_end(bytes: &[u8], at: usize) -> usize {
    let line_end = bytes[at..].iter().position(|byte| matches!(byte, b'\n' | b'\r'));
    line_end.map_or(bytes.len(), |length| at + length + 1)
}

/// The position behind a comment in `/*` and `*/`, which may contain others.
fn block_comment_end(bytes: &[u8], at: usize) -> usize {
    let mut depth = 0_usize;
    let mut position = at;
    while position < bytes.len() {
        match bytes.get(position..position + 2) {
            Some(b"/*") => {
                depth += 1;
                position += 2;
            }
            Some(b"*/") => {
                depth -= 1;
                position += 2;
            }
            _ => position += 1,
        }
        if depth == 0 {
            return position;
        }
    }
    bytes.len()
}

/// Whether a quoted text has escapes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escapes {
    None,
    Backslash,
}

/// The position behind a quoted text whose opening quote is at `at`. A doubled quote does not close it, nor does an
/// escaped one.
fn quoted_end(bytes: &[u8], at: usize, escapes: Escapes) -> usize {
    let quote = bytes[at];
    let mut position = at + 1;
    while position < bytes.len() {
        let is_escape = escapes == Escapes::Backslash && bytes[position] == b'\\';
        let is_quote = bytes[position] == quote;
        let is_doubled = is_quote && bytes.get(position + 1) == Some(&quote);
        if is_escape || is_doubled {
            position += 2;
        } else if is_quote {
            return position + 1;
        } else {
            position += 1;
        }
    }
    bytes.len()
}

/// A parameter such as `$1`, a text in dollar quotes, or a single `$`: its kind and the position behind it.
fn dollar(bytes: &[u8], at: usize) -> (TokenKind, usize) {
    let digits = bytes[at + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > 0 {
        return (TokenKind::Parameter, at + 1 + digits);
    }
    let is_tag_byte = |byte: &&u8| begins_name(**byte) || byte.is_ascii_digit();
    let tag_length = bytes[at + 1..].iter().take_while(is_tag_byte).count();
    if bytes.get(at + 1 + tag_length) != Some(&b'$') {
        return (TokenKind::Punctuation, at + 1);
    }
    let delimiter = &bytes[at..at + tag_length + 2];
    let body = at + delimiter.len();
    let close = bytes[body..].windows(delimiter.len()).position(|window| window == delimiter);
    (TokenKind::StringLiteral, close.map_or(bytes.len(), |offset| body + offset + delimiter.len()))
}

/// A keyword or name, or white space beyond ASCII, whose bytes look like those of a name: its kind and the position behind it.
fn name_or_space(rest: &str, at: usize) -> (TokenKind, usize) {
    let is_name_character =
        |c: &char| !is_space(*c) && (!c.is_ascii() || u8::try_from(*c).is_ok_and(continues_name));
    let name: usize = rest.chars().take_while(is_name_character).map(char::len_utf8).sum();
    if name > 0 {
        return (TokenKind::Word, at + name);
    }
    let space: usize = rest.chars().take_while(|c| is_space(*c)).map(char::len_utf8).sum();
    (TokenKind::Trivia, at + space.max(1))
}

/// The position behind an operator. It ends before a comment, and before a sign that a number may have.
fn operator_end(bytes: &[u8], at: usize) -> usize {
    let mut end = at + 1;
    while bytes.get(end).is_some_and(|byte| OPERATORS.contains(byte) && !matches!(byte, b'-' | b'+')) {
        if bytes[end] == b'/' && bytes.get(end + 1) == Some(&b'*') {
            break;
        }
        end += 1;
    }
    end
}

/// Whether a dot at `at` follows a name or a closing bracket, so that what is behind it is no fraction.
fn is_after_name(bytes: &[u8], at: usize) -> bool {
    at > 0 && (continues_name(bytes[at - 1]) || matches!(bytes[at - 1], b'"' | b')' | b']'))
}

/// The position behind a number: digits, a fraction, an exponent with its sign, hexadecimal and underscores.
fn number_end(bytes: &[u8], at: usize) -> usize {
    let run_end = |from: usize, belongs: fn(&u8) -> bool| {
        from + bytes.get(from..).map_or(0, |rest| rest.iter().take_while(|byte| belongs(byte)).count())
    };
    let is_digit: fn(&u8) -> bool = |byte| byte.is_ascii_digit() || *byte == b'_';
    if bytes[at] == b'0' && matches!(bytes.get(at + 1), Some(b'x' | b'X' | b'o' | b'O' | b'b' | b'B')) {
        return run_end(at + 2, |byte| byte.is_ascii_alphanumeric() || *byte == b'_');
    }
    let mut end = run_end(at, is_digit);
    if bytes.get(end) == Some(&b'.') && bytes.get(end + 1) != Some(&b'.') {
        end = run_end(end + 1, is_digit);
    }
    if matches!(bytes.get(end), Some(b'e' | b'E')) {
        let sign = usize::from(matches!(bytes.get(end + 1), Some(b'+' | b'-')));
        if bytes.get(end + 1 + sign).is_some_and(u8::is_ascii_digit) {
            end = run_end(end + 1 + sign, is_digit);
        }
    }
    end
}

/// Replaces the content of `out` by the tokens of a text without blanks; false where there are more than `max_tokens`, of
/// which `out` then holds the first.
pub fn tokens(text: &str, max_tokens: usize, out: &mut Vec<Token>) -> bool {
    out.clear();
    let mut at = 0;
    while let Some(next) = token(text, at) {
        at = next.end;
        if next.kind != TokenKind::Trivia {
            if out.len() >= max_tokens {
                return false;
            }
            out.push(next);
        }
    }
    true
}
