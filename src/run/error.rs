//! Formats an error and its causes for standard error and log lines.

use std::error::Error;

/// An error of another crate, stored as the cause of an error of this crate.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// The message of an error followed by those of its causes, joined by `": "`.
///
/// Some libraries include the text of the cause in their own message; such a cause is not repeated.
pub fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let message = error.to_string();
        if !text.ends_with(&message) {
            text = format!("{text}: {message}");
        }
        cause = error.source();
    }
    text
}

#[cfg(test)]
mod tests;
