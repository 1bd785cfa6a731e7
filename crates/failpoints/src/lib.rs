//! Failpoints and disk faults for tests of crash recovery.
//!
//! A failpoint is a named place in the program where a crash is most likely to expose a fault, for example
//! between the decision on a vote and its write to disk. The program marks the place by
//! `sprucelink_failpoints::hit("consensus.vote.unsynced")`. If the failpoint is armed, the call prints the
//! line `point consensus.vote.unsynced` to standard error, flushes, and blocks for a bounded time, so that
//! the test harness that reads the line can kill the process exactly there.
//!
//! Armed points and disk faults come from the file `faults.json5` in the process's folder
//! ([`fault_file::FaultFile`]), which the harness writes before it starts the process. Without the cargo
//! feature `hits`, [`hit`] is an empty function and [`arm`] fails, so that a release build cannot be made to
//! block.
//!
//! The set of armed points is the only global state, because failpoints are in code that has no access to the
//! harness.

mod error;
pub mod fault_file;
pub mod faulty_disk;

#[cfg(feature = "hits")]
mod armed;

pub use error::FailpointError;

use fault_file::{Failpoints, FaultFile};
use std::io;
use std::path::Path;

/// Prefix of the line that an armed failpoint prints; the failpoint's name follows.
pub const HIT_LINE_PREFIX: &str = "point ";

/// Arms failpoints for the whole process and disarms any armed before.
///
/// # Errors
/// [`FailpointError::NotBuiltIn`] in a build without the feature `hits`, unless `points` is empty: an armed
/// point that is never hit would let a test pass without its fault.
pub fn arm(points: Failpoints) -> Result<(), FailpointError> {
    #[cfg(feature = "hits")]
    {
        armed::replace(points);
        Ok(())
    }
    #[cfg(not(feature = "hits"))]
    if points.arm.is_empty() {
        Ok(())
    } else {
        Err(FailpointError::NotBuiltIn)
    }
}

/// Marks a failpoint; each call is one pass. If the failpoint is armed for this pass, prints its name and
/// blocks the thread for the configured time, at most [`fault_file::MAX_WAIT_MS`]; otherwise does nothing.
#[inline]
pub fn hit(name: &str) {
    #[cfg(feature = "hits")]
    armed::hit(name);
    #[cfg(not(feature = "hits"))]
    let _ = name;
}

/// Reads the fault file of a process's folder and arms its failpoints. Without such a file there are no
/// faults.
///
/// # Errors
/// The path of the file and the reason for rejecting it. In a build without the feature `hits` the presence
/// of the file is an error and the file is not read: a release build must not lose writes because of a file.
pub fn load_and_arm(folder: &Path) -> Result<FaultFile, FailpointError> {
    let path = folder.join(fault_file::FILE_NAME);
    if cfg!(not(feature = "hits")) {
        return if path.exists() {
            Err(FailpointError::FileRejected { path })
        } else {
            Ok(FaultFile::default())
        };
    }
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(FaultFile::default()),
        Err(source) => return Err(FailpointError::Read { path, source }),
    };
    let faults = FaultFile::parse(&text).map_err(|source| FailpointError::Invalid { path, source })?;
    arm(faults.points.clone())?;
    Ok(faults)
}
