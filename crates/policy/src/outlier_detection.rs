//! Outlier detection: engines and zones that are down, unresponsive, slow or failing are ejected.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Progress notes missed from which an engine is silent; silent engines from which their zone is unreachable.
const MAX_MISSED_NOTES: f64 = 1.5;
pub(crate) const MIN_SILENT_ENGINES: usize = 2;
/// An engine this many times slower than the median is ejected, after so many outcomes (ours).
const MAX_SLOWNESS: f64 = 3.5;
const MIN_SLOWNESS_SAMPLES: u32 = 6;
/// Fraction of failed attempts from which an engine is ejected; it is readmitted below this part of a bound.
const MAX_FAILURE_RATE: f64 = 0.4;
const READMISSION_FACTOR: f64 = 0.5;
/// An attempt in flight for this many times its expected latency is overdue (ours).
pub(crate) const OVERDUE_FACTOR: f64 = 3.0;
/// Age of a report that an overdue attempt outweighs; silence that most attempts overdue make a fault.
const MAX_REPORT_AGE: TimeDelta = TimeDelta::from_micros(1_000_000);
const MAX_SILENCE: TimeDelta = TimeDelta::from_micros(700_000);
/// Time between trials of an ejected engine; first backoff of failed connections, up to 8 times; of sheds.
pub(crate) const TRIAL_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);
const CONNECT_BACKOFF: TimeDelta = TimeDelta::from_micros(500_000);
pub(crate) const FULL_BACKOFF: TimeDelta = TimeDelta::from_micros(100_000);
/// Weights of a failure and of a success in an engine's failure rate: it recovers sooner (ours).
pub(crate) const FAILURE_WEIGHT: f64 = 0.15;
pub(crate) const SUCCESS_WEIGHT: f64 = 0.3;
/// Bounds of one outcome's latency over the expected one, as it counts in the slowness.
const SLOWNESS_BOUNDS: [f64; 2] = [0.05, 50.0];

impl Policy {
    /// Backs off from an engine, longer each time; after two failures in a row it comes back in slow start.
    pub(crate) fn record_connect_failure(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        if self.now >= engine.backoff_until {
            let backoff = CONNECT_BACKOFF.as_micros() << engine.connect_failures.min(3);
            engine.backoff_until = self.now + TimeDelta::from_micros(backoff);
            engine.connect_failures += 1;
        }
        if engine.connect_failures >= 2 && self.settings.slow_start_duration > TimeDelta::ZERO {
            engine.started_at = Some(self.now);
        }
    }

    pub(crate) fn back_off_full(&mut self, i: usize) {
        self.mark_full(i);
        self.engines[i].backoff_until = self.now + FULL_BACKOFF;
    }

    /// Ejects engines that are down, unresponsive, failing or far slower than the rest, and readmits them.
    pub(crate) fn update_ejections(&mut self, out: &mut Vec<Action>) {
        self.record_overdue_attempts();
        let is_known = |e: &&Engine| e.listed && e.slowness_samples >= MIN_SLOWNESS_SAMPLES;
        let mut all: Vec<f64> = self.engines.iter().filter(is_known).map(|e| e.log_slowness).collect();
        all.sort_by(f64::total_cmp);
        self.median_slowness = if all.len() < 3 { f64::MAX } else { all[all.len() / 2] };
        for (i, engine) in self.engines.iter_mut().enumerate() {
            let slowness = relative_slowness(engine, self.median_slowness);
            let is_silent = self.now - engine.last_response > MAX_SILENCE;
            engine.unresponsive |= engine.overdue >= 2 && engine.overdue * 2 >= engine.in_flight && is_silent;
            let margin = if engine.ejected { READMISSION_FACTOR } else { 1.0 };
            let is_failing = engine.failure_rate.value() > MAX_FAILURE_RATE * margin;
            let is_cut_off = self.zones.get(&engine.zone).is_some_and(|zone| zone.unreachable);
            let is_down = self.now < engine.backoff_until || engine.unresponsive || is_cut_off;
            let is_outlier = is_down || is_failing || slowness > MAX_SLOWNESS * margin;
            if is_outlier != engine.ejected {
                engine.ejected = is_outlier;
                engine.log_health(i, slowness, out);
            }
        }
    }

    fn record_overdue_attempts(&mut self) {
        let max_quiet = MAX_MISSED_NOTES * self.settings.progress_interval.as_secs_f64();
        self.engines.iter_mut().for_each(|engine| engine.overdue = 0);
        for attempt in self.requests.values_mut().filter_map(|r| r.in_flight.as_mut()) {
            let engine = &mut self.engines[attempt.engine.0 as usize];
            if max_quiet > 0.0 && (self.now - attempt.last_progress).as_secs_f64() > max_quiet {
                self.zones.entry(engine.zone).or_default().record_silence(attempt, MIN_SILENT_ENGINES);
            }
            let ratio = (self.now - attempt.sent_at).as_secs_f64() / attempt.expected;
            engine.overdue += u32::from(ratio > OVERDUE_FACTOR);
            if ratio > attempt.next_overdue {
                attempt.next_overdue *= 2.0;
                record_slowness(engine, ratio);
                // An engine that answers nothing reports nothing either, and would count as an average one.
                if engine.reported_at.is_none_or(|time| self.now - time > MAX_REPORT_AGE) {
                    engine.others_threads = engine.others_threads.max(FULL_ENGINE_LOAD * engine.cores);
                    engine.reported_at = Some(self.now);
                }
            }
        }
    }
}

impl ZoneState {
    pub(crate) fn record_response(&mut self, now: Timestamp) {
        self.last_response = now;
        self.unreachable = false;
        self.silent_engines.clear();
    }

    /// An attempt there met silence; it counts where no engine there has responded since it was sent.
    pub(crate) fn record_silence(&mut self, attempt: &Attempt, min_engines: usize) {
        if attempt.sent_at > self.last_response {
            self.silent_engines.insert(attempt.engine.0);
            self.unreachable |= self.silent_engines.len() >= min_engines;
        }
    }
}

/// How many times slower an engine is than the median, so that what slows all ejects none; 1 if not known.
pub(crate) fn relative_slowness(engine: &Engine, median: f64) -> f64 {
    let is_known = engine.slowness_samples >= MIN_SLOWNESS_SAMPLES && median < f64::MAX;
    let log_ratio = if is_known { engine.log_slowness - median } else { 0.0 };
    log_ratio.exp()
}

pub(crate) fn record_slowness(engine: &mut Engine, ratio: f64) {
    let sample = ratio.clamp(SLOWNESS_BOUNDS[0], SLOWNESS_BOUNDS[1]).ln();
    update_mean(&mut engine.log_slowness, &mut engine.slowness_samples, sample, AVERAGE_WEIGHT);
}
