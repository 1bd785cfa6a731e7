//! Bound parameters as literals that no value can break out of, and statements with them in place.

use super::pg::Fault;
use super::tables::{token, Token};

/// A bound parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Param {
    /// As it stands in a statement.
    pub literal: String,
    /// As it stands in a field; `None` for NULL.
    pub plain: Option<String>,
}

const BOOL: u32 = 16;
const BYTEA: u32 = 17;
const INT8: u32 = 20;
const INT2: u32 = 21;
const INT4: u32 = 23;
const OID: u32 = 26;
const FLOAT4: u32 = 700;
const FLOAT8: u32 = 701;
const DATE: u32 = 1082;
const TIMESTAMP: u32 = 1114;
const TIMESTAMPTZ: u32 = 1184;
const NUMERIC: u32 = 1700;
const UUID: u32 = 2950;
/// Types whose binary form is their text: unknown, json, name, text, char(n), varchar.
const TEXTS: [u32; 7] = [0, 705, 114, 19, super::pg::TEXT, 1042, 1043];
/// Days from 1970 to 2000, where PostgreSQL's dates begin.
const EPOCH_DAYS: i64 = 10_957;

/// Understands a value of a type, in text (0) or binary (1) format; `n` is its number, from 1.
pub fn param(n: usize, kind: u32, format: u16, value: Option<&[u8]>) -> Result<Param, Fault> {
    let Some(bytes) = value else { return Ok(Param { literal: "NULL".into(), plain: None }) };
    let plain = if format == 0 { text(n, bytes)?.to_owned() } else { binary(n, kind, bytes)? };
    let bad = |what: &str| Fault::new("22P02", format!("field parameter ${n} is no {what}"));
    let literal = match kind {
        BOOL => match plain.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" | "y" => "TRUE".into(),
            "f" | "false" | "0" | "off" | "no" | "n" => "FALSE".into(),
            _ => return Err(bad("boolean")),
        },
        INT2 | INT4 | INT8 | OID => {
            number(plain.trim().parse::<i64>().map_err(|_| bad("integer"))?.to_string())
        }
        FLOAT4 | FLOAT8 | NUMERIC => {
            let v = plain.trim();
            v.parse::<f64>().map_err(|_| bad("number"))?;
            let digits = v.bytes().all(|b| b.is_ascii_digit() || b"+-.eE".contains(&b));
            if digits {
                number(v.to_owned())
            } else {
                quote(v)
            }
        }
        _ => quote(&plain),
    };
    Ok(Param { literal, plain: Some(plain) })
}

/// Guards against `- -5` written as `--5`, which begins a comment.
fn number(digits: String) -> String {
    if digits.starts_with(['-', '+']) {
        format!("({digits})")
    } else {
        digits
    }
}

/// A string literal. One with a backslash is written so that it reads the same whether the engine
/// takes backslashes in plain strings for escapes or not.
fn quote(text: &str) -> String {
    let doubled = text.replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}

fn text(n: usize, bytes: &[u8]) -> Result<&str, Fault> {
    let legal = std::str::from_utf8(bytes).ok().filter(|t| !t.contains('\0'));
    legal.ok_or_else(|| Fault::new("22021", format!("field parameter ${n} is not UTF-8 text")))
}

fn binary(n: usize, kind: u32, bytes: &[u8]) -> Result<String, Fault> {
    let short =
        || Fault::new("22P03", format!("field parameter ${n} has no legal length for its type {kind}"));
    fn sized<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
        bytes.try_into().ok()
    }
    let int = || match kind {
        INT2 => sized(bytes).map(|b| i64::from(i16::from_be_bytes(b))),
        INT4 | DATE => sized(bytes).map(|b| i64::from(i32::from_be_bytes(b))),
        OID => sized(bytes).map(|b| i64::from(u32::from_be_bytes(b))),
        _ => sized(bytes).map(i64::from_be_bytes),
    };
    Ok(match kind {
        _ if TEXTS.contains(&kind) => text(n, bytes)?.to_owned(),
        BOOL => match bytes {
            [0] => "f".into(),
            [1] => "t".into(),
            _ => return Err(short()),
        },
        INT2 | INT4 | INT8 | OID => int().ok_or_else(short)?.to_string(),
        FLOAT4 => sized(bytes).map(f32::from_be_bytes).ok_or_else(short)?.to_string(),
        FLOAT8 => sized(bytes).map(f64::from_be_bytes).ok_or_else(short)?.to_string(),
        BYTEA => format!("\\x{}", hex(bytes)),
        UUID => {
            let h = hex(&sized::<16>(bytes).ok_or_else(short)?);
            format!("{}-{}-{}-{}-{}", &h[..8], &h[8..12], &h[12..16], &h[16..20], &h[20..])
        }
        DATE => match int().ok_or_else(short)? {
            v if v == i64::from(i32::MAX) => "infinity".into(),
            v if v == i64::from(i32::MIN) => "-infinity".into(),
            days => date(days),
        },
        TIMESTAMP | TIMESTAMPTZ => match int().ok_or_else(short)? {
            i64::MAX => "infinity".into(),
            i64::MIN => "-infinity".into(),
            micros => {
                let (day, rest) = (micros.div_euclid(86_400_000_000), micros.rem_euclid(86_400_000_000));
                let (s, us) = (rest / 1_000_000, rest % 1_000_000);
                let clock = format!("{:02}:{:02}:{:02}.{us:06}", s / 3600, s / 60 % 60, s % 60);
                let (stamp, era) = (date(day), if kind == TIMESTAMPTZ { "+00" } else { "" });
                match stamp.strip_suffix(" BC") {
                    Some(early) => format!("{early} {clock}{era} BC"),
                    None => format!("{stamp} {clock}{era}"),
                }
            }
        },
        _ => {
            let why = format!("field parameter ${n}: type {kind} is not understood in binary");
            return Err(Fault::new("0A000", why).hint("Bind it as text."));
        }
    })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A day after 2000-01-01 in the Gregorian calendar.
