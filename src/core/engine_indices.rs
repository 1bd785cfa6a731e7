//! Assigns indices to engines.
//!
//! Input: the ids of engines, and the indices of gone engines. Output: an index for each engine, and the
//! changes for the recorder. State: the indices in use and the freed indices. New engine ids may keep
//! appearing indefinitely, and every decision of the policy visits all indices, so freed indices are reused.

use std::collections::BTreeMap;

/// An index that was assigned or freed.
pub(super) struct IndexChange {
    /// Id of the engine.
    pub(super) id: String,
    /// Index of the engine.
    pub(super) index: u32,
    /// Whether the index was freed; otherwise it was assigned.
    pub(super) is_freed: bool,
}

/// The indices assigned to engines, and the freed indices.
#[derive(Default)]
pub(super) struct EngineIndices {
    by_id: BTreeMap<String, u32>,
    /// Freed indices; the last one is reused first.
    free: Vec<u32>,
    /// The lowest index that was never assigned.
    next: u32,
    /// Whether changes are kept for a recorder.
    is_recorded: bool,
    /// Changes since the last call of [`EngineIndices::take_changes`].
    changes: Vec<IndexChange>,
}

impl EngineIndices {
    /// Sets whether changes are kept for a recorder.
    pub(super) fn set_recorded(&mut self, is_recorded: bool) {
        self.is_recorded = is_recorded;
    }

    /// The index of an engine. A new engine is assigned the index that was freed last, or else a new index.
    pub(super) fn get_or_assign(&mut self, id: &str) -> u32 {
        if let Some(index) = self.by_id.get(id) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.next);
        self.next = self.next.max(index + 1);
        self.by_id.insert(id.to_owned(), index);
        self.record_change(id.to_owned(), index, false);
        index
    }

    /// Frees an index, if it is in use.
    pub(super) fn release(&mut self, index: u32) {
        let id = self.by_id.iter().find(|(_, known)| **known == index).map(|(id, _)| id.clone());
        let Some(id) = id else { return };
        self.by_id.remove(&id);
        self.free.push(index);
        self.record_change(id, index, true);
    }

    /// The id and index of each engine that has an index, in the order of the ids.
    pub(super) fn entries(&self) -> Vec<(&str, u32)> {
        self.by_id.iter().map(|(id, index)| (id.as_str(), *index)).collect()
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<IndexChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, id: String, index: u32, is_freed: bool) {
        if self.is_recorded {
            self.changes.push(IndexChange { id, index, is_freed });
        }
    }
}
