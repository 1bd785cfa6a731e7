//! `sprucelink capture verify`: replays test cases and checks their rules.

use super::output::{format_timestamp, print_line};
use super::{CaptureError, CommandOutcome};
use crate::run::error::BoxError;
use serde_json::json;
use sprucelink_capture::cut::check_case;
use sprucelink_capture::reader;
use sprucelink_capture::rules::Breach;
use sprucelink_policy::Timestamp;
use std::path::{Path, PathBuf};

/// Checks each case in the files or folders; a broken rule is a mismatch.
///
/// # Errors
/// A file that cannot be read completely or replayed.
pub fn run(paths: &[PathBuf], as_json: bool) -> Result<CommandOutcome, CaptureError> {
    let mut all_hold = true;
    for path in paths {
        for file in reader::list_files(path).map_err(BoxError::from)? {
            all_hold &= verify_file(&file, as_json)?;
        }
    }
    Ok(CommandOutcome::from_match(all_hold))
}

/// Whether all cases in a file satisfy their rules.
fn verify_file(file: &Path, as_json: bool) -> Result<bool, CaptureError> {
    let contents = reader::read_file(file).map_err(BoxError::from)?;
    if let Some(reader::Damage { offset, reason }) = contents.damage.into_iter().next() {
        return Err(CaptureError::Damaged { file: file.to_owned(), offset, reason });
    }
    let mut all_hold = true;
    for case in &contents.segments {
        let breaches =
            check_case(case).map_err(|e| CaptureError::File { path: file.to_owned(), source: e.into() })?;
        all_hold &= breaches.is_empty();
        print_breaches(file, &breaches, as_json);
    }
    Ok(all_hold)
}

/// Prints whether a case satisfies its rules, and each violation.
pub fn print_breaches(file: &Path, breaches: &[Breach], as_json: bool) {
    if as_json {
        let line = json!({"case": file, "holds": breaches.is_empty(), "breaches": breaches});
        print_line(&line.to_string());
        return;
    }
    let result = if breaches.is_empty() { "holds" } else { "broken" };
    print_line(&format!("{}: {result}", file.display()));
    for breach in breaches {
        let at = format_timestamp(Timestamp::from_micros(breach.at_us));
        print_line(&format!("  {at} {}: {}", breach.rule, breach.why));
    }
}
