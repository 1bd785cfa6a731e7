//! Admission: whether a request is admitted or rejected, from its price quote, the value of its answer, its
//! deadline and the free capacity (Konana et al., section 3.2).

use crate::answer_value::AnswerValue;
use crate::pricing::PriceQuote;

/// Threads per core below which the engine selected for a request counts as idle.
const IDLE_UTILISATION: f64 = 0.7;

/// Whether a request is admitted, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// Admitted: this manager has free cores or the selected engine is idle, and the answer is expected in
    /// time, so the request delays no other request.
    AdmittedForFreeCapacity,
    /// Admitted: the net value of the answer is at least the price for the delay that it causes other
    /// requests.
    AdmittedForValue,
    /// Rejected: the net value of the answer is less than the price.
    RejectedForPrice,
}

impl AdmissionDecision {
    pub(crate) fn is_admitted(self) -> bool {
        self != AdmissionDecision::RejectedForPrice
    }
}

/// This manager's load and its share of the fleet's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FreeCapacity {
    /// Threads of this manager's attempts in flight.
    pub(crate) own_threads: f64,
    /// Cores of this manager's share.
    pub(crate) share_cores: f64,
}

impl FreeCapacity {
    /// Whether this manager uses less than its share of the cores.
    pub(crate) fn has_free_cores(self) -> bool {
        self.own_threads < self.share_cores
    }
}

/// Decides whether to admit a request. `engine_utilisation` returns the threads per core on the engine that
/// would be selected for the request, or `None` if no engine would be selected. It is called only if the
/// decision depends on its result.
pub(crate) fn decide(
    quote: &PriceQuote,
    value: &AnswerValue,
    secs_to_deadline: f64,
    capacity: FreeCapacity,
    engine_utilisation: impl FnOnce() -> Option<f64>,
) -> AdmissionDecision {
    let is_in_time = quote.expected_secs <= secs_to_deadline;
    let is_engine_idle = || engine_utilisation().is_some_and(|utilisation| utilisation < IDLE_UTILISATION);
    if is_in_time && (capacity.has_free_cores() || is_engine_idle()) {
        return AdmissionDecision::AdmittedForFreeCapacity;
    }
    if value.net(quote.expected_secs) - quote.price >= 0.0 {
        return AdmissionDecision::AdmittedForValue;
    }
    AdmissionDecision::RejectedForPrice
}

#[cfg(test)]
mod tests;
