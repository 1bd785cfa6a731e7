//! Where a test rig strikes a process: named points in the program, and faults of the disk under its store. Both are
//! told by a file in the process's folder, `faults.json5` ([`file::FaultFile`]), which the rig writes before the start.
//!
//! A point is a place where a crash is worst: a vote decided and not yet on disk, a permit sent and not yet
//! acknowledged. The program marks it by `sprucelink_failpoints::hit("council.vote.unsynced")`. Armed, that writes the line
//! `point council.vote.unsynced` to standard error, flushes, and waits for a bounded time, so that whoever reads the
//! line strikes exactly there. Built without the feature `hits` it is an empty function, and [`arm`] refuses: a release
//! build cannot be made to wait.
//!
//! What is armed is kept for the whole process, the one piece of global state here: points lie in code that is handed
//! nothing of the rig.

pub mod disk;
pub mod file;

use file::Points;

/// What stands before a point's name in the line that tells it.
pub const LINE: &str = "point ";

#[cfg(feature = "hits")]
mod armed {
    use crate::file::Points;
    use std::io::Write;
    use std::sync::{Mutex, PoisonError};
    use std::time::Duration;

    static ARMED: Mutex<Option<Points>> = Mutex::new(None);

    pub fn arm(points: Points) {
        *ARMED.lock().unwrap_or_else(PoisonError::into_inner) = Some(points);
    }

    pub fn hit(name: &str) {
        let wait = {
            let mut armed = ARMED.lock().unwrap_or_else(PoisonError::into_inner);
            armed.as_mut().and_then(|a| a.passes(name).then_some(a.wait_ms))
        };
        let Some(ms) = wait else { return };
        let mut out = std::io::stderr().lock();
        // One write, so that no other line comes between; a closed standard error is nobody who could strike.
        let _ = out.write_all(format!("{}{name}\n", crate::LINE).as_bytes());
        let _ = out.flush();
        drop(out);
        std::thread::sleep(Duration::from_millis(ms));
    }
}

/// Arms points; those armed before are so no longer.
///
/// # Errors
/// In a build without the feature `hits`: an armed point that never tells would make a test pass for nothing.
pub fn arm(points: Points) -> Result<(), String> {
    #[cfg(feature = "hits")]
    {
        armed::arm(points);
        Ok(())
    }
    #[cfg(not(feature = "hits"))]
    match points.arm.is_empty() {
        true => Ok(()),
        false => {
            Err("this build has no points: build with the feature `hits` of sprucelink-failpoints".into())
        }
    }
}

/// A named point. Armed for this pass, it tells its name and blocks its thread for the time armed, at most
/// [`file::MOST_WAIT_MS`]; else it does nothing.
#[inline]
pub fn hit(name: &str) {
    #[cfg(feature = "hits")]
    armed::hit(name);
    #[cfg(not(feature = "hits"))]
    let _ = name;
}

/// Reads the faults that a process's folder names, and arms its points. No file: no fault.
///
/// # Errors
/// The file's path and what is wrong with it. In a build without the feature `hits` the file itself is an error: it is
/// not read, for no product loses writes because of a file, and a test that got no fault would pass for nothing.
pub fn begin(folder: &std::path::Path) -> Result<file::FaultFile, String> {
    let path = folder.join(file::NAME);
    let named = |e: String| format!("{}: {e}", path.display());
    if cfg!(not(feature = "hits")) {
        return match path.exists() {
            true => Err(named(
                "this build takes no faults: build with the feature `hits` of sprucelink-failpoints".into(),
            )),
            false => Ok(file::FaultFile::default()),
        };
    }
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(file::FaultFile::default()),
        Err(e) => return Err(named(e.to_string())),
    };
    let faults = file::FaultFile::parse(&text).map_err(named)?;
    arm(faults.points.clone())?;
    Ok(faults)
}
