//! Slow start: how much work an engine that started lately may be sent.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Fraction of the listed cores that counts as capacity: machines may be slow, cores are never all busy.
const USABLE_CORES: f64 = 0.56;
/// Estimates that the first guess of a class's charge weighs as much as (ours).
const PRIOR_CHARGES: f64 = 1.0;
/// Fractions of the budget: for a lottery alone; for light queries, and then the lottery for heavy ones.
const LOTTERY_FRACTION: f64 = 0.7;
const LIGHT_FRACTION: f64 = 0.75;
const HEAVY_FRACTION: f64 = 0.35;
/// A query may be drawn for if it takes at most one in so many of all gateways' budget (ours).
const MIN_LOTTERY_PARTS: f64 = 4.0;

impl Policy {
    /// Fraction of its capacity that an engine has: linear over `slow_start_duration`.
    pub(crate) fn capacity_fraction(&self, engine: &Engine) -> f64 {
        let Some(started) = engine.started_at else { return 1.0 };
        let age = self.secs_since(started) / self.settings.slow_start_duration.as_secs_f64().max(1e-3);
        1.0 - (1.0 - self.settings.initial_capacity_fraction) * (1.0 - age.clamp(0.0, 1.0))
    }

    /// Work charged to the budget: the class's mean, lest each of many gateways send a small query.
    pub(crate) fn charge(&self, class: usize) -> f64 {
        let (state, class) = (&self.classes[class], self.class(class));
        // Few estimates most often tell too little: a gateway that just started counts a full one in.
        let prior =
            if self.now - self.started_at < self.settings.slow_start_duration { PRIOR_CHARGES } else { 0.0 };
        let samples = f64::from(state.cost_samples.max(1));
        let total = state.mean_cost * samples + class.latency_objective.as_secs_f64() * class.threads * prior;
        total / (samples + prior) * state.work_ratio.value().max(1.0)
    }

    /// This gateway's even part of what an engine in slow start may be sent in one `slow_start_window`.
    pub(crate) fn slow_start_budget(&self, engine: &Engine) -> f64 {
        let span = self.settings.slow_start_window;
        let multiple =
            self.settings.slow_start_multiple * self.capacity_fraction(engine) * span.as_secs_f64();
        // A gateway that just started does not know its earlier sends: half counts as spent, or by the ramp.
        let age = self.now - self.started_at;
        let step = if age < span { 0.5 } else { 1.0 };
        let ramp = |(from, secs): (f64, f64)| (from + age.as_secs_f64() / secs).min(1.0);
        let unspent = self.settings.restart_ramp.map_or(step, ramp);
        multiple * engine.cores * USABLE_CORES * unspent / self.gateways()
    }

    fn least_charge(&self) -> f64 {
        (0..self.classes.len()).map(|class| self.charge(class)).fold(f64::MAX, f64::min)
    }

    /// Parts of the budget: for queries that fit it, and for one a span by lottery, lest the engine be idle.
    fn budget_parts(&self, engine: &Engine) -> (f64, f64) {
        let budget = self.slow_start_budget(engine);
        let greatest = (0..self.classes.len()).map(|class| self.charge(class)).fold(0.0, f64::max);
        let light = LIGHT_FRACTION * budget;
        match budget {
            _ if greatest <= budget => (budget, 0.0),
            _ if self.least_charge() <= light => (light, HEAVY_FRACTION * budget),
            _ => (0.0, LOTTERY_FRACTION * budget),
        }
    }

    /// Fraction of the gateways that the lottery lets send to an engine: those are to find it free.
    pub(crate) fn lottery_odds(&self, engine: &Engine) -> f64 {
        let is_starting = self.capacity_fraction(engine) < 1.0;
        match self.budget_parts(engine) {
            (fits, drawn) if is_starting && fits <= 0.0 => (drawn / self.least_charge()).min(1.0),
            _ => 1.0,
        }
    }

    pub(crate) fn has_slow_start_budget(&self, class: usize, engine: &Engine) -> bool {
        let charge = self.charge(class);
        let spent = engine.recent_charges.sum(self.now, self.settings.slow_start_window);
        let (fits, drawn) = self.budget_parts(engine);
        let is_light = charge * MIN_LOTTERY_PARTS <= self.slow_start_budget(engine) * self.gateways();
        spent + charge <= fits || is_light && spent <= 0.0 && engine.lottery * charge < drawn
    }
}
