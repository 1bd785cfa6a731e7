//! Engine selection: draws the engine that a request is sent to, at random by weight, among the engines that
//! are eligible, healthy and have capacity. [`EngineWeight`] has the factors of the weight.

use crate::engine::Engine;
use crate::engine_eligibility::{is_eligible, is_healthy_for};
use crate::engine_weight::EngineWeight;
use crate::fleet_view::FleetView;
use crate::ids::EngineId;
use crate::pricing::LEVELS;
use crate::reasons::IneligibleReason;
use crate::request::Request;
use sprucelink_stable_hash::weighted_index;

/// Threads per core up to which each level may fill an engine: more than one, because queries also wait for
/// disks.
pub(crate) const MAX_UTILISATION: [f64; LEVELS] = [1.5, 1.7, 1.9, 2.1];
/// Allowance for own threads beyond [`MAX_UTILISATION`] of this manager's share of the cores, in multiples of
/// the square root of the share: requests arrive unevenly at the managers.
const SHARE_SLACK: f64 = 1.0;
/// Minimum weight of a load report that is trusted to show an engine's capacity when this manager exceeds its
/// share.
const MIN_TRUSTED_REPORT_WEIGHT: f64 = 0.8;
/// Weight that a load report must exceed for an engine's load to count as known, where it can be probed.
const MIN_KNOWN_REPORT_WEIGHT: f64 = 0.35;

/// Whether an engine must have capacity to be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacityCheck {
    /// The request is to be sent now.
    Required,
    /// Admission only asks whether there is an engine for the request.
    Ignored,
}

/// Draws the engine for a request; `None` if no engine qualifies. `random_unit`: a random number from 0 to 1.
pub(crate) fn select_engine(
    fleet: &FleetView,
    request: &Request,
    capacity: CapacityCheck,
    random_unit: f64,
) -> Option<EngineId> {
    let mut engines = preferred_engines(fleet, request);
    let is_capacity_required = capacity == CapacityCheck::Required;
    let is_overcommitted = is_capacity_required && is_overcommitted(fleet, request);
    engines.retain(|id| is_sampled(request, *id));
    if is_capacity_required {
        engines.retain(|id| has_capacity(fleet, request, &fleet.engines[*id]));
    }
    if is_overcommitted {
        engines.retain(|id| !is_filled_by_own_load(fleet, &fleet.engines[*id]));
    }
    let weights: Vec<f64> = engines.iter().map(|id| EngineWeight::new(fleet, request, *id).value()).collect();
    weighted_index(&weights, random_unit).map(|index| engines[index])
}

/// The eligible engines, reduced to the healthy ones if any is healthy, and without the engine of the last
/// attempt if an attempt ended with an engine error and another engine is left. An engine that fails requests
/// at once looks idle, and would otherwise be drawn again for the request that it failed.
fn preferred_engines(fleet: &FleetView, request: &Request) -> Vec<EngineId> {
    let eligible = fleet.engines.iter().filter(|(_, engine)| is_eligible(fleet, request, engine));
    let mut engines: Vec<EngineId> = eligible.map(|(id, _)| id).collect();
    let is_healthy = |id: &EngineId| is_healthy_for(fleet, request, &fleet.engines[*id]);
    if engines.iter().any(is_healthy) {
        engines.retain(is_healthy);
    }
    let is_other = |id: &EngineId| request.last_engine != Some(*id);
    if request.errors > 0 && engines.iter().any(is_other) {
        engines.retain(is_other);
    }
    engines
}

/// The reason why a draw with [`CapacityCheck::Required`] leaves out an eligible and healthy engine; the
/// limit on this manager's own load is not considered.
pub(crate) fn draw_exclusion(
    fleet: &FleetView,
    request: &Request,
    id: EngineId,
    engine: &Engine,
) -> Option<IneligibleReason> {
    if !is_sampled(request, id) {
        return Some(IneligibleReason::NotSampled);
    }
    if !has_capacity(fleet, request, engine) {
        return Some(IneligibleReason::NoCapacity);
    }
    None
}

/// Whether the engine is among the request's sampled candidates; a request without a sample chooses among all
/// engines.
fn is_sampled(request: &Request, id: EngineId) -> bool {
    request.candidates.is_empty() || request.candidates.contains(&id)
}

/// Whether an engine has capacity for a request by its estimated load. Where an engine can be probed, the
/// load must be known from a recent report instead of being guessed. While this manager has nothing in
/// flight, every engine has capacity for a query of one thread.
fn has_capacity(fleet: &FleetView, request: &Request, engine: &Engine) -> bool {
    let class = fleet.class_of(request);
    if fleet.own_threads <= 0.0 && class.threads <= 1.0 {
        return true;
    }
    let can_probe = fleet.probe_credit.can_probe(fleet.settings, class);
    let is_load_known = !can_probe || fleet.report_weight(engine) > MIN_KNOWN_REPORT_WEIGHT;
    is_load_known && fleet.utilisation(engine) < MAX_UTILISATION[request.level]
}

/// Whether the request would take this manager's own threads beyond its share of the available engines. Each
/// of many managers sees too little of an engine's load to rely on the estimated load alone.
fn is_overcommitted(fleet: &FleetView, request: &Request) -> bool {
    let is_available =
        |engine: &Engine| engine.is_listed() && !engine.health.is_ejected() && fleet.is_warm(engine);
    let available = || fleet.engines.iter().map(|(_, engine)| engine).filter(|engine| is_available(engine));
    let share_cores = available().map(Engine::cores).sum::<f64>() / fleet.share.managers;
    let own_threads = available().map(Engine::own_threads).sum::<f64>();
    let max_threads = MAX_UTILISATION[request.level] * share_cores + SHARE_SLACK * share_cores.sqrt();
    own_threads > 0.0 && own_threads + fleet.class_of(request).threads > max_threads
}

/// Whether an engine counts as full while this manager is overcommitted: the engine is past its slow start,
/// and no fresh load report shows its capacity.
fn is_filled_by_own_load(fleet: &FleetView, engine: &Engine) -> bool {
    fleet.is_warm(engine) && fleet.report_weight(engine) < MIN_TRUSTED_REPORT_WEIGHT
}
