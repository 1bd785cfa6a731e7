//! Decodes values in PostgreSQL's binary format.

use super::date::{format_date, format_timestamp};
use super::decode_text;
use super::type_oid::{
    BOOL, BYTEA, DATE, FLOAT4, FLOAT8, INT2, INT4, INT8, OID, TEXT_TYPES, TIMESTAMP, TIMESTAMPTZ, UUID,
};
use crate::proto::pg::ErrorResponse;

/// Decodes the value of parameter `number` as text.
pub(super) fn decode(number: usize, oid: u32, bytes: &[u8]) -> Result<String, ErrorResponse> {
    if TEXT_TYPES.contains(&oid) {
        return Ok(decode_text(number, bytes)?.to_owned());
    }
    let text = match oid {
        BOOL => decode_bool(bytes),
        INT2 | INT4 | INT8 | OID => decode_integer(oid, bytes).map(|integer| integer.to_string()),
        FLOAT4 => to_array(bytes).map(|bytes| f32::from_be_bytes(bytes).to_string()),
        FLOAT8 => to_array(bytes).map(|bytes| f64::from_be_bytes(bytes).to_string()),
        BYTEA => Some(format!("\\x{}", to_hex(bytes))),
        UUID => to_array::<16>(bytes).map(|bytes| format_uuid(&bytes)),
        DATE => decode_integer(oid, bytes).map(date_or_infinity),
        TIMESTAMP => decode_integer(oid, bytes).map(|micros| timestamp_or_infinity(micros, "")),
        TIMESTAMPTZ => decode_integer(oid, bytes).map(|micros| timestamp_or_infinity(micros, "+00")),
        _ => {
            let message = format!("field parameter ${number}: type {oid} is not understood in binary");
            return Err(ErrorResponse::new("0A000", message).hint("Bind it as text."));
        }
    };
    text.ok_or_else(|| {
        let message = format!("field parameter ${number} has no legal length for its type {oid}");
        ErrorResponse::new("22P03", message)
    })
}

fn to_array<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.try_into().ok()
}

fn decode_bool(bytes: &[u8]) -> Option<String> {
    match bytes {
        [0] => Some("f".into()),
        [1] => Some("t".into()),
        _ => None,
    }
}

/// Decodes an integer, the days of a date, or the microseconds of a timestamp.
fn decode_integer(oid: u32, bytes: &[u8]) -> Option<i64> {
    match oid {
        INT2 => to_array(bytes).map(|bytes| i64::from(i16::from_be_bytes(bytes))),
        INT4 | DATE => to_array(bytes).map(|bytes| i64::from(i32::from_be_bytes(bytes))),
        OID => to_array(bytes).map(|bytes| i64::from(u32::from_be_bytes(bytes))),
        _ => to_array(bytes).map(i64::from_be_bytes),
    }
}

fn date_or_infinity(days: i64) -> String {
    if days == i64::from(i32::MAX) {
        "infinity".into()
    } else if days == i64::from(i32::MIN) {
        "-infinity".into()
    } else {
        format_date(days)
    }
}

fn timestamp_or_infinity(micros: i64, zone: &str) -> String {
    match micros {
        i64::MAX => "infinity".into(),
        i64::MIN => "-infinity".into(),
        micros => format_timestamp(micros, zone),
    }
}

fn format_uuid(bytes: &[u8; 16]) -> String {
    let digits = to_hex(bytes);
    let groups = [&digits[..8], &digits[8..12], &digits[12..16], &digits[16..20], &digits[20..]];
    groups.join("-")
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