fn date(days: i64) -> String {
    let z = days + EPOCH_DAYS + 719_468;
    let (era, of_era) = (z.div_euclid(146_097), z.rem_euclid(146_097));
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = year + era * 400 + i64::from(month <= 2);
    if year > 0 {
        format!("{year:04}-{month:02}-{day:02}")
    } else {
        format!("{:04}-{month:02}-{day:02} BC", 1 - year)
    }
}

/// The highest parameter that a statement names.
pub fn count(statement: &str) -> usize {
    let (mut rest, mut most) = (statement, 0);
    while let Some((kind, len)) = token(rest) {
        if kind == Token::Parameter {
            most = most.max(rest[1..len].parse().unwrap_or(usize::MAX));
        }
        rest = rest.get(len..).unwrap_or("");
    }
    most
}

/// A statement with its parameters in place; `limit` bytes at most.
pub fn expand(statement: &str, params: &[Param], limit: usize) -> Result<String, Fault> {
    let (mut rest, mut out) = (statement, String::with_capacity(statement.len()));
    while let Some((kind, len)) = token(rest) {
        let (head, tail) = rest.split_at(len.min(rest.len()));
        if kind == Token::Parameter {
            let n = head[1..].parse::<usize>().ok();
            let param = n.and_then(|n| params.get(n.checked_sub(1)?));
            let param = param.ok_or_else(|| Fault::new("42P02", format!("there is no parameter {head}")))?;
            // Guards against a literal that grows together with its neighbours: 'a'$1, or $1and.
            if !out.is_empty() && !out.ends_with([' ', '\t', '\n', '\r', '(', ',']) {
                out.push(' ');
            }
            out.push_str(&param.literal);
            if !tail.is_empty() && !tail.starts_with([' ', '\t', '\n', '\r', ')', ',', ';']) {
                out.push(' ');
            }
        } else {
            out.push_str(head);
        }
        if out.len() > limit {
            return Err(Fault::new(
                "54000",
                format!("a statement with its parameters holds at most {limit} bytes"),
            ));
        }
        rest = tail;
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text_param(v: &str) -> Param {
        param(1, 25, 0, Some(v.as_bytes())).expect("legal")
    }

    /// Guards against values that end their own literal.
    #[test]
    fn no_value_breaks_out_of_its_literal() {
        for v in ["a'b", "'; DROP TABLE x; --", "\\", "\\'", "a\\''", "/*", "$$", "", "$1"] {
            let sql = expand("SELECT $1;", &[text_param(v)], 999).expect("expanded");
            let kinds: Vec<_> = {
                let (mut rest, mut kinds) = (sql.as_str(), Vec::new());
                while let Some((kind, len)) = token(rest) {
                    kinds.push(kind);
                    rest = &rest[len..];
                }
                kinds
            };
            let wanted = [Token::Name, Token::Space, Token::Opaque, Token::Mark];
            assert_eq!(kinds, wanted, "{v:?} gave {sql}");
        }
    }

    #[test]
    fn literals_do_not_grow_together_with_what_stands_by() {
        let five = param(1, INT4, 1, Some(&(-5i32).to_be_bytes())).expect("legal");
        assert_eq!(
            expand("SELECT 1-$1,'a'$2", &[five, text_param("x")], 99).expect("ok"),
            "SELECT 1- (-5),'a' 'x'"
        );
        let quoted = "SELECT '$1', \"$1\", $$ $1 $$ -- $1";
        assert_eq!(expand(quoted, &[], 99).expect("ok"), quoted);
        assert_eq!(count("SELECT $3, '$9' /* $8 */, $1"), 3);
    }

    #[test]
    fn binary_values_are_read() {
        let read = |kind, bytes: &[u8]| param(1, kind, 1, Some(bytes)).map(|p| p.literal);
        assert_eq!(read(BOOL, &[1]).expect("ok"), "TRUE");
        assert_eq!(read(INT8, &7i64.to_be_bytes()).expect("ok"), "7");
        assert_eq!(read(FLOAT8, &1.5f64.to_be_bytes()).expect("ok"), "1.5");
        assert_eq!(read(FLOAT8, &f64::NAN.to_be_bytes()).expect("ok"), "'NaN'");
        assert_eq!(read(DATE, &0i32.to_be_bytes()).expect("ok"), "'2000-01-01'");
        assert_eq!(read(DATE, &(-1i32).to_be_bytes()).expect("ok"), "'1999-12-31'");
        assert_eq!(read(DATE, &9831i32.to_be_bytes()).expect("ok"), "'2026-12-01'");
        let noon = 43_200_000_000i64.to_be_bytes();
        assert_eq!(read(TIMESTAMPTZ, &noon).expect("ok"), "'2000-01-01 12:00:00.000000+00'");
        assert_eq!(read(UUID, &[0xab; 16]).expect("ok"), "'abababab-abab-abab-abab-abababababab'");
        assert_eq!(read(BYTEA, &[0, 255]).expect("ok"), "E'\\\\x00ff'");
        assert_eq!(read(NUMERIC, &[0; 8]).expect_err("unsupported").code, "0A000");
        assert_eq!(read(INT4, &[0; 3]).expect_err("short").code, "22P03");
        assert_eq!(read(25, &[0xff]).expect_err("no text").code, "22021");
        assert_eq!(param(1, INT4, 0, Some(b"x")).expect_err("no number").code, "22P02");
    }
}
