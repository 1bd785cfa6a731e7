//! The comment before a statement, which carries a request's fields.

use super::Malformed;

/// What the comment said. What it did not say is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// The class, by name.
    pub kind: Option<String>,
    /// The request's id.
    pub req: Option<u64>,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The tenant, by name.
    pub owner: Option<String>,
    /// A client's retry.
    pub resent: bool,
    /// The idempotency key.
    pub opkey: Option<String>,
    /// Estimated work, in milliseconds on one core.
    pub ms: Option<f64>,
    /// Estimated memory in MB.
    pub heap_mb: Option<f64>,
}

/// Parts a text into its first comment, if that holds fields, and the statement without it. Only
/// white space may stand before it.
pub fn part(text: &str) -> Result<(&str, &str), Malformed> {
    let start = text.trim_start();
    let Some(rest) = start.strip_prefix("/*") else { return Ok(("", text)) };
    let Some((comment, statement)) = rest.split_once("*/") else {
        return Err(Malformed::field("comment", "is not closed"));
    };
    if !comment.split(',').all(is_pair) {
        return Ok(("", text));
    }
    Ok((comment, statement.trim_start()))
}

/// A text's fields, and its statement without the comment that held them.
pub fn split(text: &str) -> Result<(Fields, &str), Malformed> {
    let (comment, statement) = part(text)?;
    Ok((read(pairs(comment))?, statement))
}

/// The names and values of a comment.
pub fn pairs(comment: &str) -> impl Iterator<Item = (&str, &str)> {
    comment.split(',').filter_map(|p| p.trim().split_once('='))
}

/// `name=value` without white space: other comments are the client's own.
fn is_pair(part: &str) -> bool {
    let part = part.trim();
    let name = part.split_once('=').map_or("", |p| p.0);
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}

/// Understands names and values; names that are not known are skipped.
pub fn read<'a>(list: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Fields, Malformed> {
    let (mut f, mut seen) = (Fields::default(), Vec::new());
    for (name, value) in list {
        // Guards against a request that says two things: what was checked must be what is meant.
        if seen.contains(&name) {
            return Err(Malformed::field(name, "stands there twice"));
        }
        seen.push(name);
        match name {
            "kind" => f.kind = Some(value.to_owned()),
            "req" => {
                let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
                let id = hex.then(|| u64::from_str_radix(value, 16).ok()).flatten();
                f.req = Some(id.ok_or_else(|| Malformed::field("req", "is not 16 hex digits"))?);
            }
            "timeout" => f.timeout_ms = Some(millis(name, value)?),
            "owner" => f.owner = Some(value.to_owned()),
            "resent" if value == "1" => f.resent = true,
            "resent" => return Err(Malformed::field(name, "is not 1")),
            "opkey" => f.opkey = Some(opkey(value)?),
            "ms" => f.ms = Some(amount(name, value, MOST_WORK_MS)?),
            "heap_mb" => f.heap_mb = Some(amount(name, value, MOST_MEMORY_MB)?),
            _ => {}
        }
    }
    Ok(f)
}

/// Checks an idempotency key: it travels in the engines' list of fields, which has no quotes.
pub fn opkey(value: &str) -> Result<String, Malformed> {
    let fits = (1..=128).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    if !fits || value.contains([',', '=']) {
        return Err(Malformed::field("opkey", "is not 1 to 128 plain characters"));
    }
    Ok(value.to_owned())
}

/// Most work that an estimate may name, in milliseconds on one core: eleven days of it.
const MOST_WORK_MS: f64 = 1e9;
/// Most memory that an estimate may name, in MB: a hundred terabytes.
const MOST_MEMORY_MB: f64 = 1e8;

/// Milliseconds, at most a day.
pub fn millis(name: &str, value: &str) -> Result<u64, Malformed> {
    let whole = value.parse::<u64>().ok().filter(|v| *v <= 86_400_000);
    whole.ok_or_else(|| Malformed::field(name, "is not a number of milliseconds"))
}

/// A figure within its range: engines close the connection, and with it all that is open there, on
/// what they cannot use.
fn amount(name: &str, value: &str, most: f64) -> Result<f64, Malformed> {
    let v = value.parse::<f64>().ok().filter(|v| (0.0..=most).contains(v));
    v.ok_or_else(|| Malformed::field(name, &format!("is not a number from 0 to {most:.0}")))
}
