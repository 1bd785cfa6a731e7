//! The project's own lexer of SQL as PostgreSQL writes it: every byte of a text belongs to one token, whatever
//! the bytes; nothing nests but comments, and those are counted, not recursed into.

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// A word: a key word or a name without quotes.
    Word,
    /// A name in double quotes, these included.
    Quoted,
    /// A string of any form, quotes and prefix included.
    Text,
    /// A number, without sign.
    Number,
    /// `$1` and the like.
    Parameter,
    /// One of `( ) [ ] , ; .`, or a single character that is nothing else.
    Mark,
    /// An operator of one character or more.
    Operator,
    /// White space of any kind, or a comment.
    Blank,
}

/// A token: where it stands in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its kind.
    pub kind: TokenKind,
    /// Its first byte.
    pub at: usize,
    /// The byte behind it.
    pub end: usize,
}

/// Characters of operators. A `-` before a digit is one, too: signs are the normaliser's.
const OPERATORS: &[u8] = b"+-*/<>=~!@#%^&|`?:";

/// Whether a character is space though ASCII does not know it: no-break and ideographic spaces, line and
/// paragraph separators, the byte order mark.
pub fn is_space(c: char) -> bool {
    c.is_whitespace() || matches!(c, '\u{feff}' | '\u{200b}' | '\u{2060}' | '\u{180e}')
}

/// Whether a name may begin with this byte.
fn begins_name(c: u8) -> bool {
    c.is_ascii_alphabetic() || c == b'_' || c >= 0x80
}

fn goes_on(c: u8) -> bool {
    begins_name(c) || c.is_ascii_digit() || c == b'$'
}

/// The token that begins at `at`; `None` at the end of the text. What is never closed reaches to the end.
pub fn token(text: &str, at: usize) -> Option<Token> {
    let b = text.as_bytes();
    let first = *b.get(at)?;
    let next = b.get(at + 1).copied();
    let made = |kind, end: usize| Some(Token { kind, at, end: end.min(b.len()) });
    match first {
        c if c.is_ascii_whitespace() => {
            made(TokenKind::Blank, at + b[at..].iter().take_while(|c| c.is_ascii_whitespace()).count())
        }
        b'-' if next == Some(b'-') => made(
            TokenKind::Blank,
            at + b[at..].iter().position(|c| matches!(c, b'\n' | b'\r')).map_or(b.len() - at, |n| n + 1),
        ),
        b'/' if next == Some(b'*') => made(TokenKind::Blank, comment(b, at)),
        b'\'' => made(TokenKind::Text, quoted(b, at, false)),
        b'"' => made(TokenKind::Quoted, quoted(b, at, false)),
        b'e' | b'E' if next == Some(b'\'') => made(TokenKind::Text, quoted(b, at + 1, true)),
        b'b' | b'B' | b'x' | b'X' | b'n' | b'N' if next == Some(b'\'') => {
            made(TokenKind::Text, quoted(b, at + 1, false))
        }
        b'u' | b'U' if next == Some(b'&') && matches!(b.get(at + 2), Some(b'\'')) => {
            made(TokenKind::Text, quoted(b, at + 2, false))
        }
        b'u' | b'U' if next == Some(b'&') && matches!(b.get(at + 2), Some(b'"')) => {
            made(TokenKind::Quoted, quoted(b, at + 2, false))
        }
        b'$' => made_dollar(b, at),
        c if c.is_ascii_digit() => made(TokenKind::Number, number(b, at)),
        b'.' if next.is_some_and(|c| c.is_ascii_digit()) && !after_name(b, at) => {
            made(TokenKind::Number, number(b, at))
        }
        c if begins_name(c) => {
            // White space that ASCII does not know stands among what would else be names.
            let rest = text.get(at..)?;
            let mut end = at;
            for c in rest.chars() {
                if is_space(c) || !c.is_ascii() && c.is_whitespace() || c.is_ascii() && !goes_on(c as u8) {
                    break;
                }
                end += c.len_utf8();
            }
            if end == at {
                let blank: usize = rest.chars().take_while(|c| is_space(*c)).map(char::len_utf8).sum();
                return made(TokenKind::Blank, at + blank.max(1));
            }
            made(TokenKind::Word, end)
        }
        c if OPERATORS.contains(&c) => {
            let mut end = at + 1;
            // An operator ends before a comment, and before a sign that a number may have.
            while b.get(end).is_some_and(|c| OPERATORS.contains(c) && !matches!(c, b'-' | b'+')) {
                if b[end] == b'/' && b.get(end + 1) == Some(&b'*') {
                    break;
                }
                end += 1;
            }
            made(TokenKind::Operator, end)
        }
        _ => made(TokenKind::Mark, at + 1),
    }
}

