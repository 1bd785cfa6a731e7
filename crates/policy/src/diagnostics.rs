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
    pub gone: bool,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cores.
    pub cores: f64,
    /// Own threads in flight there.
    pub threads: f64,
    /// Own attempts in flight there.
    pub flying: u32,
    /// Threads that others had there by the last report.
    pub others: f64,
    /// Queries waiting for memory there by the last report.
    pub waiting: f64,
    /// The last report told of busy cores only, nearly all of them.
    pub full: bool,
    /// Seconds since the last report.
    pub report_age: Option<f64>,
    /// How much that report still counts, 0 to 1.
    pub trust_in_report: f64,
    /// Threads of other gateways that an engine of its size has in the mean.
    pub usual: f64,
    /// Estimated threads in all.
    pub load: f64,
    /// The same for each core that it has by now.
    pub utilisation: f64,
    /// Fraction of its capacity that it has by now.
    pub warmth: f64,
    /// How many times slower it is than the median.
    pub slowness: f64,
    /// Fraction of recent attempts that failed.
    pub failing: f64,
    /// It takes requests and answers none.
    pub silent: bool,
    /// Own attempts there that are overdue.
    pub overdue: u32,
    /// It gets a trial now and then only.
    #[serde(rename = "distrusted")]
    pub ejected: bool,
    /// Remaining backoff, seconds.
    pub rests: f64,
    /// Work charged to its slow-start budget, and the budget; thread-seconds.
    pub cold: (f64, f64),
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
    pub out: Option<(u32, EngineId)>,
    /// Its level.
    pub level: u8,
    /// It has its final response.
    pub answered: bool,
}

