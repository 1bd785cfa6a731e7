//! Credit for load probes: how many may be sent, from the requests received and the price of a probe.

use crate::settings::{ClassSettings, Settings};
use crate::snapshot::StoredPolicy;

/// Value that may be spent on load probes, as a fraction of the value of all requests.
const PROBE_BUDGET: f64 = 0.01;
/// Minimum number of engines that a query of several threads chooses among.
pub(crate) const MIN_CANDIDATES: usize = 2;
/// Maximum credit that requests can save up, in samples of [`MIN_CANDIDATES`] engines.
const MAX_SAVED_SAMPLES: f64 = 4.0;

/// The load probes that requests have earned and that were not sent yet.
#[derive(Clone, Copy, Default)]
pub(crate) struct ProbeCredit {
    probes: f64,
}

impl ProbeCredit {
    /// Adds the probes that an arrived request earns: [`PROBE_BUDGET`] divided by the price of a probe, at
    /// most [`MIN_CANDIDATES`], since one request uses no more.
    pub(crate) fn earn(&mut self, probe_price: f64) {
        let min_candidates = MIN_CANDIDATES as f64;
        let earned = PROBE_BUDGET / probe_price.max(PROBE_BUDGET / min_candidates);
        self.probes = (self.probes + earned).min(MAX_SAVED_SAMPLES * min_candidates);
    }

    pub(crate) fn spend(&mut self, probes: usize) {
        self.probes -= probes as f64;
    }

    /// Whether the candidates of a request of the class may be probed before one is chosen.
    pub(crate) fn can_probe(&self, settings: &Settings, class: &ClassSettings) -> bool {
        settings.probes && needs_load_reports(settings, class) && self.probes >= MIN_CANDIDATES as f64
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.probe_credit = self.probes;
    }

    pub(crate) fn restore(stored: &StoredPolicy) -> ProbeCredit {
        ProbeCredit { probes: stored.probe_credit }
    }
}

/// Whether engines for a class are chosen by their load reports: a query of several threads does harm on a
/// full engine.
pub(crate) fn needs_load_reports(settings: &Settings, class: &ClassSettings) -> bool {
    settings.reports_load && class.threads > 1.0
}

#[cfg(test)]
mod tests;
