//! Positions in the journal, as subscribers are told them.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A position: `EPOCH:INDEX` in decimal. Indexes are dense from 1 within an epoch; index 0 is before the first record. A
/// later epoch is a later position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor {
    /// The journal's epoch.
    pub epoch: u64,
    /// The record's place in it.
    pub index: u64,
}

impl Cursor {
    /// A position.
    pub fn new(epoch: u64, index: u64) -> Cursor {
        Cursor { epoch, index }
    }

    /// Whether `next` is the position right behind this one in the same epoch.
    pub fn leads_to(self, next: Cursor) -> bool {
        self.epoch == next.epoch && self.index.checked_add(1) == Some(next.index)
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.epoch, self.index)
    }
}

impl FromStr for Cursor {
    type Err = String;

    fn from_str(text: &str) -> Result<Cursor, String> {
        let number = |t: &str| {
            // No signs and no leading zeros: one position has one text, as the journal writes it.
            t.parse::<u64>().ok().filter(|n| n.to_string() == t)
        };
        let parts = text.split_once(':').and_then(|(e, i)| Some(Cursor::new(number(e)?, number(i)?)));
        parts.ok_or_else(|| format!("a cursor is EPOCH:INDEX in decimal, not {text:?}"))
    }
}

impl Serialize for Cursor {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Cursor {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Cursor, D::Error> {
        String::deserialize(from)?.parse().map_err(de::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cursors_are_read_strictly_and_ordered_by_epoch_first() {
        assert_eq!("3:17".parse(), Ok(Cursor::new(3, 17)));
        for bad in ["", "3", "3:", ":1", "+3:1", "3:-1", "3:1:2", "03:1", "18446744073709551616:1", " 3:1"] {
            assert!(bad.parse::<Cursor>().is_err(), "{bad:?}");
        }
        assert!(Cursor::new(2, 1) > Cursor::new(1, 900));
        assert!(
            Cursor::new(1, 1).leads_to(Cursor::new(1, 2)) && !Cursor::new(1, 1).leads_to(Cursor::new(2, 2))
        );
        assert!(!Cursor::new(1, u64::MAX).leads_to(Cursor::new(1, 0)));
    }
}
