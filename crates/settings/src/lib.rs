//! What a workload manager is told at its start, read into types, once.
//!
//! The settings come in two writings: as nested JSON in the platform's configuration ([`Platform`]), and as
//! `path=value` pairs on the simulator's wire ([`pairs`]). Both fill the one structure [`Told`], whose decoding
//! is derived, and [`Told::settings`] turns it into the decision module's vocabulary. So a name, a default or a
//! range stands in one place.
//!
//! What is not known is skipped, since the platform may add to it, and a word that is not known takes the meaning
//! that allows least. A known field of the wrong type, or a figure that is none, is an [`Error`] that names
//! the path, and in JSON the line and column. No input panics; memory is bounded by the text's own length and by
//! [`pairs::MOST_ITEMS`].

mod environment;
mod error;
pub mod pairs;
mod platform;
mod settings_file;
mod told;
mod validation;
mod value;

pub use environment::{Environment, LEAST_DESCRIPTOR};
pub use error::Error;
pub use platform::{Known, Limits, Platform, Seed};
pub use settings_file::{Place, SettingsFile, SettingsFileError};
pub use told::{Clients, Customer, Engines, Invariants, LoadReport, Prices, Profile, Told, WireLimits};
pub use validation::{check_range, InvalidField, Violation};
pub use value::{Figures, Flag, Number, Whole, Word};
