//! Learned cost of each fingerprint: the mean of the work and memory that answers report. It is robust to
//! single bad plans, weighted by age, and shrunk to the mean of its class while there are few answers. If a
//! client gives estimates, the ratio of reported to estimated cost is learned, too.

use crate::cache::{Bounds, Cache, Counters};
use crate::normal::Fingerprint;
use sprucelink_float_math::{exp, ln, pow};

/// Weight of the mean of the class, in answers: after this many answers the mean of the fingerprint has the
/// same weight.
const PRIOR_WEIGHT: f64 = 4.0;
/// Minimum weight of one answer in the running mean, as a fraction: about the last thirty answers count.
const MIN_STEP: f64 = 1.0 / 30.0;
/// Deviation up to which an answer counts in full, in multiples of the spread. A larger deviation is clamped
/// to it (Huber's function), so that a plan that costs 25 times more moves the mean no more than one that
/// costs a little more.
const HUBER_LIMIT: f64 = 1.5;
/// Minimum spread, as a difference of logarithms: answers of one fingerprint vary by at least a tenth.
const MIN_SPREAD: f64 = 0.1;
/// Initial spread, as a difference of logarithms: a factor of two up or down.
const INITIAL_SPREAD: f64 = 0.7;
/// Number of consecutive answers beyond the spread on one side after which the cost counts as changed. With
/// one bad plan in twenty, six in a row happen once in 64 million.
const SHIFT_RUN: u32 = 6;
/// Half-life of the weight of a learned mean, in seconds: tables grow from day to day.
const HALF_LIFE_S: f64 = 12.0 * 3600.0;
/// Maximum factor between an answer and the estimate or mean with which it is compared. A larger factor is an
/// error of the reporter and is clamped.
const MAX_FACTOR: f64 = 1e4;
/// Maximum absolute value of the natural logarithm of an estimate, so that the estimate is finite.
const MAX_LOG: f64 = 50.0;
/// Minimum work in milliseconds and memory in MB; smaller values are raised to it before the logarithm is
/// taken.
const MIN_COST: f64 = 1e-3;
/// Approximate size of one learned cost in the cache, in bytes.
const ENTRY_BYTES: usize = 256;

/// A running mean of logarithms, robust to outliers.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RobustMean {
    mean: f64,
    /// Running mean of the absolute deviations from the mean, each clamped to twice the deviation that counts
    /// in full.
    spread: f64,
    /// Number of answers, discounted by age.
    weight: f64,
    /// Number of consecutive answers beyond the limit of the deviation, negative if they are below the mean.
    run: i32,
    /// Time of the last answer, in seconds.
    updated_at: f64,
}

impl RobustMean {
    fn new(prior: f64, now: f64) -> RobustMean {
        RobustMean { mean: prior, spread: INITIAL_SPREAD, weight: 0.0, run: 0, updated_at: now }
    }

    /// The weight at `now`, discounted by the time since the last answer.
    fn aged_weight(&self, now: f64) -> f64 {
        // If the clock was set back, the weight stays as it is.
        self.weight * pow(0.5, (now - self.updated_at).max(0.0) / HALF_LIFE_S)
    }

    fn learn(&mut self, answer: f64, now: f64) {
        self.weight = self.aged_weight(now);
        self.updated_at = self.updated_at.max(now);
        let deviation = answer - self.mean;
        self.run = self.next_run(deviation);
        if self.run.unsigned_abs() >= SHIFT_RUN {
            self.restart_from(answer);
            return;
        }
        self.weight = (self.weight + 1.0).min(1.0 / MIN_STEP);
        let step = (1.0 / self.weight).max(MIN_STEP);
        let bound = HUBER_LIMIT * self.spread;
        self.mean += step * deviation.clamp(-bound, bound);
        self.spread += step * (deviation.abs().min(2.0 * bound) - self.spread);
        self.spread = self.spread.max(MIN_SPREAD);
    }

    fn next_run(&self, deviation: f64) -> i32 {
        let is_beyond = deviation.abs() > HUBER_LIMIT * self.spread;
        match (is_beyond, deviation > 0.0) {
            (true, true) => self.run.max(0) + 1,
            (true, false) => self.run.min(0) - 1,
            (false, _) => 0,
        }
    }

    /// Starts again from the latest answer, with half the weight of the run, because the cost has changed.
    fn restart_from(&mut self, answer: f64) {
        let weight = f64::from(SHIFT_RUN) / 2.0;
        *self =
            RobustMean { mean: answer, spread: INITIAL_SPREAD, weight, run: 0, updated_at: self.updated_at };
    }

    /// The mean, shrunk to a prior while there are few answers.
    fn shrunk_mean(&self, prior: f64, now: f64) -> f64 {
        let weight = self.aged_weight(now);
        (weight * self.mean + PRIOR_WEIGHT * prior) / (weight + PRIOR_WEIGHT)
    }
}

/// Key of a learned cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The fingerprint of the statement.
    pub fingerprint: Fingerprint,
    /// Index of the request's class, in the order of the costs given to [`Costs::new`].
    pub class: u16,
    /// Whether the data set was expected to be warm on the engine.
    pub warm: bool,
}

/// Cost of one execution of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work in milliseconds on one core.
    pub work_ms: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

impl Cost {
    /// Whether work and memory are finite and positive.
    fn is_valid(&self) -> bool {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        is_positive(self.work_ms) && is_positive(self.memory_mb)
    }

