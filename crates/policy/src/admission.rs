//! Admission by priority pricing (Konana et al., sections 3.2 to 3.4): a request pays a toll at each level.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Weight of the new price in the implemented one (alpha of the paper's eq. 7; design page).
const ALPHA: f64 = 0.1;
/// Weight of an interval's rate, or of one wait, in its average (ours).
const OUTCOME_WEIGHT: f64 = 0.2;
/// Outcomes an interval from which its figures stand alone; with fewer, older ones count along (ours).
const FULL_EVIDENCE: f64 = 10.0;
/// Utilisation counts up to this in the slope, which has no bound otherwise (design page).
const MAX_SLOPE_UTILISATION: f64 = 0.9;
/// Cores of this gateway's share at which its own load tells half of the fleet's (ours).
const VISIBLE_CORES: f64 = 4.0;
/// Factor on a level's wait after an interval with full evidence of other levels only (design page).
const WAIT_DECAY: f64 = 0.5;
/// A query in time is admitted if the engine picked for it is used less than this (design page).
const LOW_UTILISATION: f64 = 0.7;
/// A response is sent this long before the client stops waiting: two ticks and a batch.
pub(crate) const ANSWER_MARGIN: TimeDelta = TimeDelta::from_micros(50_000);
/// Least depth of a tenant's token bucket, requests; else it holds one second's quota (ours).
const TENANT_BURST: f64 = 6.0;
/// An answer counts as late if this many times its expected latency passes the objective (ours).
pub(crate) const LATENESS_MARGIN: f64 = 1.5;
/// Estimates counted in a class's mean cost; the mean before the first, over the objective on all threads.
const MAX_COST_SAMPLES: u32 = 200;
const INITIAL_COST: f64 = 0.25;

impl Policy {
    /// This gateway's even share of the ready engines' cores.
    pub(crate) fn core_share(&self) -> f64 {
        (self.cores / self.gateways()).max(1.0)
    }

    /// How far own load tells of the fleet's, 0 to 1.
    pub(crate) fn load_visibility(&self) -> f64 {
        self.core_share() / (self.core_share() + VISIBLE_CORES)
    }

    /// Value lost per second of waiting (the paper's delta): value over deadline.
    fn delta(&self, class: usize) -> f64 {
        self.class(class).value / self.class(class).deadline.as_secs_f64().max(1e-3)
    }

    /// Sets all prices anew (the paper's eq. 6 and 7).
    pub(crate) fn update_prices(&mut self) {
        let share = self.core_share();
        let evidence = (f64::from(self.recent_outcomes) / FULL_EVIDENCE).min(1.0);
        self.recent_outcomes = 0;
        for level in self.classes.iter_mut().flat_map(|class| &mut class.levels) {
            level
                .arrival_rate
                .update(f64::from(level.admitted) / PRICING_INTERVAL.as_secs_f64(), OUTCOME_WEIGHT);
            level.admitted = 0;
            // Departure from the paper: an unobserved level's wait decays only as others are observed.
            level.wait *= if level.observed { 1.0 } else { WAIT_DECAY.powf(evidence) };
            level.observed = false;
        }
        // What one more thread-second a second at a level costs those who wait there.
        let mut burden = [0.0; LEVELS];
        for (k, (burden, above)) in burden.iter_mut().zip(self.threads_above).enumerate() {
            let levels = || self.classes.iter().map(|class| class.levels[k]);
            let rates: f64 = levels().map(|l| l.arrival_rate.value()).sum();
            let waits: f64 = levels().map(|l| l.arrival_rate.value() * l.wait).sum();
            let lost: f64 = levels().enumerate().map(|(j, l)| self.delta(j) * l.arrival_rate.value()).sum();
            let wait = if rates > 0.0 { waits / rates } else { 0.0 };
            *burden = wait / (1.0 - (above.value() / share).min(MAX_SLOPE_UTILISATION)) / share * lost;
        }
        for class in &mut self.classes {
            let mut sum = 0.0;
            for (level, burden) in class.levels.iter_mut().zip(burden) {
                sum += burden;
                level.price += ALPHA * (class.mean_cost * class.work_ratio.value() * sum - level.price);
            }
        }
    }

    pub(crate) fn cheapest_level(&self, class: usize, cost: f64) -> LevelQuote {
        let state = &self.classes[class];
        let mut best = LevelQuote { total: f64::MAX, toll: f64::MAX, ..LevelQuote::default() };
        let mut ahead: f64 = self.queued_work.iter().sum();
        for (level, queued) in self.queued_work.iter().enumerate() {
            // Departure from the paper: work queued at this level and above tells of a jam before outcomes.
            let queue_delay = ahead / (self.core_share() + VISIBLE_CORES);
            ahead -= queued;
            let tau = state.levels[level].wait.max(queue_delay) + self.unloaded_latency(class, cost);
            let toll = state.levels[level].price * cost / state.mean_cost;
            let total = self.delta(class) * tau + toll;
            if total < best.total {
                best = LevelQuote { level, tau, toll, total };
            }
        }
        best
    }

    /// A level is served no later than those below (a departure): old waits would keep light work low.
    pub(crate) fn record_wait(&mut self, class: usize, level: usize, wait: f64) {
        self.recent_outcomes += 1;
        let levels = &mut self.classes[class].levels;
        levels[level].wait += OUTCOME_WEIGHT * (wait - levels[level].wait);
        levels[level].observed = true;
        let observed = levels[level].wait;
        levels[level..].iter_mut().for_each(|l| l.wait = l.wait.min(observed));
    }

