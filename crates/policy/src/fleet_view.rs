//! A read-only view of the fleet at one moment for the rules on engines. It joins the state of the parts and
//! decides nothing.

use crate::class_estimates::ClassEstimates;
use crate::engine::Engine;
use crate::engine_load::estimated_threads;
use crate::engine_table::EngineTable;
use crate::load_estimate::MeanLoad;
use crate::outlier_detection::OutlierDetector;
use crate::own_load::FleetShare;
use crate::probe_credit::ProbeCredit;
use crate::request::{OpenRequests, Request};
use crate::settings::{ClassSettings, Settings};
use crate::slow_start::{capacity_fraction, SlowStartLimits};
use sprucelink_time::Timestamp;

/// The inputs of the rules on engines.
pub(crate) struct FleetView<'a> {
    pub(crate) now: Timestamp,
    pub(crate) settings: &'a Settings,
    pub(crate) engines: &'a EngineTable,
    pub(crate) outliers: &'a OutlierDetector,
    pub(crate) requests: &'a OpenRequests,
    pub(crate) estimates: &'a [ClassEstimates],
    pub(crate) probe_credit: &'a ProbeCredit,
    pub(crate) share: FleetShare,
    /// Threads of this manager's attempts in flight.
    pub(crate) own_threads: f64,
    pub(crate) mean_load: MeanLoad,
    pub(crate) slow_start: SlowStartLimits<'a>,
}

impl<'a> FleetView<'a> {
    pub(crate) fn class_of(&self, request: &Request) -> &'a ClassSettings {
        &self.settings.classes[request.class]
    }

    /// Fraction of its capacity that an engine has; 1 after its slow start.
    pub(crate) fn capacity_fraction(&self, engine: &Engine) -> f64 {
        capacity_fraction(self.now, engine.started_at(), self.settings)
    }

    /// Whether an engine is past its slow start.
    pub(crate) fn is_warm(&self, engine: &Engine) -> bool {
        self.capacity_fraction(engine) >= 1.0
    }

    /// Weight of an engine's last load report, 0 to 1.
    pub(crate) fn report_weight(&self, engine: &Engine) -> f64 {
        engine.load.report_weight(self.now)
    }

    /// Threads that the other managers are expected to have in flight on the engine, without regard to its
    /// last report: the fleet's mean per core times the engine's cores, its capacity fraction, and the
    /// fraction of managers that may send to it.
    pub(crate) fn mean_of_others(&self, engine: &Engine) -> f64 {
        let fraction = self.capacity_fraction(engine);
        let sender_fraction = self.slow_start.sender_fraction(engine.cores(), engine.started_at());
        self.mean_load.others_per_core * engine.cores() * fraction * sender_fraction
    }

    /// Estimated threads of all managers on an engine.
    pub(crate) fn estimated_threads(&self, engine: &Engine) -> f64 {
        estimated_threads(
            engine.own_threads(),
            self.mean_of_others(engine),
            self.mean_load.even_per_core * engine.cores(),
            self.report_weight(engine),
            &engine.load,
        )
    }

    /// Estimated threads per core, counting only the cores that the slow start gives the engine so far.
    pub(crate) fn utilisation(&self, engine: &Engine) -> f64 {
        let cores = engine.cores() * self.capacity_fraction(engine);
        self.estimated_threads(engine) / cores.max(1e-3)
    }
}
