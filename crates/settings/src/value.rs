//! Plain values as they are told: in JSON by their own types, on the simulator's wire as text. Empty text, `-`
//! and JSON's null mark an absent one.

use serde::de::value::MapAccessDeserializer;
use serde::de::{self, Deserializer, MapAccess, Unexpected, Visitor};
use serde::Deserialize;
use sprucelink_time::TimeDelta;
use std::fmt;
use std::marker::PhantomData;

fn absent(text: &str) -> bool {
    text.is_empty() || text == "-"
}

/// A figure of a text; infinities and NaN are none.
fn figure<E: de::Error>(text: &str, expected: &dyn de::Expected) -> Result<f64, E> {
    let v = text.parse::<f64>().ok().filter(|v| v.is_finite());
    v.ok_or_else(|| E::invalid_value(Unexpected::Str(text), expected))
}

/// A number that may be absent; always finite.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Number(pub Option<f64>);

impl Number {
    /// The number, or what its absence means.
    pub fn unwrap_or(self, absent: f64) -> f64 {
        self.0.unwrap_or(absent)
    }
    /// The number of seconds as a span; zero where it is absent.
    pub fn as_time_delta(self) -> TimeDelta {
        TimeDelta::from_secs_f64(self.unwrap_or(0.0))
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Number, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
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
                if absent(s) {
                    return Ok(Number(None));
                }
                figure(s, &self).map(|v| Number(Some(v)))
            }
        }
        d.deserialize_any(Read)
    }
}

/// Numbers of a list; an empty text among them is passed over, and nothing else may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NumberList(pub Vec<f64>);

impl NumberList {
    /// The numbers as places in another list; what is below zero is the first.
    pub fn as_indices(&self) -> Vec<u32> {
        self.0.iter().map(|v| *v as u32).collect()
    }
}

/// One number of a list.
struct ListNumber(Option<f64>);

impl<'de> Deserialize<'de> for ListNumber {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<ListNumber, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
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
                figure(s, &self).map(|v| ListNumber(Some(v)))
            }
        }
        d.deserialize_any(Read)
    }
}

impl<'de> Deserialize<'de> for NumberList {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<NumberList, D::Error> {
        let list: Vec<ListNumber> = or_default(d)?;
        Ok(NumberList(list.into_iter().filter_map(|e| e.0).collect()))
    }
}

/// A yes or no. `true` and `1` are yes; what is absent, and any other word, is no.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flag(pub bool);

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Flag, D::Error> {
        Text::deserialize(d).map(|w| Flag(matches!(w.0.as_str(), "true" | "1")))
    }
}

/// A word, such as a name; a number or a truth value counts as its text. Empty where it is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text(pub String);

impl Text {
    /// The word, if there is one.
    pub fn get(&self) -> Option<&str> {
        Some(self.0.as_str()).filter(|w| !absent(w))
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Text, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
            type Value = Text;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a word, a number or a truth value")
            }
            fn visit_str<E: de::Error>(self, s: &str) -> Result<Text, E> {
                Ok(Text(s.to_owned()))
            }
            fn visit_bool<E: de::Error>(self, v: bool) -> Result<Text, E> {
                Ok(Text(v.to_string()))
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<Text, E> {
                Ok(Text(v.to_string()))
            }
            fn visit_i64<E: de::Error>(self, v: i64) -> Result<Text, E> {
                Ok(Text(v.to_string()))
            }
            fn visit_f64<E: de::Error>(self, v: f64) -> Result<Text, E> {
                // With its point: 1.0 is a figure and no place in a list.
                Ok(Text(format!("{v:?}")))
            }
            fn visit_unit<E: de::Error>(self) -> Result<Text, E> {
                Ok(Text(String::new()))
            }
        }
        d.deserialize_any(Read)
    }
}

/// A whole number from 0 that may be absent; parts of one are cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WholeNumber(pub Option<u64>);

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<WholeNumber, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
            type Value = WholeNumber;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number from 0")
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<WholeNumber, E> {
                Ok(WholeNumber(Some(v)))
            }
            fn visit_f64<E: de::Error>(self, v: f64) -> Result<WholeNumber, E> {
                if v < 0.0 {
                    return Err(E::invalid_value(Unexpected::Float(v), &self));
                }
                Ok(WholeNumber(Some(v as u64)))
            }
            fn visit_unit<E: de::Error>(self) -> Result<WholeNumber, E> {
                Ok(WholeNumber(None))
            }
        }
        d.deserialize_any(Read)
    }
}

/// What is told, or the default where that is absent or null.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<T, D::Error> {
    Option::<T>::deserialize(d).map(Option::unwrap_or_default)
}

/// What is told, told apart from what is not: absent or null, it is the default all the same.
pub(crate) fn present<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<Option<T>, D::Error> {
    or_default(d).map(Some)
}

/// An object and nothing else: a derived type would also take a list for its fields in order.
pub(crate) struct Object<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Object<T>, D::Error> {
        struct Read<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for Read<T> {
            type Value = Object<T>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
                T::deserialize(MapAccessDeserializer::new(map)).map(Object)
            }
        }
        d.deserialize_map(Read(PhantomData))
    }
}

/// An object that must be there.
pub(crate) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    Object::deserialize(d).map(|o| o.0)
}

/// An object, or the default where it is absent or null.
pub(crate) fn section<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Option::<Object<T>>::deserialize(d).map(|o| o.map_or_else(T::default, |o| o.0))
}

/// A list of objects; empty where it is absent or null.
pub(crate) fn objects<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<Vec<T>, D::Error> {
    let list: Option<Vec<Object<T>>> = Option::deserialize(d)?;
    Ok(list.unwrap_or_default().into_iter().map(|o| o.0).collect())
}
