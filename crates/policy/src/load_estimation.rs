//! Load estimation: threads on an engine, from load reports, own attempts and the mean of the fleet.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Seconds in which a report fades into the mean, and half of those in which the mean fades (ours).
const REPORT_DECAY_SECS: f64 = 4.0;
/// Fraction of busy cores from which a report tells no more; threads a core on an engine that shed a request.
const SATURATED: f64 = 0.85;
pub(crate) const FULL_ENGINE_LOAD: f64 = 4.0;
/// Weight of a report in the mean load, of a tick in own threads, least one of an outcome in the slowness.
pub(crate) const AVERAGE_WEIGHT: f64 = 0.1;
/// Seconds that each class counts as run in the mean threads of a query before outcomes tell.
pub(crate) const PRIOR_RUN_SECS: f64 = 2.0;

impl Policy {
    /// Threads a core of other gateways, if each has as many in flight as this one.
    fn even_load(&self) -> f64 {
        f64::from(self.settings.gateways - 1) * self.threads_above[0].value() / self.cores.max(1.0)
    }

    /// Threads a core of other gateways in the mean, by the last reports, else as far as own load tells.
    pub(crate) fn mean_load(&self) -> f64 {
        let weight = (-self.secs_since(self.last_report) / (2.0 * REPORT_DECAY_SECS)).exp();
        self.others_load.value() * weight + self.even_load() * self.load_visibility() * (1.0 - weight)
    }

    /// How much an engine's last report still counts, 0 to 1.
    pub(crate) fn report_weight(&self, engine: &Engine) -> f64 {
        engine.reported_at.map_or(0.0, |time| (-self.secs_since(time) / REPORT_DECAY_SECS).exp())
    }

    /// Threads on an engine: own ones, and others' by its report, which fades into the mean (a departure).
    pub(crate) fn estimated_threads(&self, engine: &Engine) -> f64 {
        let fraction = self.capacity_fraction(engine);
        let mean = self.mean_load() * engine.cores * fraction * self.lottery_odds(engine);
        let weight = self.report_weight(engine);
        let even = || self.even_load() * engine.cores;
        let others = engine.others_threads;
        let reported = if engine.saturated { others.max(even()) } else { others };
        engine.threads + mean + (reported - mean) * weight + engine.waiting * weight
    }

    pub(crate) fn utilisation(&self, i: usize) -> f64 {
        let engine = &self.engines[i];
        self.estimated_threads(engine) / (engine.cores * self.capacity_fraction(engine)).max(1e-3)
    }

    pub(crate) fn on_report(&mut self, i: usize, report: LoadReport) {
        if report.queries_in_flight.is_none()
            && report.busy_core_fraction.is_none()
            && report.queries_waiting_for_memory.is_none()
        {
            return;
        }
        let mean_threads = self.thread_time / self.query_time.max(1e-6);
        let mean = self.mean_load() * self.engines[i].cores;
        let engine = &mut self.engines[i];
        let total = report
            .queries_in_flight
            .map(|n| n * mean_threads)
            .or(report.busy_core_fraction.map(|b| b * engine.cores));
        (engine.reported_at, engine.waiting) =
            (Some(self.now), report.queries_waiting_for_memory.unwrap_or(0.0));
        engine.saturated =
            report.queries_in_flight.is_none() && total.is_some_and(|t| t > SATURATED * engine.cores);
        engine.others_threads = total.map_or(mean, |t| (t - engine.average_threads.value()).max(0.0));
        if total.is_some() {
            self.others_load.update(engine.others_threads / engine.cores, AVERAGE_WEIGHT);
            self.last_report = self.now;
        }
    }

    pub(crate) fn on_probed(&mut self, i: usize, outcome: Outcome, report: LoadReport) {
        if outcome == Outcome::TimedOut {
            self.mark_full(i);
        }
        self.on_report(i, report);
    }

    pub(crate) fn mark_full(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        (engine.others_threads, engine.reported_at) = (FULL_ENGINE_LOAD * engine.cores, Some(self.now));
    }
}
