//! Positions, and their text form for cursors.

use std::fmt;
use std::str::FromStr;

/// Where a record stands, in terms that hold at every manager, across leaders, restarts, snapshots and compaction.
/// As text `EPOCH:INDEX`, both decimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The journal's life, from 1; 0 stands before every journal.
    pub epoch: u64,
    /// The record's number in its epoch, from 1; 0 stands before the first.
    pub index: u64,
}

/// A text that is no position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadPosition;

impl fmt::Display for BadPosition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a position is EPOCH:INDEX, two decimal numbers")
    }
}

impl std::error::Error for BadPosition {}

impl Position {
    /// The one after it in the same epoch; `None` at the end of numbers.
    pub fn next(self) -> Option<Position> {
        self.index.checked_add(1).map(|index| Position { index, ..self })
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.epoch, self.index)
    }
}

impl FromStr for Position {
    type Err = BadPosition;

    /// Only the form that [`Position`] itself writes is read: no signs, spaces or leading zeros, so that one
    /// position has one text.
    fn from_str(text: &str) -> Result<Position, BadPosition> {
        let (epoch, index) = text.split_once(':').ok_or(BadPosition)?;
        let number = |t: &str| t.parse::<u64>().ok().filter(|n| n.to_string() == t).ok_or(BadPosition);
        Ok(Position { epoch: number(epoch)?, index: number(index)? })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_position_has_one_text() {
        let p = Position { epoch: 3, index: 41 };
        assert_eq!((p.to_string().as_str(), "3:41".parse()), ("3:41", Ok(p)));
        for bad in
            ["", "3", "3:", ":41", "+3:41", "3: 41", "03:41", "3:41:1", "3:99999999999999999999", "3:-1"]
        {
            assert_eq!(bad.parse::<Position>(), Err(BadPosition), "{bad}");
        }
        assert!(Position { epoch: 2, index: 900 } < p && p.next() == Some(Position { epoch: 3, index: 42 }));
        assert_eq!(Position { epoch: 1, index: u64::MAX }.next(), None);
    }
}
