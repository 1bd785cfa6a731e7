//! What a run is held against: budgets and bounds, as a scenario's `check` words them.

use serde::{Deserialize, Serialize};

/// Budgets at most.
const MOST_BUDGETS: usize = 64;
/// Longest bound, in milliseconds: the rig's longest run.
const LONGEST_MS: u64 = 600_000;

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Managers.
    Managers,
    /// Engines.
    Engines,
}

/// At most so many may be out at any instant: of the fleet, of a zone, of a pool, or of a zone's part of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// What is counted.
    pub of: Kind,
    /// Only those of this zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Only those of this pool.
    #[serde(default)]
    pub pool: Option<String>,
    /// So many.
    pub most: usize,
}

/// Budgets and bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Budgets.
    pub budgets: Vec<Budget>,
    /// An outage that nobody permitted counts against a permit from so long after its beginning on, in milliseconds: what
    /// the fleet takes to see it. 0 to 600,000.
    pub notice_ms: u64,
    /// A permit may still take effect so long after a halt was seen committed, in milliseconds; 0 to 600,000.
    pub halt_ms: u64,
    /// An engine that gets no command for so long is out since its last, in milliseconds; 0: this is not looked at. At most
    /// 600,000. It must be far over the gaps of the run's load at one engine.
    pub quiet_ms: u64,
    /// A subscriber is in lease for so long after its connection ended, in milliseconds; 0 to 600,000.
    pub lease_ms: u64,
    /// What was acknowledged must be held so long after, in milliseconds; 0 to 600,000.
    pub settle_ms: u64,
}

impl Default for Terms {
    /// No budget; a second to see a crash and for a halt to reach all; leases of ten seconds; two seconds to settle.
    fn default() -> Terms {
        Terms {
            budgets: Vec::new(),
            notice_ms: 1_000,
            halt_ms: 1_000,
            quiet_ms: 0,
            lease_ms: 10_000,
            settle_ms: 2_000,
        }
    }
}

impl Terms {
    /// What is wrong with the terms, if anything.
    ///
    /// # Errors
    /// The field and its range.
    pub fn check(&self) -> Result<(), String> {
        if self.budgets.len() > MOST_BUDGETS {
            return Err(format!("budgets: at most {MOST_BUDGETS}, are {}", self.budgets.len()));
        }
        let bounds = [
            ("notice_ms", self.notice_ms),
            ("halt_ms", self.halt_ms),
            ("quiet_ms", self.quiet_ms),
            ("lease_ms", self.lease_ms),
            ("settle_ms", self.settle_ms),
        ];
        match bounds.iter().find(|(_, v)| *v > LONGEST_MS) {
            Some((name, v)) => Err(format!("{name}: 0 to {LONGEST_MS}, is {v}")),
            None => Ok(()),
        }
    }
}
