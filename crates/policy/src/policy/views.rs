//! Views of the module's state for operators and captures. No rule depends on them.

use crate::diagnostics::{EngineView, OpenRequest, Overview};
use crate::engine::Engine;
use crate::fleet_view::FleetView;
use crate::ids::{ClassId, EngineId, Level, RequestId};
use crate::policy::Policy;
use crate::request::Request;
use crate::settings::Settings;

impl Policy {
    /// Turns explanations ([`Action::Explain`](crate::Action::Explain)) on or off. No decision depends on it.
    pub fn set_explaining(&mut self, is_explaining: bool) {
        self.is_explaining = is_explaining;
    }

    /// The current settings, with the changes that events made to them.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings, for a replay with other settings than recorded. Returns `false` and changes
    /// nothing unless there are as many classes and tenants as before.
    pub fn replace_settings(&mut self, settings: Settings) -> bool {
        let has_same_lengths = settings.classes.len() == self.settings.classes.len()
            && settings.tenants.len() == self.settings.tenants.len();
        if has_same_lengths {
            self.settings = settings;
        }
        has_same_lengths
    }

    /// The number and engine of a request's attempt in flight; `None` if the request is unknown or has none.
    pub fn in_flight_attempt(&self, id: RequestId) -> Option<(u32, EngineId)> {
        let attempt = self.requests.get(&id)?.in_flight.as_ref()?;
        Some((attempt.number, attempt.engine))
    }

    /// The price of a query of mean cost of a class at a level, in value; `None` for an unknown class or
    /// level.
    pub fn price(&self, class: ClassId, level: Level) -> Option<f64> {
        self.prices.price(class.0, usize::from(level.0))
    }

    /// All requests without a final response or with an attempt in flight.
    pub fn open_requests(&self) -> Vec<OpenRequest> {
        let open_request = |(id, request): (&RequestId, &Request)| OpenRequest {
            id: *id,
            deadline: request.deadline,
            attempts: request.attempts,
            in_flight: request.in_flight.as_ref().map(|attempt| (attempt.number, attempt.engine)),
            level: request.level as u8,
            answered: request.is_answered,
        };
        self.requests.iter().map(open_request).collect()
    }

    /// The state of every engine, in the order of their numbers.
    pub fn engine_views(&self) -> Vec<EngineView> {
        let fleet = self.fleet();
        self.engines.iter().map(|(id, engine)| engine_view(&fleet, id, engine)).collect()
    }

    /// The state of one engine; `None` if the endpoint list never had it.
    pub fn engine_view(&self, id: EngineId) -> Option<EngineView> {
        Some(engine_view(&self.fleet(), id, self.engines.get(id)?))
    }

    /// Totals over all engines, classes and requests of this manager.
    pub fn overview(&self) -> Overview {
        Overview {
            own_threads: self.own_load.threads(),
            core_share: self.share().cores(),
            others_load: self.load.reported_per_core(),
            queued_work: *self.queue.queued_work(),
            prices: self.prices.by_level().map(|(prices, _)| prices).collect(),
            waits: self.prices.by_level().map(|(_, waits)| waits).collect(),
            mean_costs: self.estimates.iter().map(|class| class.mean_cost()).collect(),
            open_requests: self.requests.len(),
            queued_requests: self.queue.len(),
        }
    }
}

fn engine_view(fleet: &FleetView, id: EngineId, engine: &Engine) -> EngineView {
    let slowness = engine.health.slowness().relative_to(fleet.outliers.median_log_slowness());
    let slow_start_spent = engine.slow_start.spent(fleet.now, fleet.settings);
    let slow_start_budget = fleet.slow_start.budget(engine.cores(), engine.started_at());
    EngineView {
        engine: id.0,
        listed: engine.is_listed(),
        gone: engine.is_gone(),
        zone: engine.zone(),
        kind: engine.kind(),
        cores: engine.cores(),
        threads: engine.own_threads(),
        attempts_in_flight: engine.own_attempts(),
        others_threads: engine.load.others_threads(),
        queries_waiting_for_memory: engine.load.queries_waiting(),
        saturated: engine.load.is_saturated(),
        report_age: engine.load.report_age_secs(fleet.now),
        report_weight: fleet.report_weight(engine),
        mean_others_threads: fleet.mean_of_others(engine),
        estimated_threads: fleet.estimated_threads(engine),
        utilisation: fleet.utilisation(engine),
        capacity_fraction: fleet.capacity_fraction(engine),
        slowness,
        failure_rate: engine.health.failure_rate(),
        unresponsive: engine.health.is_unresponsive(),
        overdue: engine.health.overdue_attempts(),
        ejected: engine.health.is_ejected(),
        backoff_secs: (engine.health.backoff_until() - fleet.now).as_secs_f64().max(0.0),
        slow_start_charged_and_budget: (slow_start_spent, slow_start_budget),
    }
}