/// The module's totals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Own threads in flight.
    pub own: f64,
    /// This gateway's share of the told cores.
    pub share: f64,
    /// Threads a core of other gateways, as reported.
    pub fleet: f64,
    /// Queued work, thread-seconds, by level.
    pub held: [f64; LEVELS],
    /// Tolls by class, then level, for a query of mean cost.
    pub prices: Vec<[f64; LEVELS]>,
    /// Waits by class, then level, seconds.
    pub waits: Vec<[f64; LEVELS]>,
    /// Mean cost by class, thread-seconds.
    pub means: Vec<f64>,
    /// Requests open.
    pub open: usize,
    /// Requests queued.
    pub waiting: usize,
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
    /// Whether reasons ([`Action::Why`]) are given from now on. No decision depends on it.
    pub fn listen(&mut self, on: bool) {
        self.explains = on;
    }

    /// Approximate size of a copy in bytes, for bounds on queues.
    pub fn footprint(&self) -> u64 {
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
    pub fn set_up_anew(&mut self, set: Settings) -> bool {
        let alike = set.classes.len() == self.settings.classes.len()
            && set.tenants.len() == self.settings.tenants.len();
        if alike {
            self.settings = set;
        }
        alike
    }

    /// The number and engine of a request's attempt in flight.
    pub fn out(&self, id: RequestId) -> Option<(u32, EngineId)> {
        let a = self.requests.get(&id)?.in_flight.as_ref()?;
        Some((a.number, a.engine))
    }

    /// The price of a class at a level: the toll of a query of mean cost, in value; `None` for an unknown one.
    pub fn price(&self, class: ClassId, level: Level) -> Option<f64> {
        Some(self.classes.get(class.0)?.levels.get(usize::from(level.0))?.price)
    }

    /// All open requests.
    pub fn open(&self) -> Vec<OpenRequest> {
        let one = |(id, r): (&RequestId, &Request)| OpenRequest {
            id: *id,
            deadline: r.deadline,
            attempts: r.attempts,
            out: r.in_flight.as_ref().map(|a| (a.number, a.engine)),
            level: r.level as u8,
            answered: r.answered,
        };
        self.requests.iter().map(one).collect()
    }

    /// Every engine, by number.
    pub fn engines(&self) -> Vec<EngineView> {
        (0..self.engines.len()).filter_map(|i| self.engine(EngineId(i as u32))).collect()
    }

    /// One engine; `None` if the list never had it.
    pub fn engine(&self, engine: EngineId) -> Option<EngineView> {
        let e = self.engines.get(engine.0 as usize)?;
        Some(EngineView {
            engine: engine.0,
            listed: e.listed,
            gone: e.withdrawn,
            zone: e.zone,
            kind: e.kind,
            cores: e.cores,
            threads: e.threads,
            flying: e.in_flight,
            others: e.others_threads,
            waiting: e.waiting,
            full: e.saturated,
            report_age: e.reported_at.map(|t| (self.now - t).as_secs_f64()),
            trust_in_report: self.report_weight(e),
            usual: self.mean_load() * e.cores * self.capacity_fraction(e) * self.lottery_odds(e),
            load: self.estimated_threads(e),
            utilisation: self.utilisation(engine.0 as usize),
            warmth: self.capacity_fraction(e),
            slowness: relative_slowness(e, self.median_slowness),
            failing: e.failure_rate.value(),
            silent: e.unresponsive,
            overdue: e.overdue,
            ejected: e.ejected,
            rests: (e.backoff_until - self.now).as_secs_f64().max(0.0),
            cold: (e.recent_charges.sum(self.now, self.settings.fall_span), self.slow_start_budget(e)),
        })
    }

    /// Totals.
    pub fn overview(&self) -> Overview {
        let levels = |of: &dyn Fn(&LevelState) -> f64| -> Vec<[f64; LEVELS]> {
            self.classes.iter().map(|c| std::array::from_fn(|k| of(&c.levels[k]))).collect()
        };
        Overview {
            own: self.own_threads,
            share: self.core_share(),
            fleet: self.others_load.value(),
            held: self.queued_work,
            prices: levels(&|l| l.price),
            waits: levels(&|l| l.wait),
            means: self.classes.iter().map(|c| c.mean_cost).collect(),
            open: self.requests.len(),
            waiting: self.queue.len(),
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
        out.push(Action::Why(Box::new(Reason::Priced {
            id,
            class: r.class,
            level: r.level as u8,
            cost: r.cost,
            tau,
            toll,
            worth: self.net_value(r, tau),
            wanted: self.latency_objective(r),
            own: self.own_threads,
            share: self.core_share(),
            free,
            enters,
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
                Some(Bar::NotListed)
            } else if !self.is_allowed(r, i) {
                Some(Bar::Rules)
            } else if healthy && !self.is_healthy_for(r, i) {
                Some(Bar::Health)
            } else if r.errors > 0 && other && r.last_engine == Some(here) {
                Some(Bar::JustFailed)
            } else if !r.candidates.is_empty() && !r.candidates.contains(&i) {
                Some(Bar::NotAmongFew)
            } else if !self.has_capacity(r, i) {
                Some(Bar::NoRoom)
            } else {
                None
            };
            let weight = if bar.is_none() { self.draw_weight(r, i) } else { 0.0 };
            let (utilisation, trust) = (self.utilisation(i), self.report_weight(&self.engines[i]));
            Candidate { engine: here, bar, weight, utilisation, trust }
        };
        let among = (0..self.engines.len()).filter(|i| !self.engines[*i].withdrawn).map(candidate).collect();
        out.push(Action::Why(Box::new(Reason::Drawn {
            id,
            dice,
            fill: MAX_UTILISATION[r.level],
            chosen,
            among,
        })));
    }

    /// Gives the reason why a request is rejected or failed.
    pub(crate) fn why_answered(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.explains) else { return };
        let in_all = (self.now - r.arrived).as_secs_f64() + self.expected_latency(r.class, r.cost);
        out.push(Action::Why(Box::new(Reason::Answered {
            id,
            attempts: r.attempts,
            errors: r.errors,
            left: (r.deadline - self.now).as_secs_f64(),
            may_repeat: self.can_retry(r),
            budget: self.has_retry_budget(),
            in_all,
            worth: self.net_value(r, in_all),
            toll: self.cheapest_level(r.class, r.cost).toll,
            jam: self.queue_delay(),
        })));
    }

    /// Gives the reason why an attempt is cancelled.
    pub(crate) fn why_cancelled(&self, id: RequestId, out: &mut Vec<Action>) {
        let request = self.requests.get(&id).filter(|_| self.explains);
        let Some((r, a)) = request.and_then(|r| Some((r, r.in_flight.as_ref()?))) else { return };
        out.push(Action::Why(Box::new(Reason::Cancelled {
            id,
            attempt: a.number,
            engine: a.engine,
            age: (self.now - a.sent_at).as_secs_f64(),
            expected: a.expected,
            unheard: (self.now - a.last_progress).as_secs_f64(),
            ejected: self.engines[a.engine.0 as usize].ejected,
            answered: r.answered,
        })));
    }
}
