//! Printing, as the sub-commands share it.

use sprucelink_policy::Timestamp;
use std::io::Write;

/// Prints a line to standard output. A reader that has closed the pipe is no error.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// An instant as Unix seconds with six decimals.
pub fn format_timestamp(at: Timestamp) -> String {
    let micros = at.as_micros();
    format!("{}.{:06}", micros.div_euclid(1_000_000), micros.rem_euclid(1_000_000))
}
