//! Views of the module's state for operators and captures, and the reasons of its decisions.
//!
//! Nothing here decides; reasons are computed only while they are asked for.

use crate::*;
use serde::Serialize;

/// An engine as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineView {
    /// Its number.
    pub engine: u32,
    /// The endpoint list has it as ready.
    pub listed: bool,
    /// The endpoint list has it as gone.
    #[serde(rename = "gone")]
    pub withdrawn: bool,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cores.
    pub cores: f64,
    /// Own threads in flight there.
    pub threads: f64,
    /// Own attempts in flight there.
    #[serde(rename = "flying")]
    pub attempts_in_flight: u32,
    /// Threads that others had there by the last report.
    #[serde(rename = "others")]
    pub others_threads: f64,
    /// Queries waiting for memory there by the last report.
    #[serde(rename = "waiting")]
    pub queries_waiting_for_memory: f64,
    /// The last report told of busy cores only, nearly all of them.
    #[serde(rename = "full")]
    pub saturated: bool,
    /// Seconds since the last report.
    pub report_age: Option<f64>,
    /// How much that report still counts, 0 to 1.
    #[serde(rename = "trust_in_report")]
    pub report_weight: f64,
    /// Threads of other gateways that an engine of its size has in the mean.
    #[serde(rename = "usual")]
    pub mean_others_threads: f64,
    /// Estimated threads in all.
    #[serde(rename = "load")]
    pub estimated_threads: f64,
    /// The same for each core that it has by now.
    pub utilisation: f64,
    /// Fraction of its capacity that it has by now.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// How many times slower it is than the median.
    pub slowness: f64,
    /// Fraction of recent attempts that failed.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// It takes requests and answers none.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Own attempts there that are overdue.
    pub overdue: u32,
    /// It gets a trial now and then only.
    #[serde(rename = "distrusted")]
    pub ejected: bool,
    /// Remaining backoff, seconds.
    #[serde(rename = "rests")]
    pub backoff_secs: f64,
    /// Work charged to its slow-start budget, and the budget; thread-seconds.
    #[serde(rename = "cold")]
    pub slow_start_charged_and_budget: (f64, f64),
}

/// An open request as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenRequest {
    /// Which.
    pub id: RequestId,
    /// When its client gives up.
    pub deadline: Timestamp,
    /// Attempts so far.
    pub attempts: u32,
    /// The attempt in flight, and its engine.
    #[serde(rename = "out")]
    pub in_flight: Option<(u32, EngineId)>,
    /// Its level.
    pub level: u8,
    /// It has its final response.
    pub answered: bool,
}

/// The module's totals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Own threads in flight.
    #[serde(rename = "own")]
    pub own_threads: f64,
    /// This gateway's share of the told cores.
    #[serde(rename = "share")]
    pub core_share: f64,
    /// Threads a core of other gateways, as reported.
    #[serde(rename = "fleet")]
    pub others_load: f64,
    /// Queued work, thread-seconds, by level.
    #[serde(rename = "held")]
    pub queued_work: [f64; LEVELS],
    /// Tolls by class, then level, for a query of mean cost.
    pub prices: Vec<[f64; LEVELS]>,
    /// Waits by class, then level, seconds.
    pub waits: Vec<[f64; LEVELS]>,
    /// Mean cost by class, thread-seconds.
    #[serde(rename = "means")]
    pub mean_costs: Vec<f64>,
    /// Requests open.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// Requests queued.
    #[serde(rename = "waiting")]
    pub queued_requests: usize,
}

impl Engine {
    /// Logs that the engine was ejected or readmitted, with the figures behind it.
    ///
    /// Captures hold the log lines of their day word for word, and a replay compares them: the text must not change.
    pub(crate) fn log_health(&self, number: usize, slowness: f64, out: &mut Vec<Action>) {
        let state = if self.ejected { "distrusted" } else { "trusted" };
        let (silent, overdue, failing) = (self.unresponsive, self.overdue, self.failure_rate.value());
        let why = format!("silent {silent}, {overdue} overdue, slowness {slowness:.1}, failing {failing:.2}");
        out.push(Action::Log(format!("engine {number} {state}: {why}")));
    }
}

