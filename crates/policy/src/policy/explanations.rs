//! Reasons of decisions, given only while explanations are on. No function of this module decides: each one
//! repeats the inputs of a decision that its caller makes.

use crate::actions::Action;
use crate::admission::AdmissionDecision;
use crate::engine::Engine;
use crate::engine_eligibility::{ineligible_reason, is_eligible, is_healthy_for};
use crate::engine_selection::{draw_exclusion, select_engine, CapacityCheck, MAX_UTILISATION};
use crate::engine_weight::EngineWeight;
use crate::fleet_view::FleetView;
use crate::ids::{EngineId, RequestId};
use crate::policy::Policy;
use crate::pricing::PriceQuote;
use crate::reasons::{Candidate, IneligibleReason, Reason};
use crate::request::Request;

impl Policy {
    /// The request, if explanations are on.
    fn request_to_explain(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).filter(|_| self.is_explaining)
    }

    pub(super) fn explain_admission(
        &self,
        id: RequestId,
        quote: &PriceQuote,
        decision: AdmissionDecision,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.request_to_explain(id) else { return };
        let value = self.answer_value(request);
        push_reason(
            out,
            Reason::Priced {
                id,
                class: request.class,
                level: request.level as u8,
                cost: request.cost,
                expected_time: quote.expected_secs,
                price: quote.price,
                net_value: value.net(quote.expected_secs),
                latency_objective: value.objective_secs,
                own_threads: self.own_load.threads(),
                core_share: self.share().cores(),
                has_free_cores: decision == AdmissionDecision::AdmittedForFreeCapacity,
                admitted: decision.is_admitted(),
            },
        );
    }

    /// Explains the selection of an engine; called just before the selection, with its arguments.
    pub(super) fn explain_draw(&self, id: RequestId, random_unit: f64, out: &mut Vec<Action>) {
        let Some(request) = self.request_to_explain(id) else { return };
        let fleet = self.fleet();
        let preference = Preference::of(&fleet, request);
        let not_gone = self.engines.iter().filter(|(_, engine)| !engine.is_gone());
        let candidates =
            not_gone.map(|(id, engine)| candidate(&fleet, request, &preference, id, engine)).collect();
        push_reason(
            out,
            Reason::Drawn {
                id,
                random_unit,
                max_utilisation: MAX_UTILISATION[request.level],
                chosen: select_engine(&fleet, request, CapacityCheck::Required, random_unit),
                candidates,
            },
        );
    }

    /// Explains why a request is rejected or failed.
    pub(super) fn explain_response(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.request_to_explain(id) else { return };
        let expected_total_secs = request.age_secs(self.now) + self.expected_latency_secs(request);
        push_reason(
            out,
            Reason::Answered {
                id,
                attempts: request.attempts,
                errors: request.errors,
                time_left: (request.deadline - self.now).as_secs_f64(),
                retry_allowed: self.decide_retry(request).is_allowed(),
                has_retry_budget: self.has_retry_budget(),
                expected_total_time: expected_total_secs,
                net_value: self.answer_value(request).net(expected_total_secs),
                price: self.quote(request).price,
                queue_delay: self.queue_delay_secs(),
            },
        );
    }

    pub(super) fn explain_cancellation(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.request_to_explain(id) else { return };
        let Some(attempt) = &request.in_flight else { return };
        push_reason(
            out,
            Reason::Cancelled {
                id,
                attempt: attempt.number,
                engine: attempt.engine,
                age: (self.now - attempt.sent_at).as_secs_f64(),
                expected_latency: attempt.expected_latency_secs,
                since_progress: (self.now - attempt.last_progress).as_secs_f64(),
                ejected: self.engines[attempt.engine].health.is_ejected(),
                answered: request.is_answered,
            },
        );
    }
}

fn push_reason(out: &mut Vec<Action>, reason: Reason) {
    out.push(Action::Explain(Box::new(reason)));
}

/// Preferences of a selection among the eligible engines; each applies only if it leaves an engine.
struct Preference {
    /// Only healthy engines are selected.
    only_healthy: bool,
    /// The engine that just failed the request is not selected.
    excludes_last_engine: bool,
}

impl Preference {
    fn of(fleet: &FleetView, request: &Request) -> Preference {
        let eligible = || fleet.engines.iter().filter(|(_, engine)| is_eligible(fleet, request, engine));
        let has_healthy = eligible().any(|(_, engine)| is_healthy_for(fleet, request, engine));
        let is_preferred = |engine: &Engine| !has_healthy || is_healthy_for(fleet, request, engine);
        let is_other = |id: EngineId| request.last_engine != Some(id);
        let has_other = eligible().any(|(id, engine)| is_preferred(engine) && is_other(id));
        Preference { only_healthy: has_healthy, excludes_last_engine: request.errors > 0 && has_other }
    }
}

/// The reason that excludes an engine from a selection; `None` if it takes part.
fn exclusion(
    fleet: &FleetView,
    request: &Request,
    preference: &Preference,
    id: EngineId,
    engine: &Engine,
) -> Option<IneligibleReason> {
    if let Some(reason) = ineligible_reason(fleet, request, engine) {
        return Some(reason);
    }
    if preference.only_healthy && !is_healthy_for(fleet, request, engine) {
        return Some(IneligibleReason::Health);
    }
    if preference.excludes_last_engine && request.last_engine == Some(id) {
        return Some(IneligibleReason::JustFailed);
    }
    draw_exclusion(fleet, request, id, engine)
}

fn candidate(
    fleet: &FleetView,
    request: &Request,
    preference: &Preference,
    id: EngineId,
    engine: &Engine,
) -> Candidate {
    let ineligible = exclusion(fleet, request, preference, id, engine);
    let weight = match ineligible {
        Some(_) => 0.0,
        None => EngineWeight::new(fleet, request, id).value(),
    };
    Candidate {
        engine: id,
        ineligible,
        weight,
        utilisation: fleet.utilisation(engine),
        report_weight: fleet.report_weight(engine),
    }
}
