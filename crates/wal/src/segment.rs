//! Names of the log's files.

use crate::error::WalError;
use crate::limits::MAX_FILES;

/// Name of a segment while its first record is being written. It is part of the on-disk format and must not
/// change.
pub(crate) const TEMPORARY_NAME: &str = "aside";
/// Start of a segment's name; [`SEQUENCE_DIGITS`] hexadecimal digits of its first batch's sequence number
/// follow. It is part of the on-disk format and must not change.
pub(crate) const PREFIX: &str = "gen-";
/// Number of digits in a segment's name.
const SEQUENCE_DIGITS: usize = 16;

/// The name of the segment that starts with a batch.
pub(crate) fn name(first_sequence: u64) -> String {
    format!("{PREFIX}{first_sequence:016x}")
}

/// The sequence number in a segment's name; `None` when the name is not that of a segment.
fn parse_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX).filter(|digits| digits.len() == SEQUENCE_DIGITS)?;
    u64::from_str_radix(digits, 16).ok()
}

/// A segment file of the directory.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Segment {
    pub first_sequence: u64,
    pub name: String,
}

/// The files in a directory of the log.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub newest: Option<Segment>,
    /// Files that a crash left behind: older segments and the temporary file.
    pub leftovers: Vec<String>,
}

impl Listing {
    /// Classifies the names of a directory's files.
    ///
    /// # Errors
    /// [`WalError::ForeignFile`] or [`WalError::TooManyFiles`].
    pub fn parse(names: Vec<String>) -> Result<Listing, WalError> {
        if names.len() > MAX_FILES {
            return Err(WalError::TooManyFiles);
        }
        let mut segments = Vec::new();
        let mut has_temporary = false;
        for name in names {
            if let Some(first_sequence) = parse_name(&name) {
                segments.push(Segment { first_sequence, name });
            } else if name == TEMPORARY_NAME {
                has_temporary = true;
            } else {
                return Err(WalError::ForeignFile { name });
            }
        }
        segments.sort();
        let newest = segments.pop();
        let mut leftovers: Vec<String> = segments.into_iter().map(|segment| segment.name).collect();
        if has_temporary {
            leftovers.push(TEMPORARY_NAME.to_owned());
        }
        Ok(Listing { newest, leftovers })
    }
}
