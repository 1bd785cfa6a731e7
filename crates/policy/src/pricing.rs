//! Pricing: what a request pays at each priority level for the delay that it causes others, and how long it
//! is expected to wait there, from admitted rates, learned waits, threads in flight by level, and cores.
//!
//! After Konana et al., sections 3.2 to 3.4. The paper's symbols stand in the comments.

use crate::class_estimates::ClassEstimates;
use crate::level_price::LevelPrice;
use crate::own_load::{FleetShare, OwnLoad};
use crate::settings::ClassSettings;
use crate::snapshot::{StoredClass, StoredPolicy};
use sprucelink_time::TimeDelta;

/// Priority levels of the engines, 0 (lowest) to 3.
pub(crate) const LEVELS: usize = 4;
/// Time between two updates of the prices.
pub(crate) const PRICING_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// Minimum deadline of a class that a delay cost is divided by, seconds.
pub(crate) const MIN_DEADLINE_SECS: f64 = 1e-3;
/// Waits learned in an interval from which its evidence is full.
const FULL_EVIDENCE_WAITS: f64 = 10.0;
/// Maximum utilisation that counts in the slope of the delay, which has no bound as it nears 1.
const MAX_SLOPE_UTILISATION: f64 = 0.9;

/// What a request would pay at its cheapest level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PriceQuote {
    pub(crate) level: usize,
    /// Expected time to the answer, seconds (the paper's tau).
    pub(crate) expected_secs: f64,
    /// What it pays for the delay of others, in value (the paper's toll).
    pub(crate) price: f64,
}

/// The price and the expected wait of each class at each level.
#[derive(Clone, Default)]
pub(crate) struct PriceTable {
    classes: Vec<[LevelPrice; LEVELS]>,
    /// Waits learned since prices were updated.
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

    /// Learns from how long a request waited.
    ///
    /// Departure from the paper: levels above wait no longer than this one, because engines serve them first,
    /// and an old wait would otherwise keep light requests at a low level.
    pub(crate) fn record_wait(&mut self, class: usize, level: usize, wait_secs: f64) {
        self.recent_waits += 1;
        let levels = &mut self.classes[class];
        levels[level].observe_wait(wait_secs);
        let observed_secs = levels[level].wait_secs();
        for above in &mut levels[level..] {
            above.limit_wait(observed_secs);
        }
    }

    /// The level at which a request's own delay cost and its price have the lowest sum.
    ///
    /// Departure from the paper: work queued at a level and above counts as a wait, because a queue shows
    /// overload before answers do.
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

    /// Takes the interval's admissions into the rates, and lets waits decay that were not observed in it.
    fn end_interval(&mut self) {
        let evidence = (f64::from(self.recent_waits) / FULL_EVIDENCE_WAITS).min(1.0);
        self.recent_waits = 0;
        for level in self.classes.iter_mut().flatten() {
            level.end_interval(PRICING_INTERVAL, evidence);
        }
    }

    /// What one more thread-second a second at a level costs those who wait there, in value (eq. 6): the mean
    /// wait by the slope of the delay, at the utilisation from that level up, times the value lost a second.
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
        stored.recent_outcomes = self.recent_waits;
        for (levels, class) in self.classes.iter().zip(&mut stored.classes) {
            class.levels = levels.map(LevelPrice::to_stored);
        }
    }

    pub(crate) fn restore(stored: &StoredPolicy) -> PriceTable {
        let levels = |class: &StoredClass| class.levels.map(LevelPrice::from_stored);
        let classes = stored.classes.iter().map(levels).collect();
        PriceTable { classes, recent_waits: stored.recent_outcomes }
    }
}

/// Value lost for each second that a request waits (the paper's delta): its value over its deadline.
fn delay_cost_per_sec(class: &ClassSettings) -> f64 {
    class.value / class.deadline.as_secs_f64().max(MIN_DEADLINE_SECS)
}
