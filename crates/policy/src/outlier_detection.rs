//! Outlier detection over the fleet: which engines are ejected or readmitted and which zones are unreachable,
//! from outcomes, latencies relative to the median engine, and silence. `engine_health` has the rule for one
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

/// Progress notes that an attempt may miss before it counts as silence of its zone. The core allows more
/// missed notes before it stops sending attempts on a connection (`src/core/engine_connection.rs`).
const MAX_MISSED_PROGRESS_NOTES: f64 = 1.5;
/// Minimum number of silent engines for their zone to count as unreachable.
const MIN_SILENT_ENGINES: usize = 2;
/// Minimum number of engines of known slowness for a median.
const MIN_ENGINES_FOR_MEDIAN: usize = 3;

/// Whether a zone answers this manager. If it does not, its engines are ejected at once. Zone failover
/// (`crates/zone-failover`) judges zones independently of this module and more slowly, and changes only
/// their weights.
#[derive(Clone, Default)]
struct ZoneReachability {
    /// Time of the last response of any engine in the zone.
    last_response: Timestamp,
    /// Engines that have not responded to attempts sent after `last_response`.
    silent_engines: BTreeSet<u32>,
    /// Whether at least [`MIN_SILENT_ENGINES`] engines have been silent since the last response.
    is_unreachable: bool,
    /// Earliest time of the next trial on any engine of the zone.
    next_trial: Timestamp,
}

impl ZoneReachability {
    fn record_response(&mut self, now: Timestamp) {
        self.last_response = now;
        self.is_unreachable = false;
        self.silent_engines.clear();
    }

    /// An attempt in the zone got no response. It counts only if no engine of the zone has responded since
    /// the attempt was sent.
    fn record_silence(&mut self, engine: EngineId, sent_at: Timestamp) {
        if sent_at > self.last_response {
            self.silent_engines.insert(engine.0);
            self.is_unreachable |= self.silent_engines.len() >= MIN_SILENT_ENGINES;
        }
    }
}

/// The reachability of zones, and the slowness of the median engine.
#[derive(Clone, Default)]
pub(crate) struct OutlierDetector {
    zones: BTreeMap<u32, ZoneReachability>,
    /// Natural logarithm of the median engine's slowness; `None` if the slowness of too few engines is known.
    median_log_slowness: Option<f64>,
}

impl OutlierDetector {
    /// Until the first tick, engines are compared with an engine whose latencies are exactly the expected
    /// ones.
    pub(crate) fn new() -> OutlierDetector {
        OutlierDetector { zones: BTreeMap::new(), median_log_slowness: Some(0.0) }
    }

    /// Natural logarithm of the median engine's slowness; `None` if the slowness of too few engines is known.
    pub(crate) fn median_log_slowness(&self) -> Option<f64> {
        self.median_log_slowness
    }

    /// Earliest time of the next trial in a zone; `None` if the zone is reachable.
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

    /// Ejects and readmits engines, at a tick. `progress_interval`: time between progress notes, zero if
    /// engines send none.
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
        let max_silence_secs = MAX_MISSED_PROGRESS_NOTES * progress_interval.as_secs_f64();
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
        let to_stored = |zone: &ZoneReachability| StoredZone {
            last_response: zone.last_response,
            silent_engines: zone.silent_engines.clone(),
            unreachable: zone.is_unreachable,
            next_trial: zone.next_trial,
        };
        stored.zones = self.zones.iter().map(|(number, zone)| (*number, to_stored(zone))).collect();
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> OutlierDetector {
        let from_stored = |zone: StoredZone| ZoneReachability {
            last_response: zone.last_response,
            silent_engines: zone.silent_engines,
            is_unreachable: zone.unreachable,
            next_trial: zone.next_trial,
        };
        let zones = std::mem::take(&mut stored.zones).into_iter();
        OutlierDetector {
            zones: zones.map(|(number, zone)| (number, from_stored(zone))).collect(),
            median_log_slowness: Some(stored.median_slowness).filter(|median| *median < f64::MAX),
        }
    }
}

/// The median over the listed engines whose slowness is known.
fn median_log_slowness(engines: &EngineTable) -> Option<f64> {
    let listed = engines.iter().filter(|(_, engine)| engine.is_listed());
    let mut known: Vec<f64> =
        listed.filter_map(|(_, engine)| engine.health.slowness().known_log_ratio()).collect();
    known.sort_by(f64::total_cmp);
    (known.len() >= MIN_ENGINES_FOR_MEDIAN).then(|| known[known.len() / 2])
}

#[cfg(test)]
mod tests;
