//! Pricing: the price of a request at each priority level for the delay that it causes other requests, and
//! its expected wait at that level, from admitted rates, learned waits, threads in flight by level, and
//! cores.
//!
//! After Konana et al., sections 3.2 to 3.4. Comments give the paper's symbols.

use crate::class_estimates::ClassEstimates;
use crate::level_price::LevelPrice;
use crate::own_load::{FleetShare, OwnLoad};
use crate::settings::ClassSettings;
use crate::snapshot::{StoredClass, StoredPolicy};
use sprucelink_time::TimeDelta;

/// Number of priority levels of the engines. The levels are 0 (lowest) to 3.
pub(crate) const LEVELS: usize = 4;
/// Time between two updates of the prices.
pub(crate) const PRICING_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// Lower bound of a class's deadline in the calculation of its delay cost, seconds.
pub(crate) const MIN_DEADLINE_SECS: f64 = 1e-3;
/// Number of waits learned in an interval at which unobserved waits decay in full.
const FULL_EVIDENCE_WAITS: f64 = 10.0;
/// Maximum utilisation in the slope of the delay, which grows without bound as utilisation approaches 1.
const MAX_SLOPE_UTILISATION: f64 = 0.9;

/// Price quote of a request, at the level where the sum of its delay cost and price is lowest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PriceQuote {
    pub(crate) level: usize,
    /// Expected time to the answer, seconds (the paper's tau).
    pub(crate) expected_secs: f64,
    /// Price for the delay that the request causes other requests, in value (the paper's toll).
    pub(crate) price: f64,
}

/// The price and the expected wait of each class at each level.
#[derive(Clone, Default)]
pub(crate) struct PriceTable {
    classes: Vec<[LevelPrice; LEVELS]>,
    /// Waits learned since the last price update.
    recent_waits: u32,
}

impl PriceTable {
    pub(crate) fn new(classes: usize) -> PriceTable {
        PriceTable { classes: vec![Default::default(); classes], recent_waits: 0 }
    }

    /// The price of a request of mean cost, in value.
    pub(crate) fn price(&self, class: usize, level: usize) -> Option<f64> {
        Some(self.classes.get(class)?.get(level)?.price_at_mean_cost())
    }

    /// The expected wait beyond the unloaded latency, seconds.
    pub(crate) fn wait_secs(&self, class: usize, level: usize) -> f64 {
        self.classes[class][level].wait_secs()
    }

