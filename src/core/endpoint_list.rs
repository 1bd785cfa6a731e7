//! Removes duplicate entries from an update of the endpoint list. Stateless.

use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use std::collections::BTreeMap;

/// Keeps one entry for each engine: of several entries with the most severe phase that occurs, the last.
pub(super) fn resolve_duplicates(list: &mut ListEvent) {
    let mut max_severity: BTreeMap<String, u8> = BTreeMap::new();
    for member in &list.endpoints {
        let severity = max_severity.entry(member.id.clone()).or_default();
        *severity = severity_of(member).max(*severity);
    }
    let mut members: Vec<Endpoint> = list.endpoints.drain(..).rev().collect();
    members.retain(|member| {
        max_severity.get(&member.id) == Some(&severity_of(member))
            && max_severity.remove(&member.id).is_some()
    });
    members.reverse();
    list.endpoints = members;
}

/// The severity of an entry's phase: from ready to gone, the engine may get fewer attempts.
fn severity_of(member: &Endpoint) -> u8 {
    match member.phase {
        EndpointPhase::Ready => 0,
        EndpointPhase::Draining => 1,
        EndpointPhase::Gone => 2,
    }
}
