//! Names of capture files, shared by the recorder and the reader.

use sprucelink_policy::Timestamp;

/// Suffix of the names of capture files.
pub const SUFFIX: &str = ".slc";

/// File name of a segment. Names sort in the order in which the segments began.
pub fn segment_file_name(begun_at: Timestamp, segment: u64) -> String {
    format!("{:020}-{segment:06}{SUFFIX}", begun_at.as_micros().max(0))
}
