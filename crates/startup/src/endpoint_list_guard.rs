//! Decides which changes of a new endpoint list are applied to the current list.
//!
//! While the control feed recovers (from a backup, or because a replica lags) it may send a list that is
//! older than the current list, or that contradicts itself. If such a list were applied unchecked, it would
//! restore engines that are gone and remove engines that were added since: hundreds of managers would dial
//! dead engines and drop live engines in the same second. The rules are safe whether the new or the current
//! list is right:
//!
//! - an event whose revision is below the revision of the current list is *stale*. A drain or removal in a
//!   stale event is applied at once (a needless drain costs capacity, a missed drain breaks a rule), an entry
//!   with state ready is ignored, and an engine that the event does not list stays;
//! - if one event lists an engine more than once, the most cautious state counts;
//! - a stale complete list that is still sent after `accept_stale_after_ms`, with no newer event in between,
//!   is accepted: the feed has restarted its numbering (after a restore from a backup), and must not be
//!   ignored indefinitely.
//!
//! Only the ids and states of at most [`MAX_ENGINES`] engines are retained.

use crate::{from_millis, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Largest number of engines whose states are tracked, twice the largest planned number of engines. Further
/// engines are not tracked, so that entries for them in a stale event are ignored.
pub const MAX_ENGINES: usize = 10_000;

/// State of an engine in an endpoint list, in ascending order of caution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// The engine accepts work.
    Ready,
    /// The engine accepts no new work and completes the work in progress.
    Draining,
    /// The engine is removed.
    Gone,
}

/// Settings of the guard against stale endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListGuardConfig {
    /// Time after which a stale complete list that is still sent is accepted, in milliseconds; 0 (off: no
    /// event counts as stale) to 60,000.
    #[serde(rename = "older_for_ms")]
    pub accept_stale_after_ms: f64,
}

impl Default for EndpointListGuardConfig {
    fn default() -> EndpointListGuardConfig {
        EndpointListGuardConfig { accept_stale_after_ms: 2_000.0 }
    }
}

impl EndpointListGuardConfig {
    /// Checks that the number is within its range.
    ///
    /// # Errors
    /// Returns the field, by its name in the settings file, if it is out of its range.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("older_for_ms", self.accept_stale_after_ms, 0.0, 60_000.0)
    }
}

/// The entries of an event to apply, and how to apply them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListDecision {
    /// Indices of the event's entries to apply, ascending.
    pub accepted: Vec<usize>,
    /// Whether to apply the event as a complete list: engines that it does not list are gone.
    pub is_complete: bool,
    /// Whether the event is older than the current list and was therefore applied in part at most.
    pub is_stale: bool,
    /// Number of entries that contradict an earlier entry of the same engine in the event.
    pub contradictions: usize,
}

/// Tracks the current endpoint list, and decides which changes by an event are applied to it.
#[derive(Clone, Debug)]
pub struct EndpointListGuard {
    config: EndpointListGuardConfig,
    /// Revision of the current list.
    revision: u64,
    /// States of the engines in the current list, by id.
    states: BTreeMap<String, EndpointState>,
    /// Arrival time of the first stale complete list after the last event that was not stale; `None` if there
    /// was no such list.
    stale_since: Option<Timestamp>,
}

impl EndpointListGuard {
    /// Creates a guard without a current list, which accepts the first event.
    pub fn new(config: EndpointListGuardConfig) -> EndpointListGuard {
        EndpointListGuard { config, revision: 0, states: BTreeMap::new(), stale_since: None }
    }

    /// Revision of the current list; 0 before the first event.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Decides which entries of an event to apply; accepted entries become part of the current list.
    /// `is_complete`: whether the event claims to be a complete list; `entries`: ids and states of engines,
    /// in the order of the event.
    pub fn evaluate(
        &mut self,
        now: Timestamp,
        revision: u64,
        is_complete: bool,
        entries: &[(&str, EndpointState)],
    ) -> ListDecision {
        let selection = MostCautiousEntries::new(entries);
        let is_stale = self.is_stale(now, revision, is_complete);
        if !is_stale {
            self.revision = revision;
            self.stale_since = None;
        }
        let selected = selection.by_engine.iter();
        let applicable = selected.filter(|(id, entry)| !is_stale || self.is_more_cautious(id, entry.state));
        let mut accepted: Vec<usize> = applicable.map(|(_, entry)| entry.index).collect();
        accepted.sort_unstable();
        let is_complete = is_complete && !is_stale;
        if is_complete {
            self.states.clear();
        }
        for index in &accepted {
            let (id, state) = entries[*index];
            self.track(id, state);
        }
        if self.states.len() >= MAX_ENGINES {
            // Engine ids are not reused, so engines that are gone are tracked only while there is capacity.
            self.states.retain(|_, state| *state != EndpointState::Gone);
        }
        ListDecision { accepted, is_complete, is_stale, contradictions: selection.contradictions }
    }

    /// Whether an event is stale. An older complete list does not count as stale once stale complete lists
    /// have been sent for `accept_stale_after_ms`.
    fn is_stale(&mut self, now: Timestamp, revision: u64, is_complete: bool) -> bool {
        let is_older = revision < self.revision && self.config.accept_stale_after_ms > 0.0;
        if !is_older || !is_complete {
            return is_older;
        }
        let since = *self.stale_since.get_or_insert(now);
        now - since < from_millis(self.config.accept_stale_after_ms)
    }

    /// Whether a state is more cautious than the tracked state of the engine. If the engine is not tracked,
    /// it may have been removed since the stale event, so no state counts as more cautious.
    fn is_more_cautious(&self, id: &str, state: EndpointState) -> bool {
        self.states.get(id).is_some_and(|current| state > *current)
    }

    fn track(&mut self, id: &str, state: EndpointState) {
        if self.states.len() < MAX_ENGINES {
            self.states.insert(id.to_owned(), state);
        } else if let Some(current) = self.states.get_mut(id) {
            *current = state;
        }
    }
}

/// The entry that is selected for an engine from an event.
#[derive(Clone, Copy, Debug)]
struct SelectedEntry {
    /// Index of the entry in the event.
    index: usize,
    state: EndpointState,
}

/// The entry with the most cautious state for each engine of an event.
#[derive(Debug, Default)]
struct MostCautiousEntries<'a> {
    /// Selected entries by engine id.
    by_engine: BTreeMap<&'a str, SelectedEntry>,
    /// Number of entries that contradict an earlier entry of the same engine.
    contradictions: usize,
}

impl<'a> MostCautiousEntries<'a> {
    fn new(entries: &[(&'a str, EndpointState)]) -> MostCautiousEntries<'a> {
        let mut selection = MostCautiousEntries::default();
        for (index, (id, state)) in entries.iter().enumerate() {
            let entry = SelectedEntry { index, state: *state };
            let selected = selection.by_engine.entry(id).or_insert(entry);
            selection.contradictions += usize::from(selected.state != entry.state);
            if entry.state > selected.state {
                *selected = entry;
            }
        }
        selection
    }
}