    /// Seconds that the queued work takes this gateway's share of the cores.
    pub(crate) fn queue_delay(&self) -> f64 {
        self.queued_work.iter().sum::<f64>() / (self.core_share() + VISIBLE_CORES)
    }

    pub(crate) fn on_arrival(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let (id, class, tenant) = (arrival.id, arrival.class.0, arrival.tenant);
        self.recent_requests.record(self.now, self.budget_span(TimeDelta::ZERO));
        if class >= self.classes.len() {
            return out.push(Action::Fail { id, retry_after: None });
        }
        let quota = self.settings.tenants.get(tenant).map(|t| t.quota_per_s / self.gateways());
        let is_within = quota.is_none_or(|q| self.tenants[tenant].try_take(self.now, q, q.max(TENANT_BURST)));
        let state = &mut self.classes[class];
        let cost = arrival.cost.unwrap_or(state.mean_cost);
        if arrival.cost.is_some() {
            state.cost_samples = (state.cost_samples + 1).min(MAX_COST_SAMPLES);
            state.mean_cost += (cost - state.mean_cost) / f64::from(state.cost_samples);
        }
        let rate = PROBE_BUDGET / self.settings.probe_price.max(PROBE_BUDGET / MIN_CANDIDATES as f64);
        self.probe_credit = (self.probe_credit + rate).min(4.0 * MIN_CANDIDATES as f64);
        self.last_sequence += 1;
        let mut request = Request::new(&arrival, self.last_sequence, self.now, cost);
        let factor = if is_within { 1.0 } else { self.settings.over_quota_value_factor };
        request.value = self.class(class).value * factor;
        request.key = arrival.key.filter(|_| self.class(class).ordered_by_key);
        if let Some(key) = &request.key {
            self.keys.entry(key.clone()).or_default().waiting.push_back(id);
        }
        self.requests.insert(id, request);
        self.admit(id, class, cost, out);
    }

    fn admit(&mut self, id: RequestId, class: usize, cost: f64, out: &mut Vec<Action>) {
        let quote = self.cheapest_level(class, cost);
        let dice = self.random.next_unit();
        self.requests.entry(id).and_modify(|r| r.level = quote.level);
        self.sample_candidates(id, out);
        let Some(request) = self.requests.get(&id) else { return };
        let is_low = |engine: EngineId| self.utilisation(engine.0 as usize) < LOW_UTILISATION;
        let is_idle = self.pick_engine(request, false, dice).is_some_and(is_low);
        let is_in_time = quote.tau <= (request.deadline - self.now).as_secs_f64();
        let is_free = (self.own_threads < self.core_share() || is_idle) && is_in_time;
        let is_admitted = is_free || self.net_value(request, quote.tau) - quote.toll >= 0.0;
        let position = queue_position(request);
        self.why_priced(id, &quote, is_free, is_admitted, out);
        if !is_admitted {
            return self.respond(id, out);
        }
        self.classes[class].levels[quote.level].admitted += 1;
        self.queue.insert(position, id);
        self.dispatch(Some(id), out);
        if self.queue.contains_key(&position) {
            self.queued_work[quote.level] += cost * self.classes[class].work_ratio.value();
        }
    }

    /// Expected latency without other load, seconds: the estimate times the learned ratio, over the threads.
    pub(crate) fn unloaded_latency(&self, class: usize, cost: f64) -> f64 {
        cost * self.classes[class].unloaded_ratio / self.class(class).threads
    }

    pub(crate) fn expected_latency(&self, class: usize, cost: f64) -> f64 {
        let state = &self.classes[class];
        cost * state.latency_ratio.value().max(state.unloaded_ratio) / self.class(class).threads
    }

    /// The time within which an answer earns its full value and its client still waits, seconds.
    pub(crate) fn latency_objective(&self, request: &Request) -> f64 {
        let (class, state) = (self.class(request.class), &self.classes[request.class]);
        let stretch = class.objective_per_work * request.cost * state.work_ratio.value() / class.threads;
        let wanted = class.latency_objective.as_secs_f64() + stretch;
        wanted.min((request.deadline - request.arrived - ANSWER_MARGIN).as_secs_f64())
    }

    /// What an answer earns that comes `latency` seconds after the arrival.
    pub(crate) fn value_of_answer(&self, request: &Request, latency: f64) -> f64 {
        let is_gone = latency > (request.deadline - request.arrived).as_secs_f64();
        let late_value = if is_gone { 0.0 } else { self.class(request.class).late_value_fraction };
        let is_late = latency * LATENESS_MARGIN > self.latency_objective(request);
        request.value * if is_late { late_value } else { 1.0 }
    }

    /// The same less the delay cost; the paper's footnote 8 allows for the step at the objective.
    pub(crate) fn net_value(&self, request: &Request, latency: f64) -> f64 {
        let deadline = self.class(request.class).deadline.as_secs_f64().max(1e-3);
        self.value_of_answer(request, latency) - request.value / deadline * latency
    }
}

/// A class's mean cost before estimates come, thread-seconds.
pub(crate) fn initial_mean_cost(class: &ClassSettings) -> f64 {
    (class.latency_objective.as_secs_f64() * class.threads * INITIAL_COST).max(1e-3)
}
