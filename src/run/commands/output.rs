//! Output functions that the sub-commands share.

use sprucelink_policy::Timestamp;
use std::io::Write;

/// Prints a line to standard output. A pipe that its reader has closed is not an error.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Formats an instant as Unix seconds with six decimals.
pub fn format_timestamp(timestamp: Timestamp) -> String {
    let micros = timestamp.as_micros();
    format!("{}.{:06}", micros.div_euclid(1_000_000), micros.rem_euclid(1_000_000))
}