    /// The price and the wait of each class, by level.
    pub(crate) fn by_level(&self) -> impl Iterator<Item = ([f64; LEVELS], [f64; LEVELS])> + '_ {
        self.classes
            .iter()
            .map(|levels| (levels.map(LevelPrice::price_at_mean_cost), levels.map(LevelPrice::wait_secs)))
    }

    pub(crate) fn record_admission(&mut self, class: usize, level: usize) {
        self.classes[class][level].record_admission();
    }

    /// Learns from the wait of one request.
    ///
    /// Departure from the paper: the waits of higher levels are limited to the wait of this level, because
    /// engines serve them first, and an outdated wait would otherwise keep light requests at a low level.
    pub(crate) fn record_wait(&mut self, class: usize, level: usize, wait_secs: f64) {
        self.recent_waits += 1;
        let levels = &mut self.classes[class];
        levels[level].observe_wait(wait_secs);
        let observed_secs = levels[level].wait_secs();
        for level_price in &mut levels[level..] {
            level_price.limit_wait(observed_secs);
        }
    }

    /// Quotes the level at which the sum of a request's own delay cost and its price is lowest.
    ///
    /// Departure from the paper: the time to process the work queued at a level and above counts as a wait,
    /// because a queue shows overload before answers do.
    pub(crate) fn cheapest_level(
        &self,
        class: usize,
        settings: &ClassSettings,
        estimates: &ClassEstimates,
        cost: f64,
        queued_work: &[f64; LEVELS],
        share: FleetShare,
    ) -> PriceQuote {
        let mut best = PriceQuote { level: 0, expected_secs: 0.0, price: f64::MAX };
        let mut min_total_cost = f64::MAX;
        let mut work_ahead: f64 = queued_work.iter().sum();
        for (level, queued) in queued_work.iter().enumerate() {
            let queue_delay_secs = share.delay_secs(work_ahead);
            work_ahead -= queued;
            let wait_secs = self.classes[class][level].wait_secs().max(queue_delay_secs);
            let expected_secs = wait_secs + estimates.unloaded_latency_secs(cost, settings.threads);
            let price = self.classes[class][level].price_at_mean_cost() * cost / estimates.mean_cost();
            let total_cost = delay_cost_per_sec(settings) * expected_secs + price;
            if total_cost < min_total_cost {
                min_total_cost = total_cost;
                best = PriceQuote { level, expected_secs, price };
            }
        }
        best
    }

    /// Updates all prices at the end of an interval (the paper's eq. 6 and 7).
    pub(crate) fn update(
        &mut self,
        settings: &[ClassSettings],
        estimates: &[ClassEstimates],
        own_load: &OwnLoad,
        share: FleetShare,
    ) {
        self.end_interval();
        let marginal_costs: [f64; LEVELS] =
            std::array::from_fn(|level| self.marginal_delay_cost(level, settings, own_load, share));
        for (levels, estimates) in self.classes.iter_mut().zip(estimates) {
            let mut cost_up_to_level = 0.0;
            for (level, marginal_cost) in levels.iter_mut().zip(marginal_costs) {
                cost_up_to_level += marginal_cost;
                let new_price = estimates.mean_cost() * estimates.work_ratio() * cost_up_to_level;
                level.update_price(new_price);
            }
        }
    }

    /// Updates the admitted rates from the interval's admissions, and decays the waits not observed in it.
    fn end_interval(&mut self) {
        let evidence = (f64::from(self.recent_waits) / FULL_EVIDENCE_WAITS).min(1.0);
        self.recent_waits = 0;
        for level in self.classes.iter_mut().flatten() {
            level.end_interval(PRICING_INTERVAL, evidence);
        }
    }

    /// Cost of one more thread-second per second at a level to the requests that wait at that level, in value
    /// (eq. 6): the mean wait times the slope of the delay, at the utilisation by this level and above, times
    /// the value lost per second.
    fn marginal_delay_cost(
        &self,
        level: usize,
        settings: &[ClassSettings],
        own_load: &OwnLoad,
        share: FleetShare,
    ) -> f64 {
        let levels = || self.classes.iter().map(|class| class[level]);
        let rate_sum: f64 = levels().map(|l| l.admitted_rate()).sum();
        let wait_sum: f64 = levels().map(|l| l.admitted_rate() * l.wait_secs()).sum();
        let value_lost_per_sec: f64 =
            levels().zip(settings).map(|(l, class)| delay_cost_per_sec(class) * l.admitted_rate()).sum();
        let mean_wait_secs = if rate_sum > 0.0 { wait_sum / rate_sum } else { 0.0 };
        let cores = share.cores();
        let utilisation = (own_load.average_from_level(level) / cores).min(MAX_SLOPE_UTILISATION);
        mean_wait_secs / (1.0 - utilisation) / cores * value_lost_per_sec
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.recent_waits = self.recent_waits;
        for (levels, class) in self.classes.iter().zip(&mut stored.classes) {
            class.levels = levels.map(LevelPrice::to_stored);
        }
    }

    pub(crate) fn restore(stored: &StoredPolicy) -> PriceTable {
        let levels = |class: &StoredClass| class.levels.map(LevelPrice::from_stored);
        let classes = stored.classes.iter().map(levels).collect();
        PriceTable { classes, recent_waits: stored.recent_waits }
    }
}

/// Value lost per second that a request waits (the paper's delta): its value divided by its deadline.
fn delay_cost_per_sec(class: &ClassSettings) -> f64 {
    class.value / class.deadline.as_secs_f64().max(MIN_DEADLINE_SECS)
}
