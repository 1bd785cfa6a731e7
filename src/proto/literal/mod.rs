//! Bound parameters as SQL literals that no value can end early, and statements with the literals in place.

mod binary;
mod date;
mod type_oid;

use super::pg::ErrorResponse;
use super::tables::{token, Token};
use type_oid::{BOOL, FLOAT4, FLOAT8, INT2, INT4, INT8, NUMERIC, OID};

/// Format code of values in text.
const TEXT_FORMAT: u16 = 0;
/// Characters that may precede a literal without a space between.
const MAY_PRECEDE: [char; 6] = [' ', '\t', '\n', '\r', '(', ','];
/// Characters that may follow a literal without a space between.
const MAY_FOLLOW: [char; 7] = [' ', '\t', '\n', '\r', ')', ',', ';'];

/// A bound parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// Its form in a statement.
    pub literal: String,
    /// Its form in a field; `None` for NULL.
    pub plain: Option<String>,
}

/// Decodes the value of parameter `number` (from 1) with the type `oid`, in text (0) or binary (1) format.
///
/// # Errors
/// Where the value does not fit its type and format.
pub fn parse_parameter(
    number: usize,
    oid: u32,
    format: u16,
    value: Option<&[u8]>,
) -> Result<Parameter, ErrorResponse> {
    let Some(bytes) = value else { return Ok(Parameter { literal: "NULL".into(), plain: None }) };
    let plain = if format == TEXT_FORMAT {
        decode_text(number, bytes)?.to_owned()
    } else {
        binary::decode(number, oid, bytes)?
    };
    let literal = literal_of(number, oid, &plain)?;
    Ok(Parameter { literal, plain: Some(plain) })
}

fn literal_of(number: usize, oid: u32, plain: &str) -> Result<String, ErrorResponse> {
    let invalid = |what: &str| ErrorResponse::new("22P02", format!("field parameter ${number} is no {what}"));
    match oid {
        BOOL => match plain.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" | "y" => Ok("TRUE".into()),
            "f" | "false" | "0" | "off" | "no" | "n" => Ok("FALSE".into()),
            _ => Err(invalid("boolean")),
        },
        INT2 | INT4 | INT8 | OID => {
            let integer = plain.trim().parse::<i64>().map_err(|_| invalid("integer"))?;
            Ok(signed(integer.to_string()))
        }
        FLOAT4 | FLOAT8 | NUMERIC => {
            let value = plain.trim();
            value.parse::<f64>().map_err(|_| invalid("number"))?;
            // NaN and infinities have no digits.
            if value.bytes().all(|byte| byte.is_ascii_digit() || b"+-.eE".contains(&byte)) {
                Ok(signed(value.to_owned()))
            } else {
                Ok(quote(value))
            }
        }
        _ => Ok(quote(plain)),
    }
}

/// A number, in parentheses if it has a sign: `- -5` without a space between would begin a comment.
fn signed(digits: String) -> String {
    if digits.starts_with(['-', '+']) {
        format!("({digits})")
    } else {
        digits
    }
}

/// A string literal. With a backslash it is written so that it is read the same whether the engine takes backslashes
/// in plain strings for escapes or not.
fn quote(text: &str) -> String {
    let doubled = text.replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}

fn decode_text(number: usize, bytes: &[u8]) -> Result<&str, ErrorResponse> {
    let text = std::str::from_utf8(bytes).ok().filter(|text| !text.contains('\0'));
    let invalid = || ErrorResponse::new("22021", format!("field parameter ${number} is not UTF-8 text"));
    text.ok_or_else(invalid)
}

/// The highest parameter that a statement names; 0 if it names none.
pub fn max_parameter(statement: &str) -> usize {
    let mut rest = statement;
    let mut max = 0;
    while let Some((kind, length)) = token(rest) {
        if kind == Token::Parameter {
            max = max.max(rest[1..length].parse().unwrap_or(usize::MAX));
        }
        rest = rest.get(length..).unwrap_or("");
    }
    max
}

/// A statement with its parameters in place.
///
/// # Errors
/// Where a parameter has no value, or the result is longer than `limit` bytes.
pub fn substitute(statement: &str, parameters: &[Parameter], limit: usize) -> Result<String, ErrorResponse> {
    let mut rest = statement;
    let mut output = String::with_capacity(statement.len());
    while let Some((kind, length)) = token(rest) {
        let (head, tail) = rest.split_at(length.min(rest.len()));
        if kind == Token::Parameter {
            push_literal(&mut output, &find(head, parameters)?.literal, tail);
        } else {
            output.push_str(head);
        }
        if output.len() > limit {
            let message = format!("a statement with its parameters holds at most {limit} bytes");
            return Err(ErrorResponse::new("54000", message));
        }
        rest = tail;
    }
    Ok(output)
}

/// The value of `$1` and the like.
fn find<'a>(name: &str, parameters: &'a [Parameter]) -> Result<&'a Parameter, ErrorResponse> {
    let number = name[1..].parse::<usize>().ok();
    let parameter = number.and_then(|number| parameters.get(number.checked_sub(1)?));
    parameter.ok_or_else(|| ErrorResponse::new("42P02", format!("there is no parameter {name}")))
}

/// Appends a literal, with spaces where it would become one token with what precedes or follows: `'a'$1`, `$1and`.
fn push_literal(output: &mut String, literal: &str, tail: &str) {
    if !output.is_empty() && !output.ends_with(MAY_PRECEDE) {
        output.push(' ');
    }
    output.push_str(literal);
    if !tail.is_empty() && !tail.starts_with(MAY_FOLLOW) {
        output.push(' ');
    }
}

#[cfg(test)]
mod tests;