    /// Logarithms of work and memory.
    fn logs(&self) -> [f64; 2] {
        [ln(self.work_ms.max(MIN_COST)), ln(self.memory_mb.max(MIN_COST))]
    }
}

/// An expected cost, and the number of answers on which it is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected cost of one execution.
    pub cost: Cost,
    /// Number of answers for the fingerprint, discounted by age; 0 if the estimate is based on the class
    /// alone.
    pub weight: f64,
}

/// Learned cost of one key or one class. Arrays hold work first and memory second.
#[derive(Clone, Copy, Debug)]
struct CostModel {
    /// Logarithms of reported cost.
    absolute: [RobustMean; 2],
    /// Logarithms of the ratio of reported to estimated cost, from answers to requests with a client's
    /// estimate.
    ratio: [RobustMean; 2],
}

fn means(estimators: &[RobustMean; 2]) -> [f64; 2] {
    estimators.map(|estimator| estimator.mean)
}

fn shrunk_means(estimators: &[RobustMean; 2], priors: [f64; 2], now: f64) -> [f64; 2] {
    [estimators[0].shrunk_mean(priors[0], now), estimators[1].shrunk_mean(priors[1], now)]
}

fn sum(left: [f64; 2], right: [f64; 2]) -> [f64; 2] {
    [left[0] + right[0], left[1] + right[1]]
}

fn clamp_factor(log_factor: f64) -> f64 {
    log_factor.clamp(-ln(MAX_FACTOR), ln(MAX_FACTOR))
}

impl CostModel {
    fn new(now: f64, absolute: [f64; 2], ratio: [f64; 2]) -> CostModel {
        CostModel {
            absolute: absolute.map(|prior| RobustMean::new(prior, now)),
            ratio: ratio.map(|prior| RobustMean::new(prior, now)),
        }
    }

    /// Learns from the logarithms of a reported cost and of the client's estimate, if there was one.
    fn learn(&mut self, reported: [f64; 2], estimated: Option<[f64; 2]>, now: f64) {
        for resource in 0..2 {
            let prior = self.absolute[resource].mean;
            self.absolute[resource].learn(prior + clamp_factor(reported[resource] - prior), now);
            if let Some(estimated) = estimated {
                self.ratio[resource].learn(clamp_factor(reported[resource] - estimated[resource]), now);
            }
        }
    }
}

/// Learned costs, by class and by fingerprint.
#[derive(Debug)]
pub struct Costs {
    classes: Vec<CostModel>,
    fingerprints: Cache<Key, CostModel>,
}

impl Costs {
    /// Starts with the initial costs of the classes, in their order. At most `entries` keys are retained.
    pub fn new(classes: &[Cost], entries: usize) -> Costs {
        let new_model = |cost: &Cost| CostModel::new(0.0, cost.logs(), [0.0, 0.0]);
        let bounds = Bounds { entries, bytes: entries.saturating_mul(ENTRY_BYTES) };
        Costs { classes: classes.iter().map(new_model).collect(), fingerprints: Cache::new(bounds) }
    }

    /// The expected cost of a request at the time `now`, in seconds: the client's estimate `given`, corrected
    /// by the learned ratio, or the learned cost if the client gives no estimate. `None` for an unknown
    /// class.
    pub fn estimate(&mut self, key: Key, given: Option<Cost>, now: f64) -> Option<Estimate> {
        let class = self.classes.get(usize::from(key.class))?;
        let class_absolute = means(&class.absolute);
        let class_ratio = means(&class.ratio);
        let known = self.fingerprints.get(key);
        let (logs, weight) = match (given, known) {
            (Some(given), Some(known)) => {
                let ratio = shrunk_means(&known.ratio, class_ratio, now);
                (sum(given.logs(), ratio), known.ratio[0].aged_weight(now))
            }
            (Some(given), None) => (sum(given.logs(), class_ratio), 0.0),
            (None, Some(known)) => {
                (shrunk_means(&known.absolute, class_absolute, now), known.absolute[0].aged_weight(now))
            }
            (None, None) => (class_absolute, 0.0),
        };
        // A client's estimate may be any number; the clamp keeps the result finite.
        let [work_ms, memory_mb] = logs.map(|log| exp(log.clamp(-MAX_LOG, MAX_LOG)));
        Some(Estimate { cost: Cost { work_ms, memory_mb }, weight })
    }

    /// Learns from the cost that an answer reported at the time `now`, in seconds. Costs that are not finite
    /// and positive are ignored.
    pub fn learn(&mut self, key: Key, given: Option<Cost>, reported: Cost, now: f64) {
        if !reported.is_valid() {
            return;
        }
        let Some(class) = self.classes.get_mut(usize::from(key.class)) else { return };
        let reported = reported.logs();
        let estimated = given.filter(Cost::is_valid).map(|given| given.logs());
        class.learn(reported, estimated, now);
        if let Some(known) = self.fingerprints.get(key) {
            known.learn(reported, estimated, now);
            return;
        }
        let mut model = CostModel::new(now, means(&class.absolute), means(&class.ratio));
        model.learn(reported, estimated, now);
        self.fingerprints.put(key, model, ENTRY_BYTES);
    }

    /// Counters of the cache that holds the costs by key.
    pub fn counters(&self) -> Counters {
        self.fingerprints.counters()
    }
}
