//! The disruption budgets and time bounds that a run must satisfy, from the `check` section of a scenario.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of disruption budgets of a run.
const MAX_BUDGETS: usize = 64;
/// Maximum time bound, in milliseconds: the duration of the harness's longest run.
const MAX_BOUND_MS: u64 = 600_000;

/// Kind of members that a disruption budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    /// The managers of the fleet.
    Managers,
    /// The engines behind the fleet.
    Engines,
}

/// Maximum number of members of the fleet, of a zone, of a pool, or of a zone's part of a pool that may be
/// unavailable at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionBudget {
    /// Kind of members that the budget counts.
    #[serde(rename = "of")]
    pub member_kind: MemberKind,
    /// Zone whose members are counted; `None` counts all zones.
    #[serde(default)]
    pub zone: Option<String>,
    /// Pool whose members are counted; `None` counts all pools.
    #[serde(default)]
    pub pool: Option<String>,
    /// Maximum number of members that may be unavailable at the same time.
    #[serde(rename = "most", alias = "max_unavailable")]
    pub max_unavailable: usize,
}

/// Disruption budgets and time bounds; each time bound is 0 to 600,000 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CheckConfig {
    /// Disruption budgets, at most 64.
    pub budgets: Vec<DisruptionBudget>,
    /// Time that the fleet may take to detect an unplanned outage, in milliseconds. Until then the outage
    /// does not count when the fleet permits a planned one.
    pub notice_ms: u64,
    /// Time after a halt was observed as committed in which a permit may still take effect, in milliseconds.
    pub halt_ms: u64,
    /// Time without a command after which an engine counts as unavailable since its last command, in
    /// milliseconds; 0 disables the rule. It must be far longer than the gaps between an engine's commands
    /// under the run's load.
    #[serde(rename = "quiet_ms")]
    pub max_command_gap_ms: u64,
    /// Time for which a subscriber's lease remains valid after its connection is closed, in milliseconds.
    pub lease_ms: u64,
    /// Time after an operation's acknowledgement in which the operation may still be missing from all
    /// records, in milliseconds.
    pub settle_ms: u64,
}

impl Default for CheckConfig {
    fn default() -> CheckConfig {
        CheckConfig {
            budgets: Vec::new(),
            notice_ms: 1_000,
            halt_ms: 1_000,
            max_command_gap_ms: 0,
            lease_ms: 10_000,
            settle_ms: 2_000,
        }
    }
}

/// Reason for rejecting a [`CheckConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CheckConfigError {
    /// There are too many disruption budgets.
    #[error("budgets: expected at most {MAX_BUDGETS}, got {0}")]
    TooManyBudgets(usize),
    /// A time bound is out of range.
    #[error("{field}: expected 0 to {MAX_BOUND_MS}, got {value}")]
    BoundOutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value of the field in milliseconds.
        value: u64,
    },
}

impl CheckConfig {
    /// Checks all ranges.
    ///
    /// # Errors
    /// The first field that is out of range.
    pub fn check(&self) -> Result<(), CheckConfigError> {
        if self.budgets.len() > MAX_BUDGETS {
            return Err(CheckConfigError::TooManyBudgets(self.budgets.len()));
        }
        let bounds = [
            ("notice_ms", self.notice_ms),
            ("halt_ms", self.halt_ms),
            ("quiet_ms", self.max_command_gap_ms),
            ("lease_ms", self.lease_ms),
            ("settle_ms", self.settle_ms),
        ];
        for (field, value) in bounds {
            if value > MAX_BOUND_MS {
                return Err(CheckConfigError::BoundOutOfRange { field, value });
            }
        }
        Ok(())
    }
}
