//! Outlier detection over the fleet: which engines are ejected or readmitted and which zones are unreachable,
//! from outcomes, latencies against the median engine, and silence. `engine_health` has the rule for one
//! engine.

use crate::actions::Action;
use crate::diagnostics::log_ejection_change;
use crate::engine_health::TRIAL_INTERVAL;
use crate::engine_table::EngineTable;
use crate::events::Outcome;
use crate::ids::EngineId;
use crate::request::{Attempt, OpenRequests};
use crate::snapshot::{StoredPolicy, StoredZone};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Progress notes that an attempt misses before it counts as silence of its zone. The core stops using a
/// connection after more of them (`src/core/engine_connection.rs`).
const MAX_MISSED_NOTES: f64 = 1.5;
/// Silent engines from which their zone counts as unreachable.
const MIN_SILENT_ENGINES: usize = 2;
/// Engines of known slowness that a median needs.
const MIN_ENGINES_FOR_MEDIAN: usize = 3;

/// Whether a zone answers this manager. Its engines are ejected at once when it does not; zone failover
/// (`crates/zone-failover`) judges zones apart from this, more slowly, and changes their weights only.
#[derive(Clone, Default)]
struct ZoneReachability {
    /// When an engine there last responded.
    last_response: Timestamp,
    /// Engines that have been silent on what was sent to them since.
    silent_engines: BTreeSet<u32>,
    /// No engine there can be reached.
    is_unreachable: bool,
    /// When one of its engines may get a trial.
    next_trial: Timestamp,
}

impl ZoneReachability {
    fn record_response(&mut self, now: Timestamp) {
        self.last_response = now;
        self.is_unreachable = false;
        self.silent_engines.clear();
    }

    /// An attempt there met silence; that counts where no engine there has responded since it was sent.
    fn record_silence(&mut self, engine: EngineId, sent_at: Timestamp) {
        if sent_at > self.last_response {
            self.silent_engines.insert(engine.0);
            self.is_unreachable |= self.silent_engines.len() >= MIN_SILENT_ENGINES;
        }
    }
}

/// The health of zones, and the slowness of the median engine.
#[derive(Clone, Default)]
pub(crate) struct OutlierDetector {
    zones: BTreeMap<u32, ZoneReachability>,
    /// Logarithm of the median engine's slowness; `None` if too few engines are known.
    median_log_slowness: Option<f64>,
}

impl OutlierDetector {
    /// Before the first tick engines are compared with an engine of exactly the expected latencies.
    pub(crate) fn new() -> OutlierDetector {
        OutlierDetector { zones: BTreeMap::new(), median_log_slowness: Some(0.0) }
    }

    /// Logarithm of the median engine's slowness; `None` if too few engines are known.
    pub(crate) fn median_log_slowness(&self) -> Option<f64> {
        self.median_log_slowness
    }

    /// When a zone may get a trial, if it is unreachable.
    pub(crate) fn next_trial_of_unreachable(&self, zone: u32) -> Option<Timestamp> {
        self.zones.get(&zone).filter(|zone| zone.is_unreachable).map(|zone| zone.next_trial)
    }

    /// An engine of the zone has responded.
    pub(crate) fn record_response(&mut self, now: Timestamp, zone: u32) {
        self.zones.entry(zone).or_default().record_response(now);
    }

    /// An attempt is sent to an engine of the zone.
    pub(crate) fn record_send(&mut self, now: Timestamp, zone: u32) {
        self.zones.entry(zone).or_default().next_trial = now + TRIAL_INTERVAL;
    }

    /// An attempt on an engine of the zone has ended.
    pub(crate) fn record_outcome(&mut self, now: Timestamp, zone: u32, attempt: &Attempt, outcome: Outcome) {
        let zone = self.zones.entry(zone).or_default();
        match outcome {
            Outcome::Succeeded | Outcome::EngineError | Outcome::RejectedByEngine => {
                zone.record_response(now)
            }
            Outcome::ConnectFailed => zone.record_silence(attempt.engine, attempt.sent_at),
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Ejects and readmits engines, at a tick. `progress_interval`: zero where engines send no progress
    /// notes.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        engines: &mut EngineTable,
        requests: &mut OpenRequests,
        progress_interval: TimeDelta,
        out: &mut Vec<Action>,
    ) {
        self.record_overdue_attempts(now, engines, requests, progress_interval);
        self.median_log_slowness = median_log_slowness(engines);
        for (id, engine) in engines.iter_mut() {
            let slowness = engine.health.slowness().relative_to(self.median_log_slowness);
            let is_zone_unreachable = self.next_trial_of_unreachable(engine.zone()).is_some();
            let in_flight = engine.own_attempts();
            if engine.health.update_ejection(now, in_flight, slowness, is_zone_unreachable) {
                log_ejection_change(id, &engine.health, slowness, out);
            }
        }
    }

    fn record_overdue_attempts(
        &mut self,
        now: Timestamp,
        engines: &mut EngineTable,
        requests: &mut OpenRequests,
        progress_interval: TimeDelta,
    ) {
        let max_silence_secs = MAX_MISSED_NOTES * progress_interval.as_secs_f64();
        engines.iter_mut().for_each(|(_, engine)| engine.health.clear_overdue_attempts());
        for attempt in requests.values_mut().filter_map(|request| request.in_flight.as_mut()) {
            let engine = &mut engines[attempt.engine];
            let silence_secs = (now - attempt.last_progress).as_secs_f64();
            if max_silence_secs > 0.0 && silence_secs > max_silence_secs {
                let zone = self.zones.entry(engine.zone()).or_default();
                zone.record_silence(attempt.engine, attempt.sent_at);
            }
            if engine.health.record_overdue(now, attempt) {
                let cores = engine.cores();
                engine.load.assume_full_unless_reported(now, cores);
            }
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.median_slowness = self.median_log_slowness.unwrap_or(f64::MAX);
        let one = |zone: &ZoneReachability| StoredZone {
            last_response: zone.last_response,
            silent_engines: zone.silent_engines.clone(),
            unreachable: zone.is_unreachable,
            next_trial: zone.next_trial,
        };
        stored.zones = self.zones.iter().map(|(number, zone)| (*number, one(zone))).collect();
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> OutlierDetector {
        let one = |zone: StoredZone| ZoneReachability {
            last_response: zone.last_response,
            silent_engines: zone.silent_engines,
            is_unreachable: zone.unreachable,
            next_trial: zone.next_trial,
        };
        let zones = std::mem::take(&mut stored.zones).into_iter();
        OutlierDetector {
            zones: zones.map(|(number, zone)| (number, one(zone))).collect(),
            median_log_slowness: Some(stored.median_slowness).filter(|median| *median < f64::MAX),
        }
    }
}

/// The median of what is known of the listed engines.
fn median_log_slowness(engines: &EngineTable) -> Option<f64> {
    let listed = engines.iter().filter(|(_, engine)| engine.is_listed());
    let mut known: Vec<f64> =
        listed.filter_map(|(_, engine)| engine.health.slowness().known_log_ratio()).collect();
    known.sort_by(f64::total_cmp);
    (known.len() >= MIN_ENGINES_FOR_MEDIAN).then(|| known[known.len() / 2])
}

#[cfg(test)]
mod tests;
