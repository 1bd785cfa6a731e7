//! The process-wide set of armed failpoints.

use crate::fault_file::Failpoints;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

static ARMED: Mutex<Option<Failpoints>> = Mutex::new(None);

/// Replaces the armed failpoints.
pub(crate) fn replace(points: Failpoints) {
    *ARMED.lock().unwrap_or_else(PoisonError::into_inner) = Some(points);
}

/// Counts one pass of a failpoint. If the failpoint is armed for this pass, prints its name and blocks.
pub(crate) fn hit(name: &str) {
    let Some(wait) = count_pass(name) else { return };
    let mut stderr = std::io::stderr().lock();
    // A single write, so that other output cannot split the line. If standard error is closed, no harness
    // reads the line, so the error is ignored.
    let _ = stderr.write_all(format!("{}{name}\n", crate::HIT_LINE_PREFIX).as_bytes());
    let _ = stderr.flush();
    drop(stderr);
    std::thread::sleep(wait);
}

/// Counts one pass and returns the time for which it blocks; `None` if the failpoint is not armed for this
/// pass.
fn count_pass(name: &str) -> Option<Duration> {
    let mut armed = ARMED.lock().unwrap_or_else(PoisonError::into_inner);
    let points = armed.as_mut()?;
    points.count_pass(name).then(|| Duration::from_millis(points.wait_ms))
}