/// Whether a dot at `at` follows a name or a closing bracket, so that what is behind it is no fraction.
fn after_name(b: &[u8], at: usize) -> bool {
    at > 0 && (goes_on(b[at - 1]) || matches!(b[at - 1], b'"' | b')' | b']'))
}

fn made_dollar(b: &[u8], at: usize) -> Option<Token> {
    let digits = b[at + 1..].iter().take_while(|c| c.is_ascii_digit()).count();
    if digits > 0 {
        return Some(Token { kind: TokenKind::Parameter, at, end: at + 1 + digits });
    }
    let tag = b[at + 1..].iter().take_while(|c| begins_name(**c) || c.is_ascii_digit()).count();
    if b.get(at + 1 + tag) != Some(&b'$') {
        return Some(Token { kind: TokenKind::Mark, at, end: at + 1 });
    }
    let mark = &b[at..at + tag + 2];
    let body = at + mark.len();
    let close = b[body..].windows(mark.len()).position(|w| w == mark);
    Some(Token { kind: TokenKind::Text, at, end: close.map_or(b.len(), |n| body + n + mark.len()) })
}

/// Behind a comment that begins at `at`. Comments nest.
fn comment(b: &[u8], at: usize) -> usize {
    let (mut depth, mut i) = (0_usize, at);
    while i < b.len() {
        match b.get(i..i + 2) {
            Some(b"/*") => (depth, i) = (depth + 1, i + 2),
            Some(b"*/") => (depth, i) = (depth - 1, i + 2),
            _ => i += 1,
        }
        if depth == 0 {
            return i;
        }
    }
    b.len()
}

/// Behind a quoted text whose opening quote stands at `at`; doubled quotes stay inside, and escaped ones where
/// there are escapes.
fn quoted(b: &[u8], at: usize, escapes: bool) -> usize {
    let (quote, mut i) = (b[at], at + 1);
    while i < b.len() {
        if escapes && b[i] == b'\\' || b[i] == quote && b.get(i + 1) == Some(&quote) {
            i += 2;
        } else if b[i] == quote {
            return i + 1;
        } else {
            i += 1;
        }
    }
    b.len()
}

/// Behind a number: digits, a fraction, an exponent with its sign, hexadecimal and underscores.
fn number(b: &[u8], at: usize) -> usize {
    let run = |from: usize, of: fn(&u8) -> bool| {
        from + b.get(from..).map_or(0, |r| r.iter().take_while(|c| of(c)).count())
    };
    let digits: fn(&u8) -> bool = |c| c.is_ascii_digit() || *c == b'_';
    if b[at] == b'0' && matches!(b.get(at + 1), Some(b'x' | b'X' | b'o' | b'O' | b'b' | b'B')) {
        return run(at + 2, |c| c.is_ascii_alphanumeric() || *c == b'_');
    }
    let mut end = run(at, digits);
    if b.get(end) == Some(&b'.') && b.get(end + 1) != Some(&b'.') {
        end = run(end + 1, digits);
    }
    if matches!(b.get(end), Some(b'e' | b'E')) {
        let sign = usize::from(matches!(b.get(end + 1), Some(b'+' | b'-')));
        if b.get(end + 1 + sign).is_some_and(u8::is_ascii_digit) {
            end = run(end + 1 + sign, digits);
        }
    }
    end
}

/// The tokens of a text without blanks, into a vector that is used again; false where there are more than
/// `max_tokens`.
pub fn tokens(text: &str, max_tokens: usize, out: &mut Vec<Token>) -> bool {
    out.clear();
    let mut at = 0;
    while let Some(t) = token(text, at) {
        at = t.end;
        if t.kind != TokenKind::Blank {
            if out.len() >= max_tokens {
                return false;
            }
            out.push(t);
        }
    }
    true
}
