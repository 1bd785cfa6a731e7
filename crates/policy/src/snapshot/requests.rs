//! The stored form of requests and their attempts.

use crate::ids::EngineId;
use crate::request::{Attempt, Request};
use serde::{Deserialize, Serialize};
use sprucelink_time::Timestamp;

/// Stored form of an open request.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredRequest {
    pub(crate) class: usize,
    #[serde(rename = "seq")]
    pub(crate) sequence: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    #[serde(rename = "worth")]
    pub(crate) value: f64,
    pub(crate) cost: f64,
    #[serde(rename = "memory")]
    pub(crate) memory_mb: Option<f64>,
    #[serde(rename = "tables")]
    pub(crate) table_group: u64,
    pub(crate) key: Option<String>,
    pub(crate) level: usize,
    pub(crate) attempts: u32,
    pub(crate) errors: u32,
    pub(crate) may_have_run: Option<(Timestamp, EngineId)>,
    #[serde(rename = "out")]
    pub(crate) in_flight: Option<StoredAttempt>,
    #[serde(rename = "last")]
    pub(crate) last_engine: Option<EngineId>,
    #[serde(rename = "probes_due")]
    pub(crate) probes_until: Timestamp,
    #[serde(rename = "few")]
    pub(crate) candidates: Vec<EngineId>,
    #[serde(rename = "drawn")]
    pub(crate) sampled_at: Timestamp,
    pub(crate) answered: bool,
}

/// Stored form of an attempt in flight.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredAttempt {
    pub(crate) engine: EngineId,
    pub(crate) number: u32,
    #[serde(rename = "sent")]
    pub(crate) sent_at: Timestamp,
    #[serde(rename = "heard")]
    pub(crate) last_progress: Timestamp,
    pub(crate) expected: f64,
    pub(crate) cancelled: bool,
    #[serde(rename = "overdue")]
    pub(crate) next_overdue: f64,
}

impl From<&Request> for StoredRequest {
    fn from(request: &Request) -> StoredRequest {
        StoredRequest {
            class: request.class,
            sequence: request.sequence,
            arrived: request.arrived,
            deadline: request.deadline,
            value: request.value,
            cost: request.cost,
            memory_mb: request.memory_mb,
            table_group: request.table_group,
            key: request.key.clone(),
            level: request.level,
            attempts: request.attempts,
            errors: request.errors,
            may_have_run: request.first_may_have_run,
            in_flight: request.in_flight.as_ref().map(StoredAttempt::from),
            last_engine: request.last_engine,
            probes_until: request.probes_until,
            candidates: request.candidates.clone(),
            sampled_at: request.sampled_at,
            answered: request.is_answered,
        }
    }
}

impl From<StoredRequest> for Request {
    fn from(stored: StoredRequest) -> Request {
        Request {
            class: stored.class,
            sequence: stored.sequence,
            arrived: stored.arrived,
            deadline: stored.deadline,
            value: stored.value,
            cost: stored.cost,
            memory_mb: stored.memory_mb,
            table_group: stored.table_group,
            key: stored.key,
            level: stored.level,
            attempts: stored.attempts,
            errors: stored.errors,
            first_may_have_run: stored.may_have_run,
            in_flight: stored.in_flight.map(Attempt::from),
            last_engine: stored.last_engine,
            probes_until: stored.probes_until,
            candidates: stored.candidates,
            sampled_at: stored.sampled_at,
            is_answered: stored.answered,
        }
    }
}

impl From<&Attempt> for StoredAttempt {
    fn from(attempt: &Attempt) -> StoredAttempt {
        StoredAttempt {
            engine: attempt.engine,
            number: attempt.number,
            sent_at: attempt.sent_at,
            last_progress: attempt.last_progress,
            expected: attempt.expected_latency_secs,
            cancelled: attempt.is_cancelled,
            next_overdue: attempt.next_overdue_multiple,
        }
    }
}

impl From<StoredAttempt> for Attempt {
    fn from(stored: StoredAttempt) -> Attempt {
        Attempt {
            engine: stored.engine,
            number: stored.number,
            sent_at: stored.sent_at,
            last_progress: stored.last_progress,
            expected_latency_secs: stored.expected,
            is_cancelled: stored.cancelled,
            next_overdue_multiple: stored.next_overdue,
        }
    }
}
