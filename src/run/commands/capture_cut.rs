//! `sprucelink capture cut`: cuts a small test case out of a capture.

use super::capture_reader::Capture;
use super::capture_verify::print_breaches;
use super::output::{format_timestamp, print_line};
use super::CaptureError;
use crate::run::cli::CutOptions;
use crate::run::error::BoxError;
use sprucelink_capture::cut::{check_case, cut_case, CaseSpan};
use sprucelink_capture::rules::Rule;
use sprucelink_capture::segment_writer;
use sprucelink_policy::TimeDelta;
use std::io;
use std::path::Path;

/// Writes the case, and prints its size and whether it satisfies its rules. A broken rule is not an error:
/// the case may be cut to show the violation.
///
/// # Errors
/// A capture that cannot be used or does not contain the instant, or a file that cannot be written.
pub fn run(options: &CutOptions) -> Result<(), CaptureError> {
    let capture = Capture::read(&options.capture)?;
    let rules = if options.rules.is_empty() { Rule::service_rules() } else { options.rules.clone() };
    let span = CaseSpan {
        around: options.around.resolve(capture.start()),
        before: TimeDelta::from_secs_f64(options.before_s),
        after: TimeDelta::from_secs_f64(options.after_s),
        rules,
        note: options.note.clone(),
    };
    let case = cut_case(&capture.segments, &span).map_err(BoxError::from)?;
    let bytes = segment_writer::write(&case).map_err(BoxError::from)?;
    write_case(&options.out, &bytes)?;
    print_line(&format!(
        "{}: {} bytes, {} records from {} to {}",
        options.out.display(),
        bytes.len(),
        case.records.len(),
        format_timestamp(case.at),
        format_timestamp(case.until())
    ));
    let violations = check_case(&case).map_err(BoxError::from)?;
    print_breaches(&options.out, &violations, false);
    Ok(())
}

/// Writes a file, and creates its folder if necessary.
fn write_case(path: &Path, bytes: &[u8]) -> Result<(), CaptureError> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|e| file_error(folder, e))?;
    }
    std::fs::write(path, bytes).map_err(|e| file_error(path, e))
}

fn file_error(path: &Path, error: io::Error) -> CaptureError {
    CaptureError::File { path: path.to_owned(), source: error.into() }
}
