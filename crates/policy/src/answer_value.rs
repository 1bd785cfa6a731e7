//! The value of an answer by its latency: full within the latency objective, a fraction of it when late, none
//! once the client has stopped waiting.

use crate::class_estimates::ClassEstimates;
use crate::final_response::RESPONSE_MARGIN;
use crate::pricing::MIN_DEADLINE_SECS;
use crate::request::Request;
use crate::settings::ClassSettings;

/// An answer counts as late if this multiple of its expected latency exceeds the objective, because actual
/// latencies vary.
const LATENESS_MARGIN: f64 = 1.5;

/// Value of an answer to one request as a function of its latency, measured from the request's arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AnswerValue {
    /// Value of an answer within the objective.
    pub(crate) value: f64,
    /// Fraction of the value that a late answer still has.
    pub(crate) late_value_fraction: f64,
    /// Latency within which an answer has its full value, seconds.
    pub(crate) objective_secs: f64,
    /// Time that the client waits, seconds.
    pub(crate) patience_secs: f64,
    /// Maximum time that clients of the class wait, seconds.
    pub(crate) class_deadline_secs: f64,
}

impl AnswerValue {
    pub(crate) fn of(request: &Request, class: &ClassSettings, estimates: &ClassEstimates) -> AnswerValue {
        AnswerValue {
            value: request.value,
            late_value_fraction: class.late_value_fraction,
            objective_secs: latency_objective_secs(request, class, estimates.work_ratio()),
            patience_secs: (request.deadline - request.arrived).as_secs_f64(),
            class_deadline_secs: class.deadline.as_secs_f64().max(MIN_DEADLINE_SECS),
        }
    }

    /// Whether an answer expected after this latency counts as late.
    pub(crate) fn is_late(&self, latency_secs: f64) -> bool {
        latency_secs * LATENESS_MARGIN > self.objective_secs
    }

    /// Value of an answer with this latency, without the delay cost.
    pub(crate) fn gross(&self, latency_secs: f64) -> f64 {
        let has_client_left = latency_secs > self.patience_secs;
        let late_fraction = if has_client_left { 0.0 } else { self.late_value_fraction };
        self.value * if self.is_late(latency_secs) { late_fraction } else { 1.0 }
    }

    /// Value of an answer with this latency less the delay cost. Footnote 8 of Konana et al. allows the
    /// step at the objective.
    pub(crate) fn net(&self, latency_secs: f64) -> f64 {
        self.gross(latency_secs) - self.value / self.class_deadline_secs * latency_secs
    }
}

/// Latency objective of a request, seconds: that of its class, extended for the request's own work, but no
/// later than the time at which a final response must be sent.
fn latency_objective_secs(request: &Request, class: &ClassSettings, work_ratio: f64) -> f64 {
    let stretch_secs = class.objective_per_work * request.cost * work_ratio / class.threads;
    let objective_secs = class.latency_objective.as_secs_f64() + stretch_secs;
    objective_secs.min((request.deadline - request.arrived - RESPONSE_MARGIN).as_secs_f64())
}