impl Policy {
    /// Whether reasons ([`Action::Explain`]) are given from now on. No decision depends on it.
    pub fn set_explaining(&mut self, on: bool) {
        self.explains = on;
    }

    /// Approximate size of a copy in bytes, for bounds on queues.
    pub fn estimated_bytes(&self) -> u64 {
        let engine = size_of::<Engine>() + 256;
        let request = size_of::<Request>() + 64;
        (size_of::<Policy>() + self.engines.len() * engine + self.requests.len() * request) as u64
    }

    /// The present settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings, for replays of what would have been. `false`, and nothing changes, unless there are as
    /// many classes and tenants as before.
    pub fn replace_settings(&mut self, set: Settings) -> bool {
        let alike = set.classes.len() == self.settings.classes.len()
            && set.tenants.len() == self.settings.tenants.len();
        if alike {
            self.settings = set;
        }
        alike
    }

    /// The number and engine of a request's attempt in flight.
    pub fn in_flight_attempt(&self, id: RequestId) -> Option<(u32, EngineId)> {
        let a = self.requests.get(&id)?.in_flight.as_ref()?;
        Some((a.number, a.engine))
    }

    /// The price of a class at a level: the toll of a query of mean cost, in value; `None` for an unknown one.
    pub fn price(&self, class: ClassId, level: Level) -> Option<f64> {
        Some(self.classes.get(class.0)?.levels.get(usize::from(level.0))?.price)
    }

    /// All open requests.
    pub fn open_requests(&self) -> Vec<OpenRequest> {
        let one = |(id, r): (&RequestId, &Request)| OpenRequest {
            id: *id,
            deadline: r.deadline,
            attempts: r.attempts,
            in_flight: r.in_flight.as_ref().map(|a| (a.number, a.engine)),
            level: r.level as u8,
            answered: r.answered,
        };
        self.requests.iter().map(one).collect()
    }

    /// Every engine, by number.
    pub fn engine_views(&self) -> Vec<EngineView> {
        (0..self.engines.len()).filter_map(|i| self.engine_view(EngineId(i as u32))).collect()
    }

    /// One engine; `None` if the list never had it.
    pub fn engine_view(&self, engine: EngineId) -> Option<EngineView> {
        let e = self.engines.get(engine.0 as usize)?;
        Some(EngineView {
            engine: engine.0,
            listed: e.listed,
            withdrawn: e.withdrawn,
            zone: e.zone,
            kind: e.kind,
            cores: e.cores,
            threads: e.threads,
            attempts_in_flight: e.in_flight,
            others_threads: e.others_threads,
            queries_waiting_for_memory: e.waiting,
            saturated: e.saturated,
            report_age: e.reported_at.map(|t| (self.now - t).as_secs_f64()),
            report_weight: self.report_weight(e),
            mean_others_threads: self.mean_load()
                * e.cores
                * self.capacity_fraction(e)
                * self.lottery_odds(e),
            estimated_threads: self.estimated_threads(e),
            utilisation: self.utilisation(engine.0 as usize),
            capacity_fraction: self.capacity_fraction(e),
            slowness: relative_slowness(e, self.median_slowness),
            failure_rate: e.failure_rate.value(),
            unresponsive: e.unresponsive,
            overdue: e.overdue,
            ejected: e.ejected,
            backoff_secs: (e.backoff_until - self.now).as_secs_f64().max(0.0),
            slow_start_charged_and_budget: (
                e.recent_charges.sum(self.now, self.settings.slow_start_window),
                self.slow_start_budget(e),
            ),
        })
    }

    /// Totals.
    pub fn overview(&self) -> Overview {
        let levels = |of: &dyn Fn(&LevelState) -> f64| -> Vec<[f64; LEVELS]> {
            self.classes.iter().map(|c| std::array::from_fn(|k| of(&c.levels[k]))).collect()
        };
        Overview {
            own_threads: self.own_threads,
            core_share: self.core_share(),
            others_load: self.others_load.value(),
            queued_work: self.queued_work,
            prices: levels(&|l| l.price),
            waits: levels(&|l| l.wait),
            mean_costs: self.classes.iter().map(|c| c.mean_cost).collect(),
            open_requests: self.requests.len(),
            queued_requests: self.queue.len(),
        }
    }

