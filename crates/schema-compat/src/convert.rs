//! Converts values between types, and from and to text.

use prost_reflect::{EnumDescriptor, Kind, MapKey, Value};

/// The value cannot be represented in the requested type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotRepresentable;

enum ScalarValue {
    Whole(i128),
    Float(f64),
    Text(Vec<u8>),
}

fn plain(value: &Value) -> Option<ScalarValue> {
    Some(match value {
        Value::Bool(one) => ScalarValue::Whole(i128::from(*one)),
        Value::I32(one) => ScalarValue::Whole(i128::from(*one)),
        Value::I64(one) => ScalarValue::Whole(i128::from(*one)),
        Value::U32(one) => ScalarValue::Whole(i128::from(*one)),
        Value::U64(one) => ScalarValue::Whole(i128::from(*one)),
        Value::EnumNumber(one) => ScalarValue::Whole(i128::from(*one)),
        Value::F32(one) => ScalarValue::Float(f64::from(*one)),
        Value::F64(one) => ScalarValue::Float(*one),
        Value::String(one) => ScalarValue::Text(one.as_bytes().to_vec()),
        Value::Bytes(one) => ScalarValue::Text(one.to_vec()),
        Value::Message(_) | Value::List(_) | Value::Map(_) => return None,
    })
}

fn whole(number: i128, kind: &Kind) -> Result<Value, NotRepresentable> {
    let no = |_| NotRepresentable;
    Ok(match kind {
        Kind::Bool => match number {
            0 => Value::Bool(false),
            1 => Value::Bool(true),
            _ => return Err(NotRepresentable),
        },
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(number.try_into().map_err(no)?),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(number.try_into().map_err(no)?),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(number.try_into().map_err(no)?),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(number.try_into().map_err(no)?),
        Kind::Enum(_) => Value::EnumNumber(number.try_into().map_err(no)?),
        // Only exact conversions: a rounded number would be another value.
        Kind::Float if (number as f32) as i128 == number => Value::F32(number as f32),
        Kind::Double if (number as f64) as i128 == number => Value::F64(number as f64),
        _ => return Err(NotRepresentable),
    })
}

/// The same value as type `kind`, exactly: within integers, floating-point numbers and text or bytes, and from integers
/// to floating-point numbers.
pub(crate) fn convert(value: &Value, kind: &Kind) -> Result<Value, NotRepresentable> {
    match (plain(value).ok_or(NotRepresentable)?, kind) {
        (ScalarValue::Whole(number), _) => whole(number, kind),
        (ScalarValue::Float(number), Kind::Double) => Ok(Value::F64(number)),
        (ScalarValue::Float(number), Kind::Float)
            if f64::from(number as f32) == number || number.is_nan() =>
        {
            Ok(Value::F32(number as f32))
        }
        (ScalarValue::Text(bytes), Kind::Bytes) => Ok(Value::Bytes(bytes.into())),
        (ScalarValue::Text(bytes), Kind::String) => {
            String::from_utf8(bytes).map(Value::String).map_err(|_| NotRepresentable)
        }
        _ => Err(NotRepresentable),
    }
}

/// A map's key as a value of type `kind`.
pub(crate) fn convert_key(key: MapKey, kind: &Kind) -> Result<MapKey, NotRepresentable> {
    convert(&Value::from(key), kind)?.into_map_key().ok_or(NotRepresentable)
}

/// A declared value's text as a value of type `kind`: `12`, `-1`, `0.5`, `true`, a text as it stands, an enum value's
/// name.
pub(crate) fn parse(text: &str, kind: &Kind) -> Result<Value, NotRepresentable> {
    let no = |_| NotRepresentable;
    match kind {
        Kind::Bool => Ok(Value::Bool(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::Float => Ok(Value::F32(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::Double => Ok(Value::F64(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::String => Ok(Value::String(text.to_string())),
        Kind::Bytes => Ok(Value::Bytes(text.as_bytes().to_vec().into())),
        Kind::Enum(one) => by_name(one, text).ok_or(NotRepresentable),
        Kind::Message(_) => Err(NotRepresentable),
        _ => whole(text.parse::<i128>().map_err(no)?, kind),
    }
}

fn by_name(one: &EnumDescriptor, name: &str) -> Option<Value> {
    one.get_value_by_name(name).map(|value| Value::EnumNumber(value.number()))
}

/// A text that two equal values of different types share: whole numbers and enum numbers in decimals, texts and bytes
/// in hexadecimals.
pub(crate) fn canonical(value: &Value) -> String {
    match plain(value) {
        Some(ScalarValue::Whole(number)) => number.to_string(),
        Some(ScalarValue::Float(number)) => number.to_string(),
        Some(ScalarValue::Text(bytes)) => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
        None => String::new(),
    }
}
