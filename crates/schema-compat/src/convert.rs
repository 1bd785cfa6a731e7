//! Converts values between types, and from and to text.

use prost_reflect::{EnumDescriptor, Kind, MapKey, Value};

/// Error: the value cannot be represented in the requested type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotRepresentable;

enum ScalarValue {
    Integer(i128),
    Float(f64),
    Text(Vec<u8>),
}

fn scalar_of(value: &Value) -> Option<ScalarValue> {
    Some(match value {
        Value::Bool(value) => ScalarValue::Integer(i128::from(*value)),
        Value::I32(value) => ScalarValue::Integer(i128::from(*value)),
        Value::I64(value) => ScalarValue::Integer(i128::from(*value)),
        Value::U32(value) => ScalarValue::Integer(i128::from(*value)),
        Value::U64(value) => ScalarValue::Integer(i128::from(*value)),
        Value::EnumNumber(value) => ScalarValue::Integer(i128::from(*value)),
        Value::F32(value) => ScalarValue::Float(f64::from(*value)),
        Value::F64(value) => ScalarValue::Float(*value),
        Value::String(value) => ScalarValue::Text(value.as_bytes().to_vec()),
        Value::Bytes(value) => ScalarValue::Text(value.to_vec()),
        Value::Message(_) | Value::List(_) | Value::Map(_) => return None,
    })
}

fn integer_value(number: i128, kind: &Kind) -> Result<Value, NotRepresentable> {
    let out_of_range = |_| NotRepresentable;
    Ok(match kind {
        Kind::Bool => match number {
            0 => Value::Bool(false),
            1 => Value::Bool(true),
            _ => return Err(NotRepresentable),
        },
        Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 => Value::I32(number.try_into().map_err(out_of_range)?),
        Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => Value::I64(number.try_into().map_err(out_of_range)?),
        Kind::Uint32 | Kind::Fixed32 => Value::U32(number.try_into().map_err(out_of_range)?),
        Kind::Uint64 | Kind::Fixed64 => Value::U64(number.try_into().map_err(out_of_range)?),
        Kind::Enum(_) => Value::EnumNumber(number.try_into().map_err(out_of_range)?),
        // Only exact conversions: a rounded number would be a different value.
        Kind::Float if (number as f32) as i128 == number => Value::F32(number as f32),
        Kind::Double if (number as f64) as i128 == number => Value::F64(number as f64),
        _ => return Err(NotRepresentable),
    })
}

/// Converts a value exactly to type `kind`: among integers, among floating-point numbers, between text and
/// bytes, and from integers to floating-point numbers.
pub(crate) fn convert(value: &Value, kind: &Kind) -> Result<Value, NotRepresentable> {
    match (scalar_of(value).ok_or(NotRepresentable)?, kind) {
        (ScalarValue::Integer(number), _) => integer_value(number, kind),
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

/// Converts a map's key exactly to type `kind`.
pub(crate) fn convert_key(key: MapKey, kind: &Kind) -> Result<MapKey, NotRepresentable> {
    convert(&Value::from(key), kind)?.into_map_key().ok_or(NotRepresentable)
}

/// Parses the text of a declared value as type `kind`: `12`, `-1`, `0.5`, `true`, a literal text, or an enum
/// value's name.
pub(crate) fn parse(text: &str, kind: &Kind) -> Result<Value, NotRepresentable> {
    match kind {
        Kind::Bool => Ok(Value::Bool(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::Float => Ok(Value::F32(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::Double => Ok(Value::F64(text.parse().map_err(|_| NotRepresentable)?)),
        Kind::String => Ok(Value::String(text.to_string())),
        Kind::Bytes => Ok(Value::Bytes(text.as_bytes().to_vec().into())),
        Kind::Enum(descriptor) => enum_value(descriptor, text).ok_or(NotRepresentable),
        Kind::Message(_) => Err(NotRepresentable),
        _ => integer_value(text.parse().map_err(|_| NotRepresentable)?, kind),
    }
}

fn enum_value(descriptor: &EnumDescriptor, name: &str) -> Option<Value> {
    descriptor.get_value_by_name(name).map(|value| Value::EnumNumber(value.number()))
}

/// A text that is the same for equal values of different types: integers and enum numbers in decimal, texts
/// and bytes in hexadecimal.
pub(crate) fn canonical(value: &Value) -> String {
    match scalar_of(value) {
        Some(ScalarValue::Integer(number)) => number.to_string(),
        Some(ScalarValue::Float(number)) => number.to_string(),
        Some(ScalarValue::Text(bytes)) => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
        None => String::new(),
    }
}
