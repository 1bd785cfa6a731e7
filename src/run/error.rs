//! How an error and its causes are shown on standard error and in log lines.

use std::error::Error;

/// An error of another crate, kept as the cause of one of ours.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// The message of an error followed by those of its causes, joined by `": "`.
///
/// Some libraries put the text of the cause into their own message; such a cause is not shown again.
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
