//! Candidate sampling: the few engines that a query of several threads chooses among, so that many managers
//! do not all fill the same engine that looks idle; and which of them are probed first.

use crate::engine_eligibility::{is_eligible, is_healthy_for};
use crate::fleet_view::FleetView;
use crate::ids::EngineId;
use crate::probe_credit::{needs_load_reports, MIN_CANDIDATES};
use crate::request::Request;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

/// Minimum weight of an engine's load report for which the engine is not probed.
const FRESH_REPORT_WEIGHT: f64 = 0.7;
/// Time after which a query that is still queued gets a new sample of engines.
const SAMPLE_INTERVAL: TimeDelta = TimeDelta::from_millis(500);
/// Time that a query waits for the results of the probes sent for it.
pub(crate) const PROBE_WAIT: TimeDelta = TimeDelta::from_millis(15);

/// The engines from which the candidates for a request are drawn.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CandidatePool {
    /// Engines in slow start: all of them are candidates.
    starting: Vec<EngineId>,
    /// Engines past their slow start: `count` of them become candidates.
    warm: Vec<EngineId>,
    count: usize,
}

impl CandidatePool {
    pub(crate) fn draw(mut self, random: &mut SplitMix64) -> Vec<EngineId> {
        let warm = random.draw(&mut self.warm, self.count);
        self.starting.extend(warm);
        self.starting
    }
}

/// The pool for a request; `None` if the request chooses among all engines, or keeps its sample for now.
pub(crate) fn candidate_pool(fleet: &FleetView, request: &Request) -> Option<CandidatePool> {
    let needs_sample = needs_load_reports(fleet.settings, fleet.class_of(request));
    if !needs_sample || !is_sample_due(fleet.now, request.sampled_at) {
        return None;
    }
    let healthy = fleet
        .engines
        .iter()
        .filter(|(_, engine)| is_eligible(fleet, request, engine) && is_healthy_for(fleet, request, engine));
    let (warm, starting): (Vec<_>, Vec<_>) = healthy.partition(|(_, engine)| fleet.is_warm(engine));
    let ids = |engines: Vec<(EngineId, _)>| engines.into_iter().map(|(id, _)| id).collect::<Vec<_>>();
    let count = sample_size(warm.len(), fleet.share.managers);
    Some(CandidatePool { starting: ids(starting), warm: ids(warm), count })
}

fn is_sample_due(now: Timestamp, sampled_at: Timestamp) -> bool {
    now > sampled_at + SAMPLE_INTERVAL
}

/// Number of candidates: the more managers choose at the same time, the fewer candidates each manager gets.
fn sample_size(engines: usize, managers: f64) -> usize {
    MIN_CANDIDATES.max((engines as f64 / managers.sqrt()) as usize)
}

/// The candidates to probe: those without a fresh load report, if there is credit for probes.
pub(crate) fn candidates_to_probe(
    fleet: &FleetView,
    request: &Request,
    candidates: &[EngineId],
) -> Vec<EngineId> {
    if !fleet.probe_credit.can_probe(fleet.settings, fleet.class_of(request)) {
        return Vec::new();
    }
    let is_unknown = |id: &EngineId| fleet.report_weight(&fleet.engines[*id]) < FRESH_REPORT_WEIGHT;
    candidates.iter().copied().filter(is_unknown).collect()
}
