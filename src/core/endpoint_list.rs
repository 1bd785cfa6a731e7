//! Reading the endpoint list: what an update says once duplicate entries are resolved.

use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use std::collections::BTreeMap;

/// Leaves one entry of each engine that a list names more than once: the most cautious, and of several as cautious the
/// last.
pub(super) fn resolve_duplicates(list: &mut ListEvent) {
    let mut most_cautious: BTreeMap<String, u8> = BTreeMap::new();
    for member in &list.members {
        let caution = most_cautious.entry(member.id.clone()).or_default();
        *caution = caution_of(member).max(*caution);
    }
    let mut members: Vec<Endpoint> = list.members.drain(..).rev().collect();
    members.retain(|member| {
        most_cautious.get(&member.id) == Some(&caution_of(member))
            && most_cautious.remove(&member.id).is_some()
    });
    members.reverse();
    list.members = members;
}

/// How cautious an entry is: the higher, the less is sent to its engine.
fn caution_of(member: &Endpoint) -> u8 {
    match member.phase {
        EndpointPhase::Ready => 0,
        EndpointPhase::Draining => 1,
        EndpointPhase::Gone => 2,
    }
}
