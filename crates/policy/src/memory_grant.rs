//! Memory grants: the memory and the level that a request is sent with.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Increase of a class's grant by a note that all memory is missing, and the first grant; in estimates.
pub(crate) const SPILL_INCREASE: f64 = 0.1;
pub(crate) const INITIAL_GRANT: f64 = 1.15;
/// Standard deviations of a grant over the mean memory used, by `MemoryShort`: waits, shrinks, pages.
const GRANT_DEVIATIONS: [f64; 3] = [0.5, 0.7, 2.0];
/// Answers counted in that mean, and the variance before the first (squared natural logarithm).
const MAX_MEMORY_SAMPLES: u32 = 50;
pub(crate) const INITIAL_MEMORY_VARIANCE: f64 = 0.25;
/// Decrease of a class's grant with each answer, and its minimum, in estimates (ours).
pub(crate) const GRANT_DECAY: f64 = 0.001;
pub(crate) const MIN_GRANT: f64 = 0.5;

impl Policy {
    /// The level, and where grants are heeded a grant near the need that answers or spills told.
    pub(crate) fn execution_terms(&self, id: RequestId, request: &Request) -> Action {
        let state = &self.classes[request.class];
        let slack = GRANT_DEVIATIONS[self.settings.memory_short as usize] * state.memory_variance.sqrt();
        let grant =
            if state.memory_samples > 0 { (state.memory_log_ratio + slack).exp() } else { state.grant };
        let grant_mb = request.memory_mb.filter(|_| self.settings.grants).map(|estimate| estimate * grant);
        Action::SetExecutionTerms { id, grant_mb, level: Level(request.level as u8) }
    }
}

pub(crate) fn record_memory_need(state: &mut ClassState, log_ratio: f64) {
    state.memory_samples = (state.memory_samples + 1).min(MAX_MEMORY_SAMPLES);
    let weight = 1.0 / f64::from(state.memory_samples + 1);
    update_mean_and_variance(&mut state.memory_log_ratio, &mut state.memory_variance, log_ratio, weight);
}
