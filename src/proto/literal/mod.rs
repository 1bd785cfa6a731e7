//! Converts bound parameters to SQL literals that no value can end early, and substitutes them into
//! statements.

mod binary;
mod date;
mod type_oid;

use super::pg::ErrorResponse;
use super::tables::{first_token, Token};
use type_oid::{BOOL, FLOAT4, FLOAT8, INT2, INT4, INT8, NUMERIC, OID};

/// Format code of values in text format; any other code means binary.
const TEXT_FORMAT: u16 = 0;
/// Characters that may precede a literal without a space between.
const MAY_PRECEDE: [char; 6] = [' ', '\t', '\n', '\r', '(', ','];
/// Characters that may follow a literal without a space between.
const MAY_FOLLOW: [char; 7] = [' ', '\t', '\n', '\r', ')', ',', ';'];

/// The value of a bound parameter, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The value as an SQL literal in a statement.
    pub literal: String,
    /// The value as unquoted text in a field; `None` for NULL.
    pub text: Option<String>,
}

/// Decodes the value of parameter `number` (from 1) with the type `oid`, in text (0) or binary (1) format.
///
/// # Errors
/// If the value is invalid for its type and format.
pub fn parse_parameter(
    number: usize,
    oid: u32,
    format: u16,
    value: Option<&[u8]>,
) -> Result<Parameter, ErrorResponse> {
    let Some(bytes) = value else { return Ok(Parameter { literal: "NULL".into(), text: None }) };
    let text = if format == TEXT_FORMAT {
        decode_text(number, bytes)?.to_owned()
    } else {
        binary::decode(number, oid, bytes)?
    };
    let literal = to_literal(number, oid, &text)?;
    Ok(Parameter { literal, text: Some(text) })
}

fn to_literal(number: usize, oid: u32, text: &str) -> Result<String, ErrorResponse> {
    let invalid =
        |expected: &str| ErrorResponse::new("22P02", format!("field parameter ${number} is no {expected}"));
    match oid {
        BOOL => match text.to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" | "y" => Ok("TRUE".into()),
            "f" | "false" | "0" | "off" | "no" | "n" => Ok("FALSE".into()),
            _ => Err(invalid("boolean")),
        },
        INT2 | INT4 | INT8 | OID => {
            let integer = text.trim().parse::<i64>().map_err(|_| invalid("integer"))?;
            Ok(parenthesize_signed(integer.to_string()))
        }
        FLOAT4 | FLOAT8 | NUMERIC => {
            let value = text.trim();
            value.parse::<f64>().map_err(|_| invalid("number"))?;
            // NaN and infinities have no digits and must be quoted.
            if value.bytes().all(|byte| byte.is_ascii_digit() || b"+-.eE".contains(&byte)) {
                Ok(parenthesize_signed(value.to_owned()))
            } else {
                Ok(quote(value))
            }
        }
        _ => Ok(quote(text)),
    }
}

/// Puts a number in parentheses if it has a sign: `-5` directly after a minus sign would begin a comment.
fn parenthesize_signed(digits: String) -> String {
    if digits.starts_with(['-', '+']) {
        format!("({digits})")
    } else {
        digits
    }
}

/// Converts text to a string literal. Text with a backslash becomes an escape string (`E'...'`), which has
/// the same meaning whether or not the engine treats backslashes in plain strings as escapes.
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

/// The highest parameter number in a statement; 0 if it has no parameters.
pub fn max_parameter(statement: &str) -> usize {
    let mut rest = statement;
    let mut max = 0;
    while let Some((kind, length)) = first_token(rest) {
        if kind == Token::Parameter {
            max = max.max(rest[1..length].parse().unwrap_or(usize::MAX));
        }
        rest = rest.get(length..).unwrap_or("");
    }
    max
}

/// Replaces the parameters in a statement by their literals.
///
/// # Errors
/// If a parameter has no value, or the result is longer than `limit` bytes.
pub fn substitute(statement: &str, parameters: &[Parameter], limit: usize) -> Result<String, ErrorResponse> {
    let mut rest = statement;
    let mut output = String::with_capacity(statement.len());
    while let Some((kind, length)) = first_token(rest) {
        let (head, tail) = rest.split_at(length.min(rest.len()));
        if kind == Token::Parameter {
            push_literal(&mut output, &find_parameter(head, parameters)?.literal, tail);
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

/// The parameter that `name`, such as `$1`, refers to.
fn find_parameter<'a>(name: &str, parameters: &'a [Parameter]) -> Result<&'a Parameter, ErrorResponse> {
    let number = name[1..].parse::<usize>().ok();
    let parameter = number.and_then(|number| parameters.get(number.checked_sub(1)?));
    parameter.ok_or_else(|| ErrorResponse::new("42P02", format!("there is no parameter {name}")))
}

/// Appends a literal, with a space where it would otherwise merge with an adjacent token: `'a'$1`, `$1and`.
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
