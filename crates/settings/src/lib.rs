//! What a workload manager is told at its start, read into types, once.
//!
//! The settings come in two writings: as nested JSON in the platform's configuration ([`PlatformConfig`]), and as
//! `path=value` pairs on the simulator's wire ([`pairs`]). Both fill the one structure [`WireSettings`], whose decoding
//! is derived, and [`WireSettings::settings`] turns it into the decision module's vocabulary. So a name, a default or a
//! range stands in one place.
//!
//! What is not known is skipped, since the platform may add to it, and a word that is not known takes the meaning
//! that allows least. A known field of the wrong type, or a figure that is none, is an [`Error`] that names
//! the path, and in JSON the line and column. No input panics; memory is bounded by the text's own length and by
//! [`pairs::MAX_ITEMS`].

mod environment;
mod error;
pub mod pairs;
mod place;
mod platform_config;
mod settings_file;
mod validation;
mod value;
mod wire_settings;

pub use environment::{Environment, MIN_DESCRIPTOR};
pub use error::{Error, ErrorReason};
pub use place::{Place, ROOT};
pub use platform_config::{KnownEvents, PlatformConfig, ProcessLimits, Seed};
pub use settings_file::{SettingsFile, SettingsFileError};
pub use validation::{check_range, InvalidField, Violation};
pub use value::{Flag, Number, NumberList, Text, WholeNumber};
pub use wire_settings::{
    WireClass, WireClients, WireEngines, WireInvariants, WireLimits, WireLoadReport, WirePrices,
    WireSettings, WireTenant,
};
