//! Plain values of the settings: typed in JSON, text on the simulator's wire. An empty text, `-` and JSON's
//! null mark an absent value.

mod number;
mod sections;
mod text;

pub use number::{Number, NumberList, UnsignedInteger};
pub(crate) use sections::{object, objects, or_default, present, section, Object};
pub use text::{Flag, Text};

/// Whether a text marks an absent value.
fn is_absent(text: &str) -> bool {
    matches!(text, "" | "-")
}