    /// Gives the reason why a request is admitted or rejected.
    pub(crate) fn why_priced(
        &self,
        id: RequestId,
        quote: &LevelQuote,
        free: bool,
        enters: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id).filter(|_| self.explains) else { return };
        let LevelQuote { tau, toll, .. } = *quote;
        out.push(Action::Explain(Box::new(Reason::Priced {
            id,
            class: r.class,
            level: r.level as u8,
            cost: r.cost,
            expected_time: tau,
            price: toll,
            net_value: self.net_value(r, tau),
            latency_objective: self.latency_objective(r),
            own_threads: self.own_threads,
            core_share: self.core_share(),
            has_free_cores: free,
            admitted: enters,
        })));
    }

    /// Gives each engine's part in a draw; called with the arguments of the draw, just before it.
    pub(crate) fn why_drawn(&self, id: RequestId, dice: f64, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.explains) else { return };
        let chosen = self.pick_engine(r, true, dice);
        let healthy = (0..self.engines.len()).any(|i| self.is_allowed(r, i) && self.is_healthy_for(r, i));
        let other = (0..self.engines.len()).any(|i| {
            self.is_allowed(r, i)
                && (!healthy || self.is_healthy_for(r, i))
                && r.last_engine != Some(EngineId(i as u32))
        });
        let candidate = |i: usize| {
            let here = EngineId(i as u32);
            let bar = if !self.engines[i].listed {
                Some(IneligibleReason::NotListed)
            } else if !self.is_allowed(r, i) {
                Some(IneligibleReason::Rules)
            } else if healthy && !self.is_healthy_for(r, i) {
                Some(IneligibleReason::Health)
            } else if r.errors > 0 && other && r.last_engine == Some(here) {
                Some(IneligibleReason::JustFailed)
            } else if !r.candidates.is_empty() && !r.candidates.contains(&i) {
                Some(IneligibleReason::NotSampled)
            } else if !self.has_capacity(r, i) {
                Some(IneligibleReason::NoCapacity)
            } else {
                None
            };
            let weight = if bar.is_none() { self.draw_weight(r, i) } else { 0.0 };
            let (utilisation, trust) = (self.utilisation(i), self.report_weight(&self.engines[i]));
            Candidate { engine: here, ineligible: bar, weight, utilisation, report_weight: trust }
        };
        let among = (0..self.engines.len()).filter(|i| !self.engines[*i].withdrawn).map(candidate).collect();
        out.push(Action::Explain(Box::new(Reason::Drawn {
            id,
            random_unit: dice,
            max_utilisation: MAX_UTILISATION[r.level],
            chosen,
            candidates: among,
        })));
    }

    /// Gives the reason why a request is rejected or failed.
    pub(crate) fn why_answered(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.explains) else { return };
        let in_all = (self.now - r.arrived).as_secs_f64() + self.expected_latency(r.class, r.cost);
        out.push(Action::Explain(Box::new(Reason::Answered {
            id,
            attempts: r.attempts,
            errors: r.errors,
            time_left: (r.deadline - self.now).as_secs_f64(),
            retry_allowed: self.can_retry(r),
            has_retry_budget: self.has_retry_budget(),
            expected_total_time: in_all,
            net_value: self.net_value(r, in_all),
            price: self.cheapest_level(r.class, r.cost).toll,
            queue_delay: self.queue_delay(),
        })));
    }

    /// Gives the reason why an attempt is cancelled.
    pub(crate) fn why_cancelled(&self, id: RequestId, out: &mut Vec<Action>) {
        let request = self.requests.get(&id).filter(|_| self.explains);
        let Some((r, a)) = request.and_then(|r| Some((r, r.in_flight.as_ref()?))) else { return };
        out.push(Action::Explain(Box::new(Reason::Cancelled {
            id,
            attempt: a.number,
            engine: a.engine,
            age: (self.now - a.sent_at).as_secs_f64(),
            expected_latency: a.expected,
            since_progress: (self.now - a.last_progress).as_secs_f64(),
            ejected: self.engines[a.engine.0 as usize].ejected,
            answered: r.answered,
        })));
    }
}
