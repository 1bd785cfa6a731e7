//! Plain values of the settings: in JSON of their own types, on the simulator's wire as text. Empty text, `-` and JSON's
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
