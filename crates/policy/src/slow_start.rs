//! Slow start: how much work an engine that started recently may be sent, from the age of the engine, the
//! work charged to it in the last window, and the number of managers that divide its budget.

use crate::class_estimates::ClassEstimates;
use crate::settings::{ClassSettings, Settings};
use crate::snapshot::StoredEngine;
use sprucelink_rate_limits::SumWindow;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

/// Fraction of the listed cores that counts as capacity: machines may be slow, and cores are never all busy.
const USABLE_CORE_FRACTION: f64 = 0.56;
/// Weight of the full cost in a class's charge on a manager that started recently, in cost samples.
const PRIOR_SAMPLES: f64 = 1.0;
/// Fraction of a manager's part of the budget for a query of a sampled manager, if no class's queries fit.
const SAMPLED_FRACTION_WITHOUT_FITTING: f64 = 0.7;
/// Fraction of a manager's part for queries that fit it, if only some classes' queries do.
const FITTING_FRACTION: f64 = 0.75;
/// Fraction of a manager's part for a query of a sampled manager, if only some classes' queries fit.
const SAMPLED_FRACTION_WITH_FITTING: f64 = 0.35;
/// A sampled manager may send a query only if the budget of all managers has room for this many such queries.
const MIN_QUERIES_IN_FLEET_BUDGET: f64 = 4.0;
/// Fraction of its budget that a manager uses in its first window: what it sent before a restart is unknown.
const FIRST_WINDOW_FRACTION: f64 = 0.5;

/// Fraction of its capacity that an engine has: linear from the initial fraction to 1 over the slow start.
pub(crate) fn capacity_fraction(now: Timestamp, started_at: Option<Timestamp>, settings: &Settings) -> f64 {
    let Some(started_at) = started_at else { return 1.0 };
    let duration_secs = settings.slow_start_duration.as_secs_f64().max(1e-3);
    let progress = (now - started_at).as_secs_f64() / duration_secs;
    1.0 - (1.0 - settings.initial_capacity_fraction) * (1.0 - progress.clamp(0.0, 1.0))
}

/// Work that a query of a class charges to an engine's budget, thread-seconds: the mean of its class, because
/// otherwise each of many managers would find a small query that fits.
pub(crate) fn charge(class: &ClassSettings, estimates: &ClassEstimates, is_manager_new: bool) -> f64 {
    // The first estimates of a class are mostly too low: a new manager adds a sample of the full cost.
    let prior = if is_manager_new { PRIOR_SAMPLES } else { 0.0 };
    let samples = f64::from(estimates.cost_samples().max(1));
    let full_cost = class.latency_objective.as_secs_f64() * class.threads;
    let total = estimates.mean_cost() * samples + full_cost * prior;
    total / (samples + prior) * estimates.work_ratio().max(1.0)
}

/// Limits on the work that engines in slow start may be sent, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartLimits<'a> {
    settings: &'a Settings,
    now: Timestamp,
    /// Time since this manager started.
    manager_age: TimeDelta,
    /// Charge of the lightest class, thread-seconds.
    min_charge: f64,
    /// Charge of the heaviest class, thread-seconds.
    max_charge: f64,
}

/// A manager's budget for one engine and window, divided between two kinds of queries; thread-seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BudgetParts {
    /// Budget for any number of queries, as long as the sum of their charges is within it.
    fitting: f64,
    /// Budget for one query that does not fit, if this manager is sampled.
    sampled: f64,
}

