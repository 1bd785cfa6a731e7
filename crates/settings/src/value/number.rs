//! Numbers, lists of numbers and unsigned integers.

use super::{is_absent, or_default};
use serde::de::{self, Deserializer, Unexpected, Visitor};
use serde::Deserialize;
use sprucelink_time::TimeDelta;
use std::fmt;

/// Parses a finite number.
fn parse_finite<E: de::Error>(text: &str, expected: &dyn de::Expected) -> Result<f64, E> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
    number.ok_or_else(|| E::invalid_value(Unexpected::Str(text), expected))
}

/// A finite number, or absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Number(pub Option<f64>);

impl Number {
    /// The number, or `default` if it is absent.
    pub fn unwrap_or(self, default: f64) -> f64 {
        self.0.unwrap_or(default)
    }
    /// The number as a duration in seconds; zero if it is absent.
    pub fn as_time_delta(self) -> TimeDelta {
        TimeDelta::from_secs_f64(self.unwrap_or(0.0))
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Number, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Number;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E: de::Error>(self, v: f64) -> Result<Number, E> {
                Ok(Number(Some(v)))
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<Number, E> {
                Ok(Number(Some(v as f64)))
            }
            fn visit_i64<E: de::Error>(self, v: i64) -> Result<Number, E> {
                Ok(Number(Some(v as f64)))
            }
            fn visit_unit<E: de::Error>(self) -> Result<Number, E> {
                Ok(Number(None))
            }
            fn visit_str<E: de::Error>(self, s: &str) -> Result<Number, E> {
                if is_absent(s) {
                    return Ok(Number(None));
                }
                parse_finite(s, &self).map(|v| Number(Some(v)))
            }
        }
        d.deserialize_any(NumberVisitor)
    }
}

/// A list of numbers; empty if it is absent. Empty texts in the list are skipped; no other item may be
/// absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NumberList(pub Vec<f64>);

impl NumberList {
    /// The numbers as indices into another list: fractions are truncated, negative numbers become 0.
    pub fn as_indices(&self) -> Vec<u32> {
        self.0.iter().map(|v| *v as u32).collect()
    }
}

/// An item of a list of numbers; `None` for an empty text.
struct ListNumber(Option<f64>);

impl<'de> Deserialize<'de> for ListNumber {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<ListNumber, D::Error> {
        struct ListNumberVisitor;
        impl Visitor<'_> for ListNumberVisitor {
            type Value = ListNumber;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E: de::Error>(self, v: f64) -> Result<ListNumber, E> {
                Ok(ListNumber(Some(v)))
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<ListNumber, E> {
                Ok(ListNumber(Some(v as f64)))
            }
            fn visit_i64<E: de::Error>(self, v: i64) -> Result<ListNumber, E> {
                Ok(ListNumber(Some(v as f64)))
            }
            fn visit_str<E: de::Error>(self, s: &str) -> Result<ListNumber, E> {
                if s.is_empty() {
                    return Ok(ListNumber(None));
                }
                parse_finite(s, &self).map(|v| ListNumber(Some(v)))
            }
        }
        d.deserialize_any(ListNumberVisitor)
    }
}

impl<'de> Deserialize<'de> for NumberList {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<NumberList, D::Error> {
        let list: Vec<ListNumber> = or_default(d)?;
        Ok(NumberList(list.into_iter().filter_map(|item| item.0).collect()))
    }
}

/// An unsigned integer that may be absent; fractions are truncated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnsignedInteger(pub Option<u64>);

impl<'de> Deserialize<'de> for UnsignedInteger {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<UnsignedInteger, D::Error> {
        struct UnsignedIntegerVisitor;
        impl Visitor<'_> for UnsignedIntegerVisitor {
            type Value = UnsignedInteger;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number from 0")
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<UnsignedInteger, E> {
                Ok(UnsignedInteger(Some(v)))
            }
            fn visit_f64<E: de::Error>(self, v: f64) -> Result<UnsignedInteger, E> {
                if v < 0.0 {
                    return Err(E::invalid_value(Unexpected::Float(v), &self));
                }
                Ok(UnsignedInteger(Some(v as u64)))
            }
            fn visit_unit<E: de::Error>(self) -> Result<UnsignedInteger, E> {
                Ok(UnsignedInteger(None))
            }
        }
        d.deserialize_any(UnsignedIntegerVisitor)
    }
}
