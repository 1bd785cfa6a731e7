//! The file that tells a process its faults: `faults.json5` in its folder. A field that is not known is refused.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The file's name.
pub const NAME: &str = "faults.json5";
/// A point waits so long at most, in milliseconds: a test that nobody strikes must still end.
pub const MOST_WAIT_MS: u64 = 10_000;
/// Points armed at once at most.
pub const MOST_POINTS: usize = 32;
/// Longest name of a point.
const LONGEST_NAME: usize = 64;
/// Writes held back at most.
pub const MOST_HELD: u32 = 1_000;

/// All faults of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultFile {
    /// Points to tell and wait at.
    pub points: Points,
    /// Faults of the disk under the store.
    pub disk: Disk,
}

/// Points armed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Points {
    /// By name: at which pass of this process, counted from 1, it tells and waits; once.
    pub arm: BTreeMap<String, u32>,
    /// How long it waits, in milliseconds; 0 to [`MOST_WAIT_MS`].
    pub wait_ms: u64,
}

impl Default for Points {
    fn default() -> Points {
        Points { arm: BTreeMap::new(), wait_ms: 2_000 }
    }
}

impl Points {
    /// One pass of a point: whether it is the one armed for.
    pub fn passes(&mut self, name: &str) -> bool {
        match self.arm.get_mut(name) {
            Some(left) if *left <= 1 => {
                self.arm.remove(name);
                true
            }
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }
}

/// What a disk says when it takes no more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No space left (ENOSPC).
    #[default]
    Enospc,
    /// An input or output error (EIO).
    Eio,
}

/// Faults of a disk, counted from the store's opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Disk {
    /// Bytes it takes before it refuses; the write that goes beyond is written up to there. None: no bound.
    pub full_after: Option<u64>,
    /// What it says then.
    pub refusal: Refusal,
    /// So many of the last writes are acknowledged and reach the file only behind later ones: a crash loses them. 0 to
    /// [`MOST_HELD`].
    pub hold_back: u32,
    /// So many bytes at the end of the last write reach the file only with the next: a crash tears it.
    pub torn: u64,
}

impl FaultFile {
    /// Reads a file's text.
    ///
    /// # Errors
    /// The line and field, or the field and its range.
    pub fn parse(text: &str) -> Result<FaultFile, String> {
        let faults: FaultFile = json5::from_str(text).map_err(|e| e.to_string())?;
        faults.check()?;
        Ok(faults)
    }

    /// What is wrong with the faults, if anything.
    ///
    /// # Errors
    /// The field and its range.
    pub fn check(&self) -> Result<(), String> {
        let Points { arm, wait_ms } = &self.points;
        if *wait_ms > MOST_WAIT_MS {
            return Err(format!("points.wait_ms: 0 to {MOST_WAIT_MS}, is {wait_ms}"));
        }
        if arm.len() > MOST_POINTS {
            return Err(format!("points.arm: at most {MOST_POINTS} points, are {}", arm.len()));
        }
        let plain = |n: &str| {
            let sign = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
            !n.is_empty() && n.len() <= LONGEST_NAME && n.chars().all(sign)
        };
        if let Some((name, at)) = arm.iter().find(|(n, at)| !plain(n) || **at == 0) {
            return Err(format!("points.arm: a name of up to {LONGEST_NAME} letters, digits, dots and dashes, and a pass from 1 on, not {name:?} at {at}"));
        }
        if self.disk.hold_back > MOST_HELD {
            return Err(format!("disk.hold_back: 0 to {MOST_HELD}, is {}", self.disk.hold_back));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_is_read_with_defaults_and_what_cannot_be_meant_is_named() {
        let f =
            FaultFile::parse("{ points: { arm: { 'vote.unsynced': 2 } }, disk: { torn: 3 } }").expect("read");
        assert_eq!((f.points.wait_ms, f.disk.torn, f.disk.hold_back), (2_000, 3, 0));
        let mut p = f.points;
        assert_eq!(
            [1, 2, 3].map(|_| p.passes("vote.unsynced")),
            [false, true, false],
            "the second pass, once"
        );
        assert!(!p.passes("other"));
        for (text, named) in [
            ("{ points: { wait_ms: 60000 } }", "points.wait_ms"),
            ("{ points: { arm: { 'a b': 1 } } }", "points.arm"),
            ("{ points: { arm: { a: 0 } } }", "points.arm"),
            ("{ disk: { hold_back: 5000 } }", "disk.hold_back"),
            ("{ disk: { full: 1 } }", "full"),
        ] {
            let e = FaultFile::parse(text).unwrap_err();
            assert!(e.contains(named), "{text}: {e}");
        }
    }
}