impl<'a> SlowStartLimits<'a> {
    pub(crate) fn new(
        now: Timestamp,
        manager_started_at: Timestamp,
        settings: &'a Settings,
        estimates: &[ClassEstimates],
    ) -> SlowStartLimits<'a> {
        let manager_age = now - manager_started_at;
        let is_manager_new = manager_age < settings.slow_start_duration;
        let charges = || {
            let classes = settings.classes.iter().zip(estimates);
            classes.map(|(class, estimates)| charge(class, estimates, is_manager_new))
        };
        SlowStartLimits {
            settings,
            now,
            manager_age,
            min_charge: charges().fold(f64::MAX, f64::min),
            max_charge: charges().fold(0.0, f64::max),
        }
    }

    /// The charge of a query of a class, thread-seconds.
    pub(crate) fn charge(&self, class: &ClassSettings, estimates: &ClassEstimates) -> f64 {
        charge(class, estimates, self.manager_age < self.settings.slow_start_duration)
    }

    /// This manager's equal part of the work that an engine may be sent in one window, thread-seconds.
    pub(crate) fn budget(&self, cores: f64, started_at: Option<Timestamp>) -> f64 {
        let window = self.settings.slow_start_window;
        let capacity_fraction = capacity_fraction(self.now, started_at, self.settings);
        let secs_per_core = self.settings.slow_start_multiple * capacity_fraction * window.as_secs_f64();
        let managers = f64::from(self.settings.gateways);
        secs_per_core * cores * USABLE_CORE_FRACTION * self.usable_fraction() / managers
    }

    /// Fraction of its budget that a manager uses, by its own age: it may have used some of the budget
    /// before it was restarted.
    fn usable_fraction(&self) -> f64 {
        match self.settings.restart_ramp {
            Some(ramp) => {
                let rise = self.manager_age.as_secs_f64() / ramp.secs_to_rise_by_one;
                (ramp.initial_fraction + rise).min(1.0)
            }
            None if self.manager_age < self.settings.slow_start_window => FIRST_WINDOW_FRACTION,
            None => 1.0,
        }
    }

    /// Divides a budget. Where a query is larger than a manager's part, a random fraction of the managers may
    /// send one query per window, and nothing else in that window, so that the engine is not idle.
    fn parts(&self, budget: f64) -> BudgetParts {
        let fitting = FITTING_FRACTION * budget;
        if self.max_charge <= budget {
            BudgetParts { fitting: budget, sampled: 0.0 }
        } else if self.min_charge <= fitting {
            BudgetParts { fitting, sampled: SAMPLED_FRACTION_WITH_FITTING * budget }
        } else {
            BudgetParts { fitting: 0.0, sampled: SAMPLED_FRACTION_WITHOUT_FITTING * budget }
        }
    }

    /// Fraction of the managers that may send to an engine in one window; below 1 only if no query fits.
    pub(crate) fn sender_fraction(&self, cores: f64, started_at: Option<Timestamp>) -> f64 {
        if capacity_fraction(self.now, started_at, self.settings) >= 1.0 {
            return 1.0;
        }
        let parts = self.parts(self.budget(cores, started_at));
        if parts.fitting > 0.0 {
            return 1.0;
        }
        (parts.sampled / self.min_charge).min(1.0)
    }

    /// Whether an engine in slow start may be sent a query with this charge: it fits this manager's part, or
    /// it is light for the fleet and this manager is sampled, with probability `sampled / charge`.
    pub(crate) fn allows(
        &self,
        charge: f64,
        cores: f64,
        started_at: Option<Timestamp>,
        usage: &SlowStartBudget,
    ) -> bool {
        let budget = self.budget(cores, started_at);
        let parts = self.parts(budget);
        let spent = usage.spent(self.now, self.settings);
        let fits = spent + charge <= parts.fitting;
        let fleet_budget = budget * f64::from(self.settings.gateways);
        let is_light = charge * MIN_QUERIES_IN_FLEET_BUDGET <= fleet_budget;
        let is_sampled_sender = || spent <= 0.0 && usage.sender_number * charge < parts.sampled;
        fits || (is_light && is_sampled_sender())
    }
}

/// The work that one engine was sent in the last window, and whether this manager is a sampled sender to it.
#[derive(Clone, Default)]
pub(crate) struct SlowStartBudget {
    /// Work sent in recent windows, by time; thread-seconds.
    charges: SumWindow,
    /// A random number from 0 to 1, drawn for each window: the manager may send if the number is below the
    /// fraction of managers that may send.
    sender_number: f64,
    next_draw: Timestamp,
}

impl SlowStartBudget {
    /// The budget of an engine whose record is reset: the work that was sent earlier still counts.
    pub(crate) fn with_charges_of(earlier: SlowStartBudget) -> SlowStartBudget {
        SlowStartBudget { charges: earlier.charges, ..SlowStartBudget::default() }
    }

    /// Work sent in the last window, thread-seconds.
    pub(crate) fn spent(&self, now: Timestamp, settings: &Settings) -> f64 {
        self.charges.sum(now, settings.slow_start_window)
    }

    pub(crate) fn charge_send(&mut self, now: Timestamp, charge: f64, settings: &Settings) {
        self.charges.record(now, charge, settings.slow_start_window);
    }

    /// Draws the random number for the window that starts now.
    pub(crate) fn draw_number(&mut self, now: Timestamp, settings: &Settings, random: &mut SplitMix64) {
        self.sender_number = random.next_unit();
        self.next_draw = now + settings.slow_start_window;
    }

    /// Draws a new random number once the window of the last one has passed.
    pub(crate) fn redraw_number_if_due(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        random: &mut SplitMix64,
    ) {
        if now >= self.next_draw {
            self.draw_number(now, settings, random);
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredEngine) {
        stored.recent_charges = self.charges.clone();
        stored.sender_number = self.sender_number;
        stored.next_sender_draw = self.next_draw;
    }

    pub(crate) fn restore(stored: &mut StoredEngine) -> SlowStartBudget {
        SlowStartBudget {
            charges: std::mem::take(&mut stored.recent_charges),
            sender_number: stored.sender_number,
            next_draw: stored.next_sender_draw,
        }
    }
}

#[cfg(test)]
mod tests;
