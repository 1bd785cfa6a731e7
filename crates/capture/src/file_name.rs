//! Names of capture files, by which the recorder writes and the reader finds them.

use sprucelink_policy::Timestamp;

/// The suffix of the names of capture files.
pub const SUFFIX: &str = ".slc";

/// The name of the file of a segment. Names sort by the time at which their segments began.
pub fn segment_file_name(begun_at: Timestamp, segment: u64) -> String {
    format!("{:020}-{segment:06}{SUFFIX}", begun_at.as_micros().max(0))
}
