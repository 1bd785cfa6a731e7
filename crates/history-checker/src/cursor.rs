//! Positions in the replicated log, as subscribers receive them.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A position in the log, written as `EPOCH:INDEX` in decimal. Indexes are dense from 1 within an epoch;
/// index 0 is the position before the first record. Positions are ordered by epoch, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor {
    /// Epoch of the log.
    pub epoch: u64,
    /// Index of the record within the epoch.
    pub index: u64,
}

/// Error of parsing a text that is not a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid cursor {text:?}: expected EPOCH:INDEX in decimal")]
pub struct ParseCursorError {
    text: String,
}

impl Cursor {
    /// The position of `index` in `epoch`.
    pub fn new(epoch: u64, index: u64) -> Cursor {
        Cursor { epoch, index }
    }

    /// Whether `next` directly follows this position within the same epoch.
    pub fn is_followed_by(self, next: Cursor) -> bool {
        self.epoch == next.epoch && self.index.checked_add(1) == Some(next.index)
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.epoch, self.index)
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

/// Parses a number without sign or leading zeros, so that each position has exactly one textual form.
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
