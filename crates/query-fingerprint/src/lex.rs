//! A lexer of PostgreSQL's SQL that accepts any text: each byte belongs to exactly one token. Only comments
//! nest, and their depth is counted without recursion.

/// The kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A keyword or an identifier without quotes.
    Word,
    /// An identifier in double quotes, with the quotes.
    QuotedIdentifier,
    /// A string literal of any form, with its quotes and prefix.
    StringLiteral,
    /// A number without its sign.
    Number,
    /// A parameter such as `$1`.
    Parameter,
    /// One of `( ) [ ] , ; .`, or a single character that begins no other token.
    Punctuation,
    /// An operator of one character or more.
    Operator,
    /// White space of any kind, or a comment.
    Trivia,
}

/// A token by its byte offsets in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Kind of the token.
    pub kind: TokenKind,
    /// Offset of the first byte in the text.
    pub start: usize,
    /// Offset after the last byte in the text.
    pub end: usize,
}

/// Characters of operators. The sign of a number is an operator, too; [`crate::normal`] recognises signs.
const OPERATORS: &[u8] = b"+-*/<>=~!@#%^&|`?:";

/// Whether a character is white space, in ASCII or Unicode: also no-break, ideographic and zero-width spaces,
/// line and paragraph separators, and the byte order mark.
pub fn is_space(c: char) -> bool {
    c.is_whitespace() || matches!(c, '\u{feff}' | '\u{200b}' | '\u{2060}' | '\u{180e}')
}

/// Whether an identifier may begin with this byte.
fn begins_name(byte: u8) -> bool {
    byte.is_ascii_alphabetic() || byte == b'_' || byte >= 0x80
}

/// Whether an identifier may contain this byte after its first byte.
fn continues_name(byte: u8) -> bool {
    begins_name(byte) || byte.is_ascii_digit() || byte == b'$'
}

/// The token that begins at the byte offset `start`; `None` at the end of the text. A comment or quoted text
/// that is not closed extends to the end of the text.
pub fn token(text: &str, start: usize) -> Option<Token> {
    let bytes = text.as_bytes();
    let first = *bytes.get(start)?;
    let second = bytes.get(start + 1).copied();
    let third = bytes.get(start + 2).copied();
    let (kind, end) = match (first, second) {
        (byte, _) if byte.is_ascii_whitespace() => (TokenKind::Trivia, ascii_space_end(bytes, start)),
        (b'-', Some(b'-')) => (TokenKind::Trivia, line_comment_end(bytes, start)),
        (b'/', Some(b'*')) => (TokenKind::Trivia, block_comment_end(bytes, start)),
        (b'\'', _) => (TokenKind::StringLiteral, quoted_end(bytes, start, Escapes::None)),
        (b'"', _) => (TokenKind::QuotedIdentifier, quoted_end(bytes, start, Escapes::None)),
        (b'e' | b'E', Some(b'\'')) => {
            (TokenKind::StringLiteral, quoted_end(bytes, start + 1, Escapes::Backslash))
        }
        (b'b' | b'B' | b'x' | b'X' | b'n' | b'N', Some(b'\'')) => {
            (TokenKind::StringLiteral, quoted_end(bytes, start + 1, Escapes::None))
        }
        (b'u' | b'U', Some(b'&')) if third == Some(b'\'') => {
            (TokenKind::StringLiteral, quoted_end(bytes, start + 2, Escapes::None))
        }
        (b'u' | b'U', Some(b'&')) if third == Some(b'"') => {
            (TokenKind::QuotedIdentifier, quoted_end(bytes, start + 2, Escapes::None))
        }
        (b'$', _) => dollar_token(bytes, start),
        (byte, _) if byte.is_ascii_digit() => (TokenKind::Number, number_end(bytes, start)),
        (b'.', Some(digit)) if digit.is_ascii_digit() && !is_after_name(bytes, start) => {
            (TokenKind::Number, number_end(bytes, start))
        }
        (byte, _) if begins_name(byte) => name_or_space(text.get(start..)?, start),
        (byte, _) if OPERATORS.contains(&byte) => (TokenKind::Operator, operator_end(bytes, start)),
        _ => (TokenKind::Punctuation, start + 1),
    };
    Some(Token { kind, start, end: end.min(bytes.len()) })
}

/// Offset after a sequence of ASCII white space.
fn ascii_space_end(bytes: &[u8], start: usize) -> usize {
    start + bytes[start..].iter().take_while(|byte| byte.is_ascii_whitespace()).count()
}

