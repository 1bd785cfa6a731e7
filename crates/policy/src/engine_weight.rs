//! The weight of an engine in the draw of engine selection: one function for each factor.

use crate::engine::Engine;
use crate::fleet_view::FleetView;
use crate::ids::EngineId;
use crate::request::Request;
use crate::settings::Settings;
use sprucelink_float_math::exp;
use sprucelink_time::Timestamp;

/// Exponent of the load factor for one thread per core: a twelfth of a thread per core halves the weight.
const LOAD_EXPONENT: f64 = 8.0;
/// Threads per core to which a price of one query's value is equivalent if none of the fleet's load is
/// visible.
const PRICE_AS_THREADS_PER_CORE: f64 = 17.0;
/// Lower bound of an engine's success rate, so that an engine that always fails can still be drawn.
const MIN_SUCCESS_RATE: f64 = 0.01;
/// Factor for an engine that was recently sent requests that read the same tables.
const CACHED_FACTOR: f64 = 1.6;
/// Factor for the engine of the request's last attempt, and for one that already loads the tables that the
/// request loads.
const AVOIDED_FACTOR: f64 = 1e-3;

/// The factors of an engine's weight for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EngineWeight {
    cores: f64,
    load_factor: f64,
    health_factor: f64,
    zone_factor: f64,
    cache_factor: f64,
    avoidance_factor: f64,
}

impl EngineWeight {
    pub(crate) fn new(fleet: &FleetView, request: &Request, id: EngineId) -> EngineWeight {
        let engine = &fleet.engines[id];
        let class = fleet.class_of(request);
        let is_cached = !class.loads_tables && engine.has_cached(request.table_group);
        let is_loading = class.loads_tables && is_loading_tables(fleet, request.table_group, id);
        let slowness = engine.health.slowness().relative_to(fleet.outliers.median_log_slowness());
        EngineWeight {
            cores: engine.cores(),
            load_factor: load_factor(threads_per_core_after_send(fleet, request, engine)),
            health_factor: health_factor(engine.health.failure_rate(), slowness),
            zone_factor: fleet.settings.zone_weight(engine.zone()),
            cache_factor: if is_cached { CACHED_FACTOR } else { 1.0 },
            avoidance_factor: avoidance_factor(request.last_engine == Some(id), is_loading),
        }
    }

    /// The product of the factors.
    pub(crate) fn value(self) -> f64 {
        let preference = self.zone_factor * self.cache_factor;
        self.cores * self.load_factor * self.health_factor * preference * self.avoidance_factor
    }
}

/// The load factor. It falls steeply with the load, so that nearly all requests go to the least loaded
/// engines, but the managers do not all choose the same engine.
fn load_factor(threads_per_core: f64) -> f64 {
    exp(-LOAD_EXPONENT * threads_per_core)
}

/// The square of the success rate over the slowness. An engine that is faster than the median gets no bonus.
fn health_factor(failure_rate: f64, relative_slowness: f64) -> f64 {
    let success_rate = (1.0 - failure_rate).max(MIN_SUCCESS_RATE);
    let factor = success_rate / relative_slowness.max(1.0);
    factor * factor
}

/// Nearly excludes the engine of the last attempt, and an engine on which another query that loads these
/// tables holds their lock.
fn avoidance_factor(had_last_attempt: bool, loads_same_tables: bool) -> f64 {
    if had_last_attempt || loads_same_tables {
        AVOIDED_FACTOR
    } else {
        1.0
    }
}

/// Estimated threads per core with this request on the engine, plus the price of using the engine expressed
/// as load.
fn threads_per_core_after_send(fleet: &FleetView, request: &Request, engine: &Engine) -> f64 {
    let request_load = fleet.class_of(request).threads / engine.cores().max(1.0);
    let price_as_load =
        price_as_load(price_of_use(fleet.now, fleet.settings, engine), fleet.share.load_visibility());
    fleet.utilisation(engine) + request_load + price_as_load
}

/// The price of sending an attempt to an engine, as a fraction of the value of one query: for crossing
/// into another zone, and for a handshake if no connection to the engine is open.
fn price_of_use(now: Timestamp, settings: &Settings, engine: &Engine) -> f64 {
    let is_in_other_zone = settings.zone.is_some_and(|zone| zone != engine.zone());
    let is_idle_connection_closed = engine.last_send().is_none_or(|time| now - time >= settings.idle_timeout);
    let needs_handshake = engine.own_attempts() == 0 && is_idle_connection_closed;
    let zone_price = if is_in_other_zone { settings.cross_zone_price } else { 0.0 };
    let handshake_price = if needs_handshake { settings.handshake_price } else { 0.0 };
    zone_price + handshake_price
}

/// A price expressed in threads per core. The more of the fleet's load is visible, the less the price counts
/// against a difference in load.
fn price_as_load(price: f64, load_visibility: f64) -> f64 {
    let hidden = 1.0 - load_visibility;
    PRICE_AS_THREADS_PER_CORE * (hidden * hidden) * price
}

/// Whether an attempt of this manager on the engine loads these tables.
fn is_loading_tables(fleet: &FleetView, table_group: u64, id: EngineId) -> bool {
    let loads_tables =
        |request: &Request| request.table_group == table_group && fleet.class_of(request).loads_tables;
    let is_on_engine =
        |request: &Request| request.in_flight.as_ref().is_some_and(|attempt| attempt.engine == id);
    fleet.requests.values().any(|request| loads_tables(request) && is_on_engine(request))
}

#[cfg(test)]
mod tests;
