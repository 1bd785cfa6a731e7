//! Settings of a workload manager, parsed into types.
//!
//! The platform's settings come in two forms: as nested JSON in its configuration ([`PlatformConfig`]), and
//! as `path=value` pairs on the simulator's wire ([`pairs`]). Both are deserialized into [`WireSettings`],
//! whose serde renames hold the names on the wire, and [`WireSettings::to_policy_settings`] converts it to
//! the policy's settings. Unknown fields are skipped, since the platform may add fields. A known field of the
//! wrong type is an [`Error`] that names the path, and in JSON the line and column. No input causes a panic;
//! memory is bounded by the text's own length and by [`pairs::MAX_ITEMS`].
//!
//! Operators' own settings files are JSON5 and strict: [`SettingsFile`]. Environment variables:
//! [`Environment`].

mod environment;
mod error;
pub mod pairs;
mod place;
mod platform_config;
mod policy_settings;
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
pub use value::{Flag, Number, NumberList, Text, UnsignedInteger};
pub use wire_settings::{
    WireClass, WireClients, WireEngines, WireInvariants, WireLimits, WireLoadReport, WirePrices,
    WireSettings, WireTenant,
};