/// Offset after a comment that ends with its line.
fn line_comment_end(bytes: &[u8], start: usize) -> usize {
    let line_end = bytes[start..].iter().position(|byte| matches!(byte, b'\n' | b'\r'));
    line_end.map_or(bytes.len(), |length| start + length + 1)
}

/// Offset after a comment in `/*` and `*/`, which may contain other such comments.
fn block_comment_end(bytes: &[u8], start: usize) -> usize {
    let mut depth = 0_usize;
    let mut position = start;
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

/// Escape sequences in a quoted text.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escapes {
    None,
    Backslash,
}

/// Offset after a quoted text whose opening quote is at `start`. Neither a doubled nor an escaped quote
/// closes it.
fn quoted_end(bytes: &[u8], start: usize, escapes: Escapes) -> usize {
    let quote = bytes[start];
    let mut position = start + 1;
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

/// Kind of the token that begins with `$` (a parameter, a text in dollar quotes, or a single `$`), and the
/// offset after it.
fn dollar_token(bytes: &[u8], start: usize) -> (TokenKind, usize) {
    let digits = bytes[start + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > 0 {
        return (TokenKind::Parameter, start + 1 + digits);
    }
    let is_tag_byte = |byte: &&u8| begins_name(**byte) || byte.is_ascii_digit();
    let tag_length = bytes[start + 1..].iter().take_while(is_tag_byte).count();
    if bytes.get(start + 1 + tag_length) != Some(&b'$') {
        return (TokenKind::Punctuation, start + 1);
    }
    let delimiter = &bytes[start..start + tag_length + 2];
    let body = start + delimiter.len();
    let close = bytes[body..].windows(delimiter.len()).position(|window| window == delimiter);
    (TokenKind::StringLiteral, close.map_or(bytes.len(), |offset| body + offset + delimiter.len()))
}

/// Kind of a token that begins with a byte of an identifier, and the offset after it. The token may also be
/// white space beyond ASCII, whose bytes are in the same range.
fn name_or_space(rest: &str, start: usize) -> (TokenKind, usize) {
    let is_name_character =
        |c: &char| !is_space(*c) && (!c.is_ascii() || u8::try_from(*c).is_ok_and(continues_name));
    let name_length: usize = rest.chars().take_while(is_name_character).map(char::len_utf8).sum();
    if name_length > 0 {
        return (TokenKind::Word, start + name_length);
    }
    let space_length: usize = rest.chars().take_while(|c| is_space(*c)).map(char::len_utf8).sum();
    (TokenKind::Trivia, start + space_length.max(1))
}

/// Offset after an operator. It ends before a comment, and before `-` or `+`, which may be the sign of a
/// number.
fn operator_end(bytes: &[u8], start: usize) -> usize {
    let mut end = start + 1;
    while bytes.get(end).is_some_and(|byte| OPERATORS.contains(byte) && !matches!(byte, b'-' | b'+')) {
        if bytes[end] == b'/' && bytes.get(end + 1) == Some(&b'*') {
            break;
        }
        end += 1;
    }
    end
}

/// Whether the dot at `start` follows an identifier or a closing bracket, so that the digits after it are not
/// a fraction.
fn is_after_name(bytes: &[u8], start: usize) -> bool {
    start > 0 && (continues_name(bytes[start - 1]) || matches!(bytes[start - 1], b'"' | b')' | b']'))
}

/// Offset after a number: digits with underscores, a fraction, and an exponent with its sign; or a
/// hexadecimal, octal or binary number.
fn number_end(bytes: &[u8], start: usize) -> usize {
    let run_end = |from: usize, belongs: fn(&u8) -> bool| {
        from + bytes.get(from..).map_or(0, |rest| rest.iter().take_while(|byte| belongs(byte)).count())
    };
    let is_digit: fn(&u8) -> bool = |byte| byte.is_ascii_digit() || *byte == b'_';
    if bytes[start] == b'0' && matches!(bytes.get(start + 1), Some(b'x' | b'X' | b'o' | b'O' | b'b' | b'B')) {
        return run_end(start + 2, |byte| byte.is_ascii_alphanumeric() || *byte == b'_');
    }
    let mut end = run_end(start, is_digit);
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

/// Replaces the content of `out` by the tokens of a text, without [`TokenKind::Trivia`]. Returns `false` if
/// there are more than `max_tokens`; `out` then holds the first `max_tokens`.
pub fn tokens(text: &str, max_tokens: usize, out: &mut Vec<Token>) -> bool {
    out.clear();
    let mut offset = 0;
    while let Some(next) = token(text, offset) {
        offset = next.end;
        if next.kind != TokenKind::Trivia {
            if out.len() >= max_tokens {
                return false;
            }
            out.push(next);
        }
    }
    true
}
