//! Errors of scenarios.

use crate::template::TemplateError;
use sprucelink_failpoints::fault_file::FaultFileError;
use sprucelink_history_checker::config::CheckConfigError;
use sprucelink_settings::InvalidField;
use thiserror::Error;

/// Why a scenario file could not be read.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not JSON5, or a field is unknown or of the wrong type.
    #[error("scenario: {0}")]
    Syntax(#[from] json5::Error),
    /// A field breaks a rule.
    #[error("scenario: {0}")]
    Invalid(#[from] InvalidScenario),
}

/// A rule that a scenario breaks, with the path of the field.
#[derive(Debug, Error)]
pub enum InvalidScenario {
    /// A number lies outside its range.
    #[error(transparent)]
    Field(#[from] InvalidField),
    /// The faults of a process's disk or failpoints break a rule.
    #[error(transparent)]
    FaultFile(#[from] FaultFileError),
    /// A part of the scenario breaks a rule.
    #[error("{path}: {source}")]
    At {
        /// Path of the part in the scenario.
        path: String,
        /// The rule that the part breaks.
        source: Box<InvalidScenario>,
    },
    /// A template is unknown or names an unknown port.
    #[error("{path}: {source}")]
    Template {
        /// Path in the scenario of the text that contains the template.
        path: String,
        /// The error of the template.
        source: TemplateError,
    },
    /// The history checker's configuration breaks a rule.
    #[error("check.{0}")]
    Check(#[source] CheckConfigError),
    /// The subscribers' section breaks a rule.
    #[error("subscribers.{0}")]
    Subscribers(#[source] Box<InvalidScenario>),
    /// The scenario's own name is empty, too long or contains characters that are not allowed.
    #[error("name: expected 1 to 64 letters, digits, '-' or '_', found {0:?}")]
    InvalidScenarioName(String),
    /// A name is empty, too long, contains characters that are not allowed, or begins with a dot.
    #[error("{path}: expected 1 to 64 letters, digits, '.', '-' or '_', not '.' first, found {name:?}")]
    InvalidName {
        /// Path of the field with the name.
        path: String,
        /// The invalid name.
        name: String,
    },
    /// A text is not a JSON pointer, or too long.
    #[error("{path}: expected a JSON pointer such as /prev, of at most 128 bytes, found {pointer:?}")]
    InvalidPointer {
        /// Path of the field with the pointer.
        path: String,
        /// The invalid text.
        pointer: String,
    },
    /// A range of the fleet lies outside 0 to 1, or ends before it begins.
    #[error("expected fractions from 0 to 1, in order, found {from} to {to}")]
    UnorderedFractions {
        /// Start of the range, as a fraction of the fleet.
        from: f64,
        /// End of the range, as a fraction of the fleet.
        to: f64,
    },
    /// Managers are selected in no way or in several.
    #[error("expected exactly one selection of managers: from and to, names, group or drawn")]
    NotOneSelector,
    /// No manager has this name.
    #[error("unknown manager {name:?}: expected n0 to n{last}")]
    UnknownManager {
        /// The unknown name.
        name: String,
        /// The index of the last manager.
        last: usize,
    },
    /// No group of managers has this name.
    #[error("unknown group of managers {0:?}")]
    UnknownManagerGroup(String),
    /// Managers are to know their zones, but there are fewer zones than groups.
    #[error("told_zone: there are more groups than zones")]
    MoreGroupsThanZones,
    /// The watched zone does not exist.
    #[error("watch.zone: unknown zone {0:?}")]
    UnknownWatchZone(String),
    /// The log text that precedes a port's address is empty or too long.
    #[error("ports: said: expected 1 to 64 bytes")]
    InvalidPortLogText,
    /// A clock offset is given for a name that is neither a manager nor a group.
    #[error("clocks: unknown manager or group {0:?}")]
    UnknownClock(String),
    /// No party of the fault proxy has this name.
    #[error(
        "unknown party {0:?}: expected a group (a, b, ... of `groups`), lists, engines, a zone (hall-a, ...), \
         a manager (n0, ...; with `pairs` or `membership`) or subscribers (where there are some)"
    )]
    UnknownParty(String),
    /// A party is on both sides of a partition.
    #[error("{0:?} is on both sides")]
    OnBothSides(String),
    /// A call goes to a port that the scenario does not declare.
    #[error("call.port: unknown port {0:?}")]
    UnknownCallPort(String),
    /// The subscribers connect to a port that the scenario does not declare.
    #[error("port: unknown port {0:?}, not one of `ports`")]
    UnknownSubscriberPort(String),
    /// The path that subscribers request is invalid.
    #[error(
        "path: expected a path that begins with / and contains no blanks or control characters, found {0:?}"
    )]
    InvalidSubscriberPath(String),
}

impl InvalidScenario {
    /// Adds the path of the part that contains the violation.
    pub(super) fn at(self, path: impl Into<String>) -> InvalidScenario {
        InvalidScenario::At { path: path.into(), source: Box::new(self) }
    }

    /// Wraps the error of a template with the path of the text that contains it.
    pub(super) fn template(path: impl Into<String>) -> impl FnOnce(TemplateError) -> InvalidScenario {
        let path = path.into();
        move |source| InvalidScenario::Template { path, source }
    }
}
