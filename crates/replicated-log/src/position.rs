//! Positions in the log, and their text form, which is used as a cursor.

use std::fmt;
use std::str::FromStr;

/// The position of a record. It is the same at every manager, across leaders, restarts, snapshots and
/// compaction. Its text form is `EPOCH:INDEX`, both decimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Generation of the log, from 1; 0 is before every log.
    pub epoch: u64,
    /// Number of the record in its epoch, from 1; 0 is before the first record.
    pub index: u64,
}

/// Error of parsing a text that is not a valid position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid position: expected EPOCH:INDEX, two decimal numbers")]
pub struct ParsePositionError;

impl Position {
    /// The next position in the same epoch; `None` when the index would overflow.
    pub fn next(self) -> Option<Position> {
        self.index.checked_add(1).map(|index| Position { index, ..self })
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}:{}", self.epoch, self.index)
    }
}

impl FromStr for Position {
    type Err = ParsePositionError;

    /// Accepts only the form that [`Position`] displays: no signs, spaces or leading zeros, so that each
    /// position has exactly one text form.
    fn from_str(text: &str) -> Result<Position, ParsePositionError> {
        let (epoch, index) = text.split_once(':').ok_or(ParsePositionError)?;
        Ok(Position { epoch: parse_number(epoch)?, index: parse_number(index)? })
    }
}

fn parse_number(text: &str) -> Result<u64, ParsePositionError> {
    let number: u64 = text.parse().map_err(|_| ParsePositionError)?;
    if number.to_string() != text {
        return Err(ParsePositionError);
    }
    Ok(number)
}
