//! Memory grants: the memory and the level that a request is sent with.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Rise of a class's grant, in estimates, by a note that all of it is missing.
pub(crate) const SPILL_STEP: f64 = 0.1;
/// Memory granted against the estimate at first; then learned from spills.
pub(crate) const FIRST_GRANT: f64 = 1.15;
/// Where answers tell the memory needed, a grant lies so many deviations over its mean, by what an engine
/// short of it does. Pages: grants cost nothing, only use does. Shrinks, waits: others pay for it.
const GRANT_SAFETY: [f64; 3] = [0.5, 0.7, 2.0];
/// Answers counted in that mean, and its square deviation at first.
const NEED_SPAN: u32 = 50;
pub(crate) const NEED_SCATTER: f64 = 0.25;
/// Fall of a class's grant with each answer, and the least it comes to, in estimates.
pub(crate) const GRANT_DECAY: f64 = 0.001;
pub(crate) const GRANT_LEAST: f64 = 0.5;

impl Policy {
    /// The level, and a grant near the need learned from spills where grants are heeded.
    pub(crate) fn terms(&self, id: RequestId, r: &Request) -> Action {
        let book = &self.classes[r.class];
        // Guards against spills where no notes tell of them, and against grants nobody needs.
        let safety = GRANT_SAFETY[self.set.memory_short as usize] * book.need_scatter.sqrt();
        let times = if book.told > 0 { (book.need + safety).exp() } else { book.grant };
        let grant_mb = r.memory.filter(|_| self.set.grants).map(|m| m * times);
        Action::Terms { id, grant_mb, level: Level(r.level as u8) }
    }
}

/// Counts the logarithm of told memory over the estimate.
pub(crate) fn learn_need(book: &mut ClassBook, need: f64) {
    book.told = (book.told + 1).min(NEED_SPAN);
    let weight = 1.0 / f64::from(book.told + 1);
    update_mean_and_variance(&mut book.need, &mut book.need_scatter, need, weight);
}
