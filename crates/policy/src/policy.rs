//! The decision module of one manager: owns the state, routes each event to the rules and collects their
//! actions. It decides nothing itself: each rule is a function of its own module, and the files of this
//! folder gather its inputs.

mod arrivals;
mod attempts;
mod dispatch;
mod endpoints;
mod explanations;
mod review;
mod stored;
mod ticks;
mod views;

use crate::actions::Action;
use crate::class_estimates::ClassEstimates;
use crate::engine::Engine;
use crate::engine_table::EngineTable;
use crate::events::Event;
use crate::fleet_view::FleetView;
use crate::ids::RequestId;
use crate::load_estimate::LoadEstimator;
use crate::memory_grant::GrantEstimator;
use crate::outlier_detection::OutlierDetector;
use crate::own_load::{FleetShare, OwnLoad};
use crate::pricing::{PriceTable, PRICING_INTERVAL};
use crate::probe_credit::ProbeCredit;
use crate::request::{OpenRequests, Request};
use crate::request_queue::{KeyOrder, RequestQueue};
use crate::retry::RetryBudget;
use crate::settings::Settings;
use crate::slow_start::SlowStartLimits;
use crate::snapshot::StoredPolicy;
use crate::tenant_quota::TenantQuotas;
use serde::Deserialize;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

/// Time between two reviews of all open requests: short compared with every deadline.
pub(crate) const TICK: TimeDelta = TimeDelta::from_millis(20);

/// Approximate heap size of an engine's record, bytes.
const ENGINE_HEAP_BYTES: usize = 256;
/// Approximate heap size of a request's record, bytes.
const REQUEST_HEAP_BYTES: usize = 64;

/// The decision module of one manager.
#[derive(Clone, Deserialize)]
#[serde(from = "StoredPolicy")]
pub struct Policy {
    settings: Settings,
    random: SplitMix64,
    now: Timestamp,
    /// Time at which this module was created.
    started_at: Timestamp,
    is_timer_started: bool,
    next_pricing: Timestamp,
    /// Time at which the endpoint list is to be requested; `None` while no request is due.
    next_watch: Option<Timestamp>,
    engines: EngineTable,
    outliers: OutlierDetector,
    load: LoadEstimator,
    own_load: OwnLoad,
    prices: PriceTable,
    /// Indexed by class.
    estimates: Vec<ClassEstimates>,
    /// Indexed by class.
    grants: Vec<GrantEstimator>,
    tenant_quotas: TenantQuotas,
    requests: OpenRequests,
    queue: RequestQueue,
    key_order: KeyOrder,
    retry_budget: RetryBudget,
    probe_credit: ProbeCredit,
    /// Whether reasons are given along with the actions; no decision depends on it.
    is_explaining: bool,
}

impl Policy {
    /// Creates the module of a manager that starts at `now` and has learned nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Policy {
        let classes = &settings.classes;
        Policy {
            random: SplitMix64::new(seed),
            now,
            started_at: now,
            is_timer_started: false,
            next_pricing: now + PRICING_INTERVAL,
            next_watch: settings.must_poll_endpoints.then_some(now),
            engines: EngineTable::default(),
            outliers: OutlierDetector::new(),
            load: LoadEstimator::new(classes.iter().map(|class| class.threads)),
            own_load: OwnLoad::default(),
            prices: PriceTable::new(classes.len()),
            estimates: classes.iter().map(ClassEstimates::new).collect(),
            grants: classes.iter().map(|_| GrantEstimator::new()).collect(),
            tenant_quotas: TenantQuotas::new(settings.tenants.len()),
            requests: OpenRequests::new(),
            queue: RequestQueue::default(),
            key_order: KeyOrder::default(),
            retry_budget: RetryBudget::default(),
            probe_credit: ProbeCredit::default(),
            is_explaining: false,
            settings,
        }
    }

    /// Processes one event and appends the resulting actions to `out`. If `now` is before the time of an
    /// earlier event, the latest of those times is used instead.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.is_timer_started {
            self.is_timer_started = true;
            start_timer(out);
        }
        match event {
            Event::RequestArrived(arrival) => self.on_arrival(arrival, out),
            Event::ResponseStarted { id } => self.on_response_started(id),
            Event::ProgressReported { id, attempt, note } => self.on_progress(id, attempt, note, out),
            Event::RequestAbandoned { id } => self.finish(id, out),
            Event::PeerMessageReceived { .. } => {}
            Event::ZoneWeightsChanged(weights) => self.settings.zone_weights = weights,
            Event::FleetChanged { gateways, spare_retries } => self.on_fleet_change(gateways, spare_retries),
            Event::EndpointsChanged { kind, entries } => {
                self.on_endpoints_change(kind, &entries);
                self.dispatch_queued(out);
            }
            Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report } => {
                let ended = attempts::EndedAttempt {
                    outcome,
                    latency,
                    is_request_over: complete,
                    query_cost,
                    report,
                };
                self.on_attempt_end(id, attempt, &ended, out);
                self.dispatch_queued(out);
            }
            Event::ProbeCompleted { engine, outcome, report } => {
                self.on_probe_end(engine, outcome, &report);
                self.dispatch_queued(out);
            }
            Event::Timer { .. } => {
                self.on_tick(out);
                self.dispatch_queued(out);
                start_timer(out);
            }
        }
    }

    /// Approximate size of a copy of this module in bytes, for size limits of queues that hold copies.
    pub fn estimated_bytes(&self) -> u64 {
        let engine = size_of::<Engine>() + ENGINE_HEAP_BYTES;
        let request = size_of::<Request>() + REQUEST_HEAP_BYTES;
        (size_of::<Policy>() + self.engines.len() * engine + self.requests.len() * request) as u64
    }

    fn on_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_answered = true;
        }
    }

    fn on_fleet_change(&mut self, capacity_shares: u32, spare_retries: f64) {
        self.settings.gateways = capacity_shares.max(1);
        self.settings.spare_retries = spare_retries;
    }

    /// This manager's share of the ready engines.
    fn share(&self) -> FleetShare {
        let managers = f64::from(self.settings.gateways);
        FleetShare { managers, ready_cores: self.engines.ready_cores() }
    }

    /// The current view of the fleet for the rules on engines.
    fn fleet(&self) -> FleetView<'_> {
        let share = self.share();
        FleetView {
            now: self.now,
            settings: &self.settings,
            engines: &self.engines,
            outliers: &self.outliers,
            requests: &self.requests,
            estimates: &self.estimates,
            probe_credit: &self.probe_credit,
            share,
            own_threads: self.own_load.threads(),
            mean_load: self.load.mean_load(self.now, &self.own_load, share),
            slow_start: SlowStartLimits::new(self.now, self.started_at, &self.settings, &self.estimates),
        }
    }
}

fn start_timer(out: &mut Vec<Action>) {
    out.push(Action::StartTimer { delay: TICK, token: 0 });
}
