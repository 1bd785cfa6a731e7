//! Handling of the endpoint list and of load reports.

use crate::events::{EndpointUpdate, EngineEntry, LoadReport, Outcome};
use crate::ids::EngineId;
use crate::load_estimate::has_load;
use crate::policy::Policy;
use sprucelink_time::TimeDelta;

/// Delay before a failed request for the endpoint list is retried.
const WATCH_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

impl Policy {
    pub(super) fn on_endpoints_change(&mut self, kind: EndpointUpdate, entries: &[EngineEntry]) {
        if kind == EndpointUpdate::Failed {
            self.next_watch = Some(self.now + WATCH_RETRY_INTERVAL);
            return;
        }
        let Policy { engines, outliers, random, settings, .. } = self;
        engines.apply_endpoint_update(self.now, kind, entries, settings, outliers, random);
    }

    pub(super) fn on_probe_end(&mut self, engine: EngineId, outcome: Outcome, report: &LoadReport) {
        if outcome == Outcome::TimedOut {
            let cores = self.engines[engine].cores();
            self.engines[engine].load.assume_full(self.now, cores);
        }
        self.on_report(engine, report);
    }

    pub(super) fn on_report(&mut self, engine: EngineId, report: &LoadReport) {
        if !has_load(report) {
            return;
        }
        let mean_load = self.load.mean_load(self.now, &self.own_load, self.share());
        let engine = &mut self.engines[engine];
        let cores = engine.cores();
        self.load.record_report(self.now, report, cores, mean_load, &mut engine.load);
    }
}
