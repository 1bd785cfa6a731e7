//! Why a scenario was rejected.

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
    /// A number lies outside its bounds.
    #[error(transparent)]
    Field(#[from] InvalidField),
    /// The faults of a process's disk or failpoints break a rule.
    #[error(transparent)]
    FaultFile(#[from] FaultFileError),
    /// A part of the scenario breaks a rule.
    #[error("{path}: {source}")]
    At {
        /// The part's path.
        path: String,
        /// The rule.
        source: Box<InvalidScenario>,
    },
    /// A template is unknown or names an unknown port.
    #[error("{path}: {source}")]
    Template {
        /// The path of the text that holds it.
        path: String,
        /// The template.
        source: TemplateError,
    },
    /// The history checker's configuration breaks a rule.
    #[error("check.{0}")]
    Check(#[source] CheckConfigError),
    /// The subscribers' section breaks a rule.
    #[error("subscribers.{0}")]
    Subscribers(#[source] Box<InvalidScenario>),
    /// The scenario's own name is empty, too long or holds other characters.
    #[error("name: letters, digits, '-' and '_', 1 to 64 of them, is {0:?}")]
    InvalidScenarioName(String),
    /// A name is empty, too long or holds other characters.
    #[error("{path}: letters, digits, '.', '-' and '_', 1 to 64, not {name:?}")]
    InvalidName {
        /// The name's path.
        path: String,
        /// The name.
        name: String,
    },
    /// A text is no JSON pointer, or too long.
    #[error("{path}: a JSON pointer such as /prev, not {pointer:?}")]
    InvalidPointer {
        /// The pointer's path.
        path: String,
        /// The text.
        pointer: String,
    },
    /// A range of the fleet lies outside 0 to 1, or ends before it begins.
    #[error("must lie within 0 and 1, in order, is {from} to {to}")]
    UnorderedFractions {
        /// Where it begins, as a fraction of the fleet.
        from: f64,
        /// Where it ends, as a fraction of the fleet.
        to: f64,
    },
    /// Managers are selected in no way or in several.
    #[error("on whom? one of from and to, names, group, drawn")]
    NotOneSelector,
    /// No manager has this name.
    #[error("{name:?} is no manager: n0 to n{last}")]
    UnknownManager {
        /// The name.
        name: String,
        /// The number of the last manager.
        last: usize,
    },
    /// No group of managers has this name.
    #[error("{0:?} is no group of managers")]
    UnknownManagerGroup(String),
    /// Managers are to know their zones, and there are fewer zones than groups.
    #[error("told_zone: there are more groups than zones")]
    MoreGroupsThanZones,
    /// The zone that the figures are about does not exist.
    #[error("watch.zone: {0:?} is no zone")]
    UnknownWatchZone(String),
    /// The log text that precedes a port's address is empty or too long.
    #[error("ports: said: 1 to 64 letters")]
    InvalidPortLogText,
    /// A clock offset is given for a name that is neither a manager nor a group.
    #[error("clocks: {0:?} is no manager and no group")]
    UnknownClock(String),
    /// No party of the fault proxy has this name.
    #[error(
        "{0:?} is no group: a, b, ... of `groups`, lists, engines, hall-a, ...; n0, ... with `pairs` or \
         `membership`, subscribers where there are some"
    )]
    UnknownParty(String),
    /// A party stands on both sides of a partition.
    #[error("{0:?} is on both sides")]
    OnBothSides(String),
    /// A call goes to a port that the scenario does not declare.
    #[error("call.port: no port {0:?}")]
    UnknownCallPort(String),
    /// The subscribers connect to a port that the scenario does not declare.
    #[error("port: no port {0:?} among `ports`")]
    UnknownSubscriberPort(String),
    /// The path that subscribers request is not one.
    #[error("path: begins with / and holds no blanks, not {0:?}")]
    InvalidSubscriberPath(String),
}

impl InvalidScenario {
    /// The same violation as seen from the part at `path`.
    pub(super) fn at(self, path: impl Into<String>) -> InvalidScenario {
        InvalidScenario::At { path: path.into(), source: Box::new(self) }
    }

    /// Names the text at `path` as the one that holds a wrong template.
    pub(super) fn template(path: impl Into<String>) -> impl FnOnce(TemplateError) -> InvalidScenario {
        let path = path.into();
        move |source| InvalidScenario::Template { path, source }
    }
}
