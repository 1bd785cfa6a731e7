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

/// Counts one pass of a failpoint, and prints and blocks if it is the armed one.
pub(crate) fn hit(name: &str) {
    let Some(wait) = wait_of_this_pass(name) else { return };
    let mut stderr = std::io::stderr().lock();
    // A single write, so that no other line comes between. A closed standard error has no reader who could act on it.
    let _ = stderr.write_all(format!("{}{name}\n", crate::HIT_LINE_PREFIX).as_bytes());
    let _ = stderr.flush();
    drop(stderr);
    std::thread::sleep(wait);
}

/// How long this pass of the failpoint blocks; `None` if it is not armed for it.
fn wait_of_this_pass(name: &str) -> Option<Duration> {
    let mut armed = ARMED.lock().unwrap_or_else(PoisonError::into_inner);
    let points = armed.as_mut()?;
    points.count_pass(name).then(|| Duration::from_millis(points.wait_ms))
}
