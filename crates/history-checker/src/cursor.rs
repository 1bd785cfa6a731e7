//! Positions in the replicated log, as subscribers receive them.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A position: `EPOCH:INDEX` in decimal. Indexes are dense from 1 within an epoch; index 0 is before the first record. A
/// later epoch is a later position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor {
    /// The log's epoch.
    pub epoch: u64,
    /// The record's index within the epoch.
    pub index: u64,
}

/// A text is not a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a cursor is EPOCH:INDEX in decimal, not {text:?}")]
pub struct ParseCursorError {
    text: String,
}

impl Cursor {
    /// A position.
    pub fn new(epoch: u64, index: u64) -> Cursor {
        Cursor { epoch, index }
    }

    /// Whether `next` directly follows this position within the same epoch.
    pub fn is_followed_by(self, next: Cursor) -> bool {
        self.epoch == next.epoch && self.index.checked_add(1) == Some(next.index)
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.epoch, self.index)
    }
}

impl FromStr for Cursor {
    type Err = ParseCursorError;

    fn from_str(text: &str) -> Result<Cursor, ParseCursorError> {
        let parse = || {
            let (epoch, index) = text.split_once(':')?;
            Some(Cursor::new(parse_canonical(epoch)?, parse_canonical(index)?))
        };
        parse().ok_or_else(|| ParseCursorError { text: text.to_owned() })
    }
}

/// Parses a number without sign or leading zeros: a position has exactly one textual form.
fn parse_canonical(digits: &str) -> Option<u64> {
    let number = digits.parse::<u64>().ok()?;
    (number.to_string() == digits).then_some(number)
}

impl Serialize for Cursor {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Cursor {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Cursor, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}
