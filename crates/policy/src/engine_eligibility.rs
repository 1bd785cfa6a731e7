//! Eligibility: whether an engine may be sent a request, by the endpoint list, the class's placement, the
//! deduplication of keyed retries and the slow-start budget; and whether the engine is healthy enough.

use crate::engine::Engine;
use crate::fleet_view::FleetView;
use crate::reasons::IneligibleReason;
use crate::request::Request;
use crate::settings::{ClassSettings, DedupGroup, Effect};
use sprucelink_time::Timestamp;

/// The first rule that excludes an engine for a request; `None` if the engine is eligible.
pub(crate) fn ineligible_reason(
    fleet: &FleetView,
    request: &Request,
    engine: &Engine,
) -> Option<IneligibleReason> {
    let class = fleet.class_of(request);
    if !engine.is_listed() {
        return Some(IneligibleReason::NotListed);
    }
    if !is_placement_allowed(class, engine.kind(), engine.zone()) {
        return Some(IneligibleReason::WrongPlacement);
    }
    let first = request.first_may_have_run.map(|(_, engine)| &fleet.engines[engine]);
    if !is_retry_deduplicated(class, first, engine) {
        return Some(IneligibleReason::OutsideDedupGroup);
    }
    if !has_slow_start_capacity(fleet, request, engine) {
        return Some(IneligibleReason::SlowStartBudgetSpent);
    }
    None
}

pub(crate) fn is_eligible(fleet: &FleetView, request: &Request, engine: &Engine) -> bool {
    ineligible_reason(fleet, request, engine).is_none()
}

/// Whether a class may run on engines of a machine kind in a zone.
pub(crate) fn is_placement_allowed(class: &ClassSettings, kind: u32, zone: u32) -> bool {
    let is_kind_allowed = class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&kind));
    let is_zone_allowed = class.zones.as_ref().is_none_or(|zones| zones.contains(&zone));
    is_kind_allowed && is_zone_allowed
}

/// Whether an engine would recognise a retry of the first attempt that may have run, on the engine `first`,
/// by its idempotency key. Retries of classes without keys need no deduplication.
fn is_retry_deduplicated(class: &ClassSettings, first: Option<&Engine>, engine: &Engine) -> bool {
    let Some(first) = first.filter(|_| class.effect == Effect::Keyed) else { return true };
    let locality = |engine: &Engine| Locality { zone: engine.zone(), cell: engine.cell() };
    is_in_dedup_group(class.group, locality(first), locality(engine))
}

/// The zone and cell of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Locality {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
}

/// Whether two engines share their records of idempotency keys.
pub(crate) fn is_in_dedup_group(group: DedupGroup, first: Locality, other: Locality) -> bool {
    match group {
        DedupGroup::All => true,
        DedupGroup::Zone => first.zone == other.zone,
        DedupGroup::Cell => first == other,
    }
}

/// Whether an engine is past its slow start, or its slow-start budget has room for the request.
fn has_slow_start_capacity(fleet: &FleetView, request: &Request, engine: &Engine) -> bool {
    if fleet.is_warm(engine) {
        return true;
    }
    let charge = fleet.slow_start.charge(fleet.class_of(request), &fleet.estimates[request.class]);
    fleet.slow_start.allows(charge, engine.cores(), engine.started_at(), &engine.slow_start)
}

/// Whether an engine is healthy enough for a request: its backoff is over, and it is not ejected unless the
/// request may be its trial.
pub(crate) fn is_healthy_for(fleet: &FleetView, request: &Request, engine: &Engine) -> bool {
    if fleet.now < engine.health.backoff_until() {
        return false;
    }
    !engine.health.is_ejected() || {
        let zone_trial = fleet.outliers.next_trial_of_unreachable(engine.zone());
        let next_trial = engine.health.next_trial().max(zone_trial.unwrap_or(Timestamp::ZERO));
        is_trial(fleet.class_of(request), engine.own_attempts(), fleet.now >= next_trial)
    }
}

/// Whether a request may be the trial of an ejected engine: the request is light and may be retried if the
/// trial fails, and this manager has no other attempt in flight on the engine.
pub(crate) fn is_trial(class: &ClassSettings, own_attempts: u32, is_trial_due: bool) -> bool {
    let is_light = class.effect == Effect::Safe && class.threads <= 1.0;
    is_light && own_attempts == 0 && is_trial_due
}

#[cfg(test)]
mod tests;
