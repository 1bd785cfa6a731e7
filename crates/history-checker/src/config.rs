//! What a run is checked against: disruption budgets and time bounds, as the `check` section of a scenario gives them.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most disruption budgets of a run.
const MAX_BUDGETS: usize = 64;
/// Longest time bound, in milliseconds: the harness's longest run.
const MAX_BOUND_MS: u64 = 600_000;

/// What a disruption budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    /// Managers.
    Managers,
    /// Engines.
    Engines,
}

/// Bound on how many members may be unavailable at any instant: of the fleet, of a zone, of a pool, or of a zone's part
/// of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DisruptionBudget {
    /// Kind of members that the budget counts.
    #[serde(rename = "of")]
    pub member_kind: MemberKind,
    /// Count only members of this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Count only members of this pool.
    #[serde(default)]
    pub pool: Option<String>,
    /// Most members that may be unavailable.
    #[serde(rename = "most", alias = "max_unavailable")]
    pub max_unavailable: usize,
}

/// Budgets and time bounds, the latter 0 to 600,000 ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CheckConfig {
    /// Disruption budgets, at most 64.
    pub budgets: Vec<DisruptionBudget>,
    /// How long the fleet may take to detect an unplanned outage, in milliseconds: only then does the outage count when
    /// a planned one is permitted.
    pub notice_ms: u64,
    /// How long after a halt was observed as committed a permit may still take effect, in milliseconds.
    pub halt_ms: u64,
    /// An engine without a command for longer than this is unavailable since its last one, in milliseconds; 0 disables
    /// the rule. The bound must be far above the gaps that the run's load leaves at one engine.
    pub quiet_ms: u64,
    /// How long a subscriber's lease outlives its connection, in milliseconds.
    pub lease_ms: u64,
    /// How long after its acknowledgement an operation may still be missing from every record, in milliseconds.
    pub settle_ms: u64,
}

impl Default for CheckConfig {
    fn default() -> CheckConfig {
        CheckConfig {
            budgets: Vec::new(),
            notice_ms: 1_000,
            halt_ms: 1_000,
            quiet_ms: 0,
            lease_ms: 10_000,
            settle_ms: 2_000,
        }
    }
}

/// Why a [`CheckConfig`] was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CheckConfigError {
    /// There are too many budgets.
    #[error("budgets: at most {MAX_BUDGETS}, are {0}")]
    TooManyBudgets(usize),
    /// A time bound is out of range.
    #[error("{field}: 0 to {MAX_BOUND_MS}, is {value}")]
    BoundOutOfRange {
        /// The field.
        field: &'static str,
        /// Its value in milliseconds.
        value: u64,
    },
}

impl CheckConfig {
    /// Checks all ranges.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), CheckConfigError> {
        if self.budgets.len() > MAX_BUDGETS {
            return Err(CheckConfigError::TooManyBudgets(self.budgets.len()));
        }
        let bounds = [
            ("notice_ms", self.notice_ms),
            ("halt_ms", self.halt_ms),
            ("quiet_ms", self.quiet_ms),
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
