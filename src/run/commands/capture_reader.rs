//! Reads a whole capture for the sub-commands, and warns about damaged parts.

use super::CaptureError;
use crate::run::error::{with_causes, BoxError};
use sprucelink_capture::reader;
use sprucelink_capture::segment::{Segment, SegmentEnd};
use sprucelink_policy::Timestamp;
use std::path::{Path, PathBuf};

/// A part of a capture that could not be read.
pub struct Damage {
    /// File with the damage.
    pub file: PathBuf,
    /// Offset in bytes at which the file cannot be read.
    pub offset: usize,
    /// Reason why the file cannot be read from the offset on.
    pub reason: String,
}

/// The readable segments of a capture, and its damage.
pub struct Capture {
    /// Segments in recording order.
    pub segments: Vec<Segment>,
    /// Parts that could not be read.
    pub damage: Vec<Damage>,
}

impl Capture {
    /// Reads a file, or a folder of files. Damage, truncated segments, and unusable files among several files
    /// are reported on standard error.
    ///
    /// # Errors
    /// A capture without a single usable segment.
    pub fn read(path: &Path) -> Result<Capture, CaptureError> {
        let mut capture = Capture { segments: Vec::new(), damage: Vec::new() };
        let files = reader::list_files(path).map_err(BoxError::from)?;
        let mut last_error = None;
        for file in &files {
            match reader::read_file(file) {
                Ok(contents) => capture.append(file, contents),
                Err(error) => {
                    if files.len() > 1 {
                        eprintln!("sprucelink: file skipped: {}", with_causes(&error));
                    }
                    last_error = Some(CaptureError::Library(error.into()));
                }
            }
        }
        capture.report_damage();
        capture.report_truncated_segments();
        if capture.segments.is_empty() {
            return Err(last_error.unwrap_or(CaptureError::NoSegment));
        }
        Ok(capture)
    }

    /// Time of the first checkpoint, to which `+SECONDS` on the command line is relative.
    pub fn start(&self) -> Timestamp {
        self.segments.first().map_or(Timestamp::ZERO, |segment| segment.at)
    }

    fn append(&mut self, file: &Path, contents: reader::CaptureContents) {
        self.segments.extend(contents.segments);
        for reader::Damage { offset, reason } in contents.damage {
            self.damage.push(Damage { file: file.to_owned(), offset, reason });
        }
    }

    fn report_damage(&self) {
        for Damage { file, offset, reason } in &self.damage {
            eprintln!("sprucelink: {}: damaged at byte {offset}: {reason}", file.display());
        }
    }

    fn report_truncated_segments(&self) {
        for segment in &self.segments {
            let SegmentEnd::Truncated { inside_frame } = segment.end else { continue };
            let place = if inside_frame { "inside a frame" } else { "after a complete frame" };
            eprintln!(
                "sprucelink: {}: segment {} is cut off {place}: {} complete records are used",
                segment.file.display(),
                segment.header.number,
                segment.records.len()
            );
        }
    }
}
