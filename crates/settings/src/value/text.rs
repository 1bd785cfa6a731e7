//! Text values and flags.

use super::is_absent;
use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;
use std::fmt;

/// A flag: `true` and `1` are true; an absent value and any other value are false.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flag(pub bool);

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Flag, D::Error> {
        Text::deserialize(d).map(|text| Flag(matches!(text.0.as_str(), "true" | "1")))
    }
}

/// A text, such as a name; a number or boolean is converted to text. Empty if it is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text(pub String);

impl Text {
    /// The text; `None` if it is absent: empty or `-`.
    pub fn get(&self) -> Option<&str> {
        Some(self.0.as_str()).filter(|text| !is_absent(text))
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Text, D::Error> {
        struct TextVisitor;
        impl Visitor<'_> for TextVisitor {
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
                // Formatted with the decimal point, so that 1.0 is not taken for the index of a zone.
                Ok(Text(format!("{v:?}")))
            }
            fn visit_unit<E: de::Error>(self) -> Result<Text, E> {
                Ok(Text(String::new()))
            }
        }
        d.deserialize_any(TextVisitor)
    }
}
