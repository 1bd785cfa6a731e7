//! Converts enumerations and load reports to protobuf values and back. The format stores an enumeration value
//! as its index in one of the lists in this file: new values may only be appended, or older captures would be
//! decoded wrongly.

use super::DecodeError;
use crate::pb;
use sprucelink_policy::{EndpointUpdate, EngineState, LoadReport, Outcome};

/// Kinds of endpoint updates, in the order of the format.
pub(super) const ENDPOINT_UPDATES: [EndpointUpdate; 4] =
    [EndpointUpdate::Changes, EndpointUpdate::Complete, EndpointUpdate::Remembered, EndpointUpdate::Failed];

/// States of engines, in the order of the format.
pub(super) const ENGINE_STATES: [EngineState; 3] =
    [EngineState::Ready, EngineState::Draining, EngineState::Gone];

/// Outcomes of attempts, in the order of the format.
pub(super) const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::EngineError,
    Outcome::RejectedByEngine,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NeverSent,
];

/// Index of a value in its list.
pub(super) fn encode_value<T: PartialEq>(values: &[T], value: &T) -> u32 {
    values.iter().position(|candidate| candidate == value).unwrap_or(values.len()) as u32
}

/// The value at an index of its list. `field` is the name of the field in the error.
pub(super) fn decode_value<T: Copy>(values: &[T], index: u32, field: &'static str) -> Result<T, DecodeError> {
    values.get(index as usize).copied().ok_or(DecodeError { field })
}

/// Encodes a load report; `None` if it has no values.
pub(super) fn encode_report(report: &LoadReport) -> Option<pb::Report> {
    if *report == LoadReport::default() {
        return None;
    }
    Some(pb::Report {
        in_hand: report.queries_in_flight,
        waiting: report.queries_waiting_for_memory,
        busy: report.busy_core_fraction,
        memory: report.granted_memory_fraction,
        disks: report.busy_disk_fraction,
    })
}

pub(super) fn decode_report(report: Option<pb::Report>) -> LoadReport {
    let report = report.unwrap_or_default();
    LoadReport {
        queries_in_flight: report.in_hand,
        queries_waiting_for_memory: report.waiting,
        busy_core_fraction: report.busy,
        granted_memory_fraction: report.memory,
        busy_disk_fraction: report.disks,
    }
}
