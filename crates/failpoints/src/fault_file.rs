//! The fault file `faults.json5` in the folder of a process. Unknown fields are rejected.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Name of the fault file within a process's folder.
pub const FILE_NAME: &str = "faults.json5";
/// Maximum time for which an armed failpoint blocks, in milliseconds: a test must end even if its harness
/// does not react.
pub const MAX_WAIT_MS: u64 = 10_000;
/// Maximum number of failpoints armed at once.
pub const MAX_ARMED_POINTS: usize = 32;
/// Maximum length of a failpoint's name, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of writes that a faulty disk may delay at once.
pub const MAX_DELAYED_WRITES: u32 = 1_000;

/// All faults of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultFile {
    /// Failpoints to arm in the process.
    pub points: Failpoints,
    /// Faults of the disk under the store.
    pub disk: DiskFaults,
}

/// The failpoints to arm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Failpoints {
    /// For each failpoint, the number of the pass, counted from 1, at which the failpoint prints its name and
    /// blocks. At all other passes it does nothing.
    pub arm: BTreeMap<String, u32>,
    /// Time for which an armed failpoint blocks, in milliseconds; 0 to [`MAX_WAIT_MS`].
    pub wait_ms: u64,
}

impl Default for Failpoints {
    fn default() -> Failpoints {
        Failpoints { arm: BTreeMap::new(), wait_ms: 2_000 }
    }
}

impl Failpoints {
    /// Counts one pass of a failpoint and returns whether the failpoint is armed for this pass.
    pub fn count_pass(&mut self, name: &str) -> bool {
        match self.arm.get_mut(name) {
            Some(remaining) if *remaining <= 1 => {
                self.arm.remove(name);
                true
            }
            Some(remaining) => {
                *remaining -= 1;
                false
            }
            None => false,
        }
    }

    /// Checks the number, names and passes of the failpoints and the time for which they block.
    fn check(&self) -> Result<(), FaultFileError> {
        if self.wait_ms > MAX_WAIT_MS {
            return Err(FaultFileError::WaitTooLong(self.wait_ms));
        }
        if self.arm.len() > MAX_ARMED_POINTS {
            return Err(FaultFileError::TooManyPoints(self.arm.len()));
        }
        for (name, pass) in &self.arm {
            if !is_valid_name(name) || *pass == 0 {
                return Err(FaultFileError::InvalidPoint { name: name.clone(), pass: *pass });
            }
        }
        Ok(())
    }
}

/// Error of a write that a faulty disk rejects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiskErrorKind {
    /// No space left (ENOSPC).
    #[default]
    Enospc,
    /// An input or output error (EIO).
    Eio,
}

/// Faults of a disk, counted from the opening of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiskFaults {
    /// Number of bytes accepted before writes fail; the write that exceeds this capacity is written up to the
    /// capacity. `None` means no limit.
    pub full_after: Option<u64>,
    /// Error of a write that exceeds `full_after`.
    #[serde(rename = "refusal")]
    pub write_error: DiskErrorKind,
    /// Number of latest writes that are acknowledged but not yet in the file, so that a crash loses them; 0
    /// to [`MAX_DELAYED_WRITES`].
    #[serde(rename = "hold_back")]
    pub delayed_writes: u32,
    /// Number of bytes at the end of the last write that only reach the file with the next write, so that a
    /// crash tears it.
    #[serde(rename = "torn")]
    pub torn_bytes: u64,
}

/// Reason for rejecting a fault file.
#[derive(Debug, Error)]
pub enum FaultFileError {
    /// The text is not JSON5 of the expected structure. The error contains the line and the field.
    #[error(transparent)]
    Syntax(#[from] json5::Error),
    /// A failpoint would block for too long.
    #[error("points.wait_ms: expected 0 to {MAX_WAIT_MS}, got {0}")]
    WaitTooLong(u64),
    /// Too many failpoints are armed.
    #[error("points.arm: expected at most {MAX_ARMED_POINTS} points, got {0}")]
    TooManyPoints(usize),
    /// A failpoint's name or pass is out of range.
    #[error(
        "points.arm: expected a name of up to {MAX_NAME_LENGTH} letters, digits, dots, dashes and \
         underscores, and a pass of at least 1, got {name:?} at pass {pass}"
    )]
    InvalidPoint {
        /// Name in the fault file.
        name: String,
        /// Pass in the fault file.
        pass: u32,
    },
    /// Too many writes are delayed.
    #[error("disk.hold_back: expected 0 to {MAX_DELAYED_WRITES}, got {0}")]
    TooManyDelayedWrites(u32),
}

impl FaultFile {
    /// Parses and checks the text of a fault file.
    ///
    /// # Errors
    /// The line and field of a syntax error, or the first field out of range and its range.
    pub fn parse(text: &str) -> Result<FaultFile, FaultFileError> {
        let faults: FaultFile = json5::from_str(text)?;
        faults.check()?;
        Ok(faults)
    }

    /// Checks all ranges.
    ///
    /// # Errors
    /// The first field that is out of range.
    pub fn check(&self) -> Result<(), FaultFileError> {
        self.points.check()?;
        if self.disk.delayed_writes > MAX_DELAYED_WRITES {
            return Err(FaultFileError::TooManyDelayedWrites(self.disk.delayed_writes));
        }
        Ok(())
    }
}

/// Whether a failpoint may have this name.
fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
