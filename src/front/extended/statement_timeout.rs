//! Parses the setting `statement_timeout` as clients write it.

use crate::front::client_error::quoted;
use crate::proto::pg::ErrorResponse;

/// Name of the setting, as start-up parameters write it.
pub(super) const NAME: &str = "statement_timeout";
/// Maximum time-out, in milliseconds: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Reads the session's time-out in milliseconds from its start-up parameters; `None` if they set no time-out,
/// or set it to 0 or DEFAULT.
///
/// # Errors
/// If a value is not a valid time-out.
pub(crate) fn timeout_of_startup(parameters: &[(String, String)]) -> Result<Option<u64>, ErrorResponse> {
    let mut timeout = None;
    for (name, value) in parameters {
        if name == NAME {
            timeout = parse(value)?;
        } else if name == "options" {
            let options = value
                .split_whitespace()
                .map(|option| option.trim_start_matches("-c").trim_start_matches("--"))
                .filter_map(|option| option.split_once('='));
            for (_, value) in options.filter(|(name, _)| *name == NAME) {
                timeout = parse(value)?;
            }
        }
    }
    Ok(timeout)
}

/// Converts `1500`, `'1500'`, `'2s'` or `'1min'` to milliseconds; `None` for 0 and DEFAULT.
pub(super) fn parse(text: &str) -> Result<Option<u64>, ErrorResponse> {
    let text = text.trim().trim_matches('\'').trim();
    if text.eq_ignore_ascii_case("default") {
        return Ok(None);
    }
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let millis = number.parse::<u64>().ok().zip(unit_millis(unit.trim()));
    let millis = millis.and_then(|(number, unit)| number.checked_mul(unit));
    match millis.filter(|millis| *millis <= MAX_TIMEOUT_MS) {
        Some(0) => Ok(None),
        Some(millis) => Ok(Some(millis)),
        None => {
            let message = format!("field {NAME} is no time of a day or less: {}", quoted(text));
            Err(ErrorResponse::new("22023", message))
        }
    }
}

fn unit_millis(unit: &str) -> Option<u64> {
    match unit {
        "" | "ms" => Some(1),
        "s" => Some(1_000),
        "min" => Some(60_000),
        "h" => Some(3_600_000),
        _ => None,
    }
}
