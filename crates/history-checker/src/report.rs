//! The results of a check.

/// Maximum number of violations of one invariant in a report; further ones are only counted.
pub const MAX_VIOLATIONS: usize = 100;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant, as in [`crate::invariants::NAMES`].
    pub invariant: &'static str,
    /// Time at which the violation was observed, in microseconds of the run.
    pub at_us: u64,
    /// What happened, with the names and positions needed to find it in the history.
    pub description: String,
}

/// The result of one invariant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InvariantReport {
    /// The first violations, at most [`MAX_VIOLATIONS`].
    pub violations: Vec<Violation>,
    /// Number of violations beyond [`MAX_VIOLATIONS`], of which only the count is known.
    pub dropped: u64,
    /// Number of cases to which the invariant was applied: positions, planned outages, records.
    pub examined: u64,
}

impl InvariantReport {
    /// Adds a violation, or only counts it if [`MAX_VIOLATIONS`] is reached.
    pub fn add(&mut self, invariant: &'static str, at_us: u64, description: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { invariant, at_us, description });
        } else {
            self.dropped += 1;
        }
    }
}

/// The results of all invariants, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Name and result of each invariant, in the order of [`crate::invariants::NAMES`].
    pub invariants: Vec<(&'static str, InvariantReport)>,
}

impl CheckReport {
    /// Whether no invariant was violated.
    pub fn is_passed(&self) -> bool {
        self.invariants.iter().all(|(_, report)| report.violations.is_empty())
    }

    /// All reported violations, ordered by invariant.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.invariants.iter().flat_map(|(_, report)| &report.violations)
    }

    /// Whether the invariant `name` was violated; false for an unknown name.
    pub fn is_violated(&self, name: &str) -> bool {
        self.find(name).is_some_and(|report| !report.violations.is_empty())
    }

    /// Number of cases to which the invariant `name` was applied; 0 for an unknown name.
    pub fn examined(&self, name: &str) -> u64 {
        self.find(name).map_or(0, |report| report.examined)
    }

    fn find(&self, name: &str) -> Option<&InvariantReport> {
        self.invariants.iter().find(|(known, _)| *known == name).map(|(_, report)| report)
    }
}
