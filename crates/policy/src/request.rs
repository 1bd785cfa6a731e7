//! Records of open requests and of their attempts in flight. No function of this module decides or learns.

use crate::events::Arrival;
use crate::ids::{EngineId, RequestId};
use crate::retry::AttemptHistory;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// The requests without a final response or with an attempt in flight.
pub(crate) type OpenRequests = BTreeMap<RequestId, Request>;

/// An attempt in flight.
#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    pub(crate) number: u32,
    /// Time at which the policy sent the attempt; its first byte may be sent later.
    pub(crate) sent_at: Timestamp,
    /// Time of the last progress note, or of the send if there was no note.
    pub(crate) last_progress: Timestamp,
    pub(crate) expected_latency_secs: f64,
    pub(crate) is_cancelled: bool,
    /// Multiple of the expected latency at which the overdue attempt next counts as an outcome of its engine.
    pub(crate) next_overdue_multiple: f64,
}

/// A request without a final response, or with an attempt still in flight.
#[derive(Clone)]
pub(crate) struct Request {
    /// Index of the request's class.
    pub(crate) class: usize,
    /// Number in the order of arrival, which orders the requests of one level.
    pub(crate) sequence: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Value of an answer within the latency objective (the value of Konana et al.); lower for a request
    /// beyond its tenant's quota.
    pub(crate) value: f64,
    /// Estimated work, thread-seconds.
    pub(crate) cost: f64,
    /// Estimated memory, MB.
    pub(crate) memory_mb: Option<f64>,
    pub(crate) table_group: u64,
    /// Idempotency key; `None` unless the class is ordered by key.
    pub(crate) key: Option<String>,
    pub(crate) level: usize,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// Attempts that ended with an engine's error.
    pub(crate) errors: u32,
    /// Send time and engine of the first attempt that may have run.
    pub(crate) first_may_have_run: Option<(Timestamp, EngineId)>,
    pub(crate) in_flight: Option<Attempt>,
    pub(crate) last_engine: Option<EngineId>,
    /// Time until which the request waits for the load probes that were sent for it.
    pub(crate) probes_until: Timestamp,
    /// Engines sampled for the request; if empty, it may be sent to any engine.
    pub(crate) candidates: Vec<EngineId>,
    /// Time at which the candidates were sampled.
    pub(crate) sampled_at: Timestamp,
    /// Whether the request has its final response.
    pub(crate) is_answered: bool,
}

impl Request {
    /// A request on arrival: not yet priced, at level 0 and without attempts.
    pub(crate) fn new(arrival: &Arrival, sequence: u64, now: Timestamp, cost: f64) -> Request {
        Request {
            class: arrival.class.0,
            sequence,
            arrived: now,
            deadline: now + arrival.time_left,
            value: 0.0,
            cost,
            memory_mb: arrival.memory_mb,
            table_group: arrival.tables,
            key: None,
            level: 0,
            attempts: 0,
            errors: 0,
            first_may_have_run: None,
            in_flight: None,
            last_engine: None,
            probes_until: now,
            candidates: Vec::new(),
            sampled_at: Timestamp::ZERO,
            is_answered: false,
        }
    }

    /// Earlier attempts and deadline of the request, as the retry rule needs them.
    pub(crate) fn history(&self) -> AttemptHistory {
        AttemptHistory {
            attempts: self.attempts,
            is_in_flight: self.in_flight.is_some(),
            may_have_run_since: self.first_may_have_run.map(|(sent_at, _)| sent_at),
            deadline: self.deadline,
        }
    }

    /// Seconds since the request arrived.
    pub(crate) fn age_secs(&self, now: Timestamp) -> f64 {
        (now - self.arrived).as_secs_f64()
    }
}
