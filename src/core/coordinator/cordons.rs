//! Cordoned engines.
//!
//! Input: calls of operators, cordons of other processes, and the ids of the endpoint list. Output: the list
//! for the policy, in which a cordoned engine that is listed as ready is draining, so that a cordon is
//! handled like any drain. State: none in this module; `sprucelink_cordon` holds the cordons and decides on
//! them.

use super::Coordinator;
use crate::core::clock::now;
use crate::core::connection_runtime::ConnectionRuntime;
use crate::core::engine_table::EngineCounts;
use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use sprucelink_cordon::{
    Cause, CordonError, CordonOutcome, CordonRecord, CordonRequest, MergeResult, Target,
};
use std::collections::BTreeSet;
use tracing::{info, warn};

impl Coordinator {
    /// Cordons the engine with this id; `Ok` also if it is already cordoned.
    ///
    /// # Errors
    /// If the id is invalid or was never listed, the lease is invalid, or the number of active cordons has
    /// reached its limit.
    pub(in crate::core) fn cordon_engine(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: &str,
        request: CordonRequest,
        reason: &str,
    ) -> Result<CordonOutcome, CordonError> {
        let outcome = self.cordons.cordon(now(), &Target::Engine(id.to_owned()), request, reason)?;
        let cause = request.cause();
        info!(engine_id = id, %cause, ?outcome, "engine cordoned");
        self.reapply_entry(runtime, id);
        Ok(outcome)
    }

    /// Ends the engine's cordon by this cause; `Ok` also if there is none. Cordons by other causes stay.
    ///
    /// # Errors
    /// If the id is invalid or was never listed.
    pub(in crate::core) fn uncordon_engine(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: &str,
        cause: Cause,
    ) -> Result<CordonOutcome, CordonError> {
        let outcome = self.cordons.uncordon(now(), &Target::Engine(id.to_owned()), cause)?;
        info!(engine_id = id, %cause, ?outcome, "engine uncordoned");
        self.reapply_entry(runtime, id);
        Ok(outcome)
    }

    /// The records of all cordons and at most `max_ids` hashes of engine ids ever listed, for the process
    /// that replaces this one in a hot restart.
    pub(in crate::core) fn export_cordons(&self, max_ids: usize) -> (Vec<CordonRecord>, Vec<u64>) {
        (self.cordons.export_records(), self.cordons.export_known_ids(max_ids))
    }

    /// Merges the cordon records and engine ids of another process.
    pub(in crate::core) fn merge_cordons(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        records: &[CordonRecord],
        ids: &[u64],
    ) -> MergeResult {
        self.cordons.merge_known_ids(ids);
        let result = self.cordons.merge_records(now(), records);
        for change in &result.changes {
            let target = &change.target;
            let outcome = change.outcome;
            info!(cordon_target = %target, ?outcome, "cordon merged from another process");
            if let Target::Engine(id) = target {
                self.reapply_entry(runtime, id);
            }
        }
        if result.over_limit + result.malformed > 0 {
            warn!(
                over_limit = result.over_limit,
                malformed = result.malformed,
                "cordons of another process were not applied"
            );
        }
        result
    }

    /// Ends cordons whose lease has expired. Must be called about once per second.
    pub(in crate::core) fn expire_cordons(&mut self, runtime: &dyn ConnectionRuntime) {
        for change in self.cordons.expire(now()) {
            let target = &change.target;
            let outcome = change.outcome;
            info!(cordon_target = %target, ?outcome, "cordon lease expired");
            if let Target::Engine(id) = target {
                self.reapply_entry(runtime, id);
            }
        }
    }

    /// The number of listed engines, and how many of them get no requests.
    pub(in crate::core) fn engine_counts(&self) -> EngineCounts {
        let views = self.policy.engine_views();
        let is_avoided = |index: usize, id: &str| {
            let by_policy = views
                .get(index)
                .is_some_and(|view| view.ejected || view.unresponsive || view.backoff_secs > 0.0);
            by_policy || self.cordons.is_engine_cordoned(id)
        };
        let listed = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_listed());
        let avoided: Vec<bool> = listed.map(|(index, engine)| is_avoided(index, &engine.id)).collect();
        EngineCounts {
            listed: avoided.len(),
            avoided: avoided.iter().filter(|is_avoided| **is_avoided).count(),
        }
    }

    /// Records which engines are listed, so that operators can cordon and uncordon them. A complete list
    /// marks the engines that it omits as unlisted.
    pub(super) fn record_listed_ids(&mut self, list: &ListEvent) {
        for member in &list.endpoints {
            match member.phase {
                EndpointPhase::Gone => self.cordons.mark_unlisted(&member.id),
                EndpointPhase::Ready | EndpointPhase::Draining => self.cordons.mark_listed(&member.id),
            }
        }
        if list.is_complete {
            let named: BTreeSet<&str> = list.endpoints.iter().map(|member| member.id.as_str()).collect();
            let omitted = self.engines.iter().filter(|e| e.is_listed() && !named.contains(e.id.as_str()));
            omitted.for_each(|engine| self.cordons.mark_unlisted(&engine.id));
        }
    }

    /// Returns a copy of the list in which cordoned engines are draining instead of ready; `None` if no entry
    /// changes.
    pub(super) fn apply_cordons(&self, list: &ListEvent) -> Option<ListEvent> {
        let is_cordoned = |member: &Endpoint| {
            member.phase == EndpointPhase::Ready && self.cordons.is_engine_cordoned(&member.id)
        };
        if !list.endpoints.iter().any(is_cordoned) {
            return None;
        }
        let mut effective = list.clone();
        for member in &mut effective.endpoints {
            if is_cordoned(member) {
                member.phase = EndpointPhase::Draining;
            }
        }
        Some(effective)
    }

    /// Applies an engine's entry again after its cordon has changed.
    fn reapply_entry(&mut self, runtime: &dyn ConnectionRuntime, id: &str) {
        let Some(entry) = self.engines.listed_entry(id) else { return };
        let n = self.engines.last_event();
        let list = ListEvent { number: n, revision: 0, is_complete: false, endpoints: vec![entry] };
        let commands = self.apply_members(&list, false);
        self.execute(runtime, commands);
        runtime.wake();
    }
}
