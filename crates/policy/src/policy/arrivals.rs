//! Handling of a request from arrival to the queue: it is priced, admitted or rejected, and sent at once if
//! possible.

use crate::actions::Action;
use crate::admission::{self, AdmissionDecision, FreeCapacity};
use crate::answer_value::AnswerValue;
use crate::candidate_sampling::{candidate_pool, candidates_to_probe, PROBE_WAIT};
use crate::engine_selection::{select_engine, CapacityCheck};
use crate::events::Arrival;
use crate::ids::RequestId;
use crate::policy::Policy;
use crate::pricing::PriceQuote;
use crate::request::Request;
use crate::request_queue::QueuePosition;
use crate::tenant_quota::QuotaUse;

impl Policy {
    pub(super) fn on_arrival(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        self.retry_budget.record_request(self.now, self.settings.retry_budget.as_ref());
        if arrival.class.0 >= self.settings.classes.len() {
            out.push(Action::Fail { id, retry_after: None });
            return;
        }
        let request = self.new_request(arrival);
        if let Some(key) = &request.key {
            self.key_order.join(key, id);
        }
        self.requests.insert(id, request);
        self.admit(id, out);
    }

    /// Creates the request of an arrival: its cost, its value (lower beyond the tenant's quota) and its key.
    fn new_request(&mut self, arrival: Arrival) -> Request {
        let managers = f64::from(self.settings.gateways);
        let quota_use = self.tenant_quotas.take(self.now, arrival.tenant, &self.settings.tenants, managers);
        let estimates = &mut self.estimates[arrival.class.0];
        let cost = arrival.cost.unwrap_or(estimates.mean_cost());
        if arrival.cost.is_some() {
            estimates.record_estimate(cost);
        }
        self.probe_credit.earn(self.settings.probe_price);
        let mut request = Request::new(&arrival, self.queue.next_sequence(), self.now, cost);
        let class = &self.settings.classes[request.class];
        let quota_factor = match quota_use {
            QuotaUse::WithinQuota => 1.0,
            QuotaUse::OverQuota => self.settings.over_quota_value_factor,
        };
        request.value = class.value * quota_factor;
        request.key = arrival.key.filter(|_| class.ordered_by_key);
        request
    }

    /// Prices a request, and queues or rejects it.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let quote = self.quote(request);
        let random_unit = self.random.next_unit();
        if let Some(request) = self.requests.get_mut(&id) {
            request.level = quote.level;
        }
        self.sample_candidates(id, out);
        let Some(request) = self.requests.get(&id) else { return };
        let decision = self.decide_admission(request, &quote, random_unit);
        self.explain_admission(id, &quote, decision, out);
        if !decision.is_admitted() {
            return self.respond(id, out);
        }
        let queued_work = request.cost * self.estimates[request.class].work_ratio();
        let position = QueuePosition::of(request);
        self.prices.record_admission(request.class, quote.level);
        self.queue.insert(id, request);
        self.dispatch_new_request(id, out);
        if self.queue.contains(position) {
            self.queue.add_queued_work(quote.level, queued_work);
        }
    }

    fn decide_admission(&self, request: &Request, quote: &PriceQuote, random_unit: f64) -> AdmissionDecision {
        let secs_to_deadline = (request.deadline - self.now).as_secs_f64();
        let engine_utilisation = || {
            let fleet = self.fleet();
            let engine = select_engine(&fleet, request, CapacityCheck::Ignored, random_unit)?;
            Some(fleet.utilisation(&self.engines[engine]))
        };
        let value = self.answer_value(request);
        admission::decide(quote, &value, secs_to_deadline, self.free_capacity(), engine_utilisation)
    }

    /// The current price quote of a request, at the level with the lowest sum of delay cost and price.
    pub(super) fn quote(&self, request: &Request) -> PriceQuote {
        self.prices.cheapest_level(
            request.class,
            &self.settings.classes[request.class],
            &self.estimates[request.class],
            request.cost,
            self.queue.queued_work(),
            self.share(),
        )
    }

    pub(super) fn free_capacity(&self) -> FreeCapacity {
        FreeCapacity { own_threads: self.own_load.threads(), share_cores: self.share().cores() }
    }

    pub(super) fn answer_value(&self, request: &Request) -> AnswerValue {
        AnswerValue::of(request, &self.settings.classes[request.class], &self.estimates[request.class])
    }

    /// Samples the candidates of a request that chooses among a few engines, and probes those of unknown
    /// load.
    pub(super) fn sample_candidates(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(pool) = candidate_pool(&self.fleet(), request) else { return };
        let candidates = pool.draw(&mut self.random);
        let to_probe = candidates_to_probe(&self.fleet(), request, &candidates);
        self.probe_credit.spend(to_probe.len());
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.probes_until = if to_probe.is_empty() { self.now } else { self.now + PROBE_WAIT };
        request.candidates = candidates;
        request.sampled_at = self.now;
        out.extend(to_probe.into_iter().map(|engine| Action::Probe { engine }));
    }
}
