//! Learned cost of each fingerprint: work and memory as reported by answers, robust to single bad plans, weighted by
//! age, and shrunk to the mean of its class while there are few answers. Where a client gives estimates, the ratio of
//! reported to estimated cost is learned.

use crate::cache::{Bounds, Cache, Counters};
use crate::normal::Fingerprint;

/// Answers after which a shape's own figure weighs as much as its class's.
const SHRINK: f64 = 4.0;
/// An answer's weight is never less than this: the last thirty or so count.
const STEP: f64 = 1.0 / 30.0;
/// Deviations from the figure up to which an answer counts whole: what lies farther off counts as much as this, so a
/// plan that costs 25 times more moves the figure no more than one that costs a little more (Huber's function).
const HUBER: f64 = 1.5;
/// Logarithm of the least spread assumed: answers of a shape scatter by a tenth at least.
const MIN_SPREAD: f64 = 0.1;
/// Spread assumed at first: a factor of two either way.
const FIRST_SPREAD: f64 = 0.7;
/// So many answers in a row beyond the spread on one side: the shape costs something else now. With one bad plan in
/// twenty, six in a row come once in 64 million.
const SHIFT_RUN: u32 = 6;
/// Seconds in which what was learned of a shape loses half its weight: tables grow by the day.
const HALF_LIFE: f64 = 12.0 * 3600.0;
/// Bounds of what one answer may say, as a factor of the estimate or class mean: what is beyond is a fault of the teller.
const SANE: f64 = 1e4;
/// Logarithm of the largest figure that is told.
const MAX_LOG: f64 = 50.0;
/// Bytes of one entry, about.
const ENTRY: usize = 256;

/// A running mean of logarithms, robust to outliers.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RobustMean {
    mean: f64,
    spread: f64,
    weight: f64,
    /// Answers in a row beyond the spread: above if positive, below if negative.
    run: i32,
    at: f64,
}

impl RobustMean {
    fn new(prior: f64, now: f64) -> RobustMean {
        RobustMean { mean: prior, spread: FIRST_SPREAD, weight: 0.0, run: 0, at: now }
    }

    /// Its weight by now.
    fn aged(&self, now: f64) -> f64 {
        // A clock that was set back ages nothing.
        self.weight * 0.5_f64.powf((now - self.at).max(0.0) / HALF_LIFE)
    }

    fn learn(&mut self, x: f64, now: f64) {
        self.weight = self.aged(now);
        self.at = self.at.max(now);
        let off = x - self.mean;
        let beyond = off.abs() > HUBER * self.spread;
        self.run = match (beyond, off > 0.0) {
            (true, true) => self.run.max(0) + 1,
            (true, false) => self.run.min(0) - 1,
            (false, _) => 0,
        };
        if self.run.unsigned_abs() >= SHIFT_RUN {
            // Not bad plans any more: begin anew from here, as after so many answers.
            *self = RobustMean {
                mean: x,
                spread: FIRST_SPREAD,
                weight: f64::from(SHIFT_RUN) / 2.0,
                run: 0,
                at: self.at,
            };
            return;
        }
        self.weight = (self.weight + 1.0).min(1.0 / STEP);
        let step = (1.0 / self.weight).max(STEP);
        let bound = HUBER * self.spread;
        self.mean += step * off.clamp(-bound, bound);
        self.spread += step * (off.abs().min(2.0 * bound) - self.spread);
        self.spread = self.spread.max(MIN_SPREAD);
    }

    /// The figure, shrunk to a prior while there is little to go by.
    fn shrunk(&self, prior: f64, now: f64) -> f64 {
        let weight = self.aged(now);
        (weight * self.mean + SHRINK * prior) / (weight + SHRINK)
    }
}

/// What is known under a key: a shape, its class, and whether its data set was taken to be warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The fingerprint of the statement.
    pub fingerprint: Fingerprint,
    /// The class.
    pub class: u16,
    /// The engine was taken to have the data set warm.
    pub warm: bool,
}

/// Work in milliseconds on one core, and memory in MB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work.
    pub work_ms: f64,
    /// Memory.
    pub memory_mb: f64,
}

/// An estimate, and how much it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The figures.
    pub cost: Cost,
    /// Answers that it rests on, aged; 0: on the class alone.
    pub weight: f64,
}

/// What was learned of the cost of one key, or of one class.
#[derive(Clone, Copy, Debug)]
struct CostModel {
    /// Logarithms of work and memory where no estimate came, and of both over the estimate where one did.
    plain: [RobustMean; 2],
    over: [RobustMean; 2],
}

impl CostModel {
    fn new(now: f64, plain: [f64; 2], over: [f64; 2]) -> CostModel {
        CostModel {
            plain: plain.map(|p| RobustMean::new(p, now)),
            over: over.map(|p| RobustMean::new(p, now)),
        }
    }
}

/// What shapes cost.
#[derive(Debug)]
pub struct Costs {
    classes: Vec<CostModel>,
    shapes: Cache<Key, CostModel>,
}

fn logs(c: Cost) -> [f64; 2] {
    [c.work_ms.max(1e-3).ln(), c.memory_mb.max(1e-3).ln()]
}

fn sane(x: f64) -> f64 {
    x.clamp(-SANE.ln(), SANE.ln())
}

impl Costs {
    /// Nothing is known but what each class costs at first; so many shapes are kept at most.
    pub fn new(classes: &[Cost], entries: usize) -> Costs {
        let class = |c: &Cost| CostModel::new(0.0, logs(*c), [0.0, 0.0]);
        let bounds = Bounds { entries, bytes: entries.saturating_mul(ENTRY) };
        Costs { classes: classes.iter().map(class).collect(), shapes: Cache::new(bounds) }
    }

    /// What a request will cost, at `now` in seconds: the client's own estimate put right by how far off such ones
    /// were, or one in place of it. `None` for an unknown class.
    pub fn estimate(&mut self, key: Key, given: Option<Cost>, now: f64) -> Option<Estimate> {
        let class = self.classes.get(usize::from(key.class))?;
        let (plain, over) = (class.plain.map(|l| l.mean), class.over.map(|l| l.mean));
        let known = self.shapes.get(key);
        let pick = |of: &[RobustMean; 2], prior: [f64; 2]| [0, 1].map(|i| of[i].shrunk(prior[i], now));
        let (figures, weight) = match (given, known) {
            (Some(g), Some(f)) => {
                let put_right = pick(&f.over, over);
                let g = logs(g);
                ([g[0] + put_right[0], g[1] + put_right[1]], f.over[0].aged(now))
            }
            (Some(g), None) => {
                let g = logs(g);
                ([g[0] + over[0], g[1] + over[1]], 0.0)
            }
            (None, Some(f)) => (pick(&f.plain, plain), f.plain[0].aged(now)),
            (None, None) => (plain, 0.0),
        };
        // What a client claims may be any number: figures stay finite.
        let figures = figures.map(|f| f.clamp(-MAX_LOG, MAX_LOG).exp());
        let cost = Cost { work_ms: figures[0], memory_mb: figures[1] };
        Some(Estimate { cost, weight })
    }

    /// An answer told what a request needed. What is no number, or none over zero, teaches nothing.
    pub fn learn(&mut self, key: Key, given: Option<Cost>, told: Cost, now: f64) {
        let usable = |v: f64| v.is_finite() && v > 0.0;
        if !usable(told.work_ms) || !usable(told.memory_mb) {
            return;
        }
        let Some(class) = self.classes.get_mut(usize::from(key.class)) else { return };
        let told = logs(told);
        let given = given.filter(|g| usable(g.work_ms) && usable(g.memory_mb)).map(logs);
        let teach = |f: &mut CostModel| {
            for i in 0..2 {
                let prior = f.plain[i].mean;
                f.plain[i].learn(prior + sane(told[i] - prior), now);
                if let Some(g) = given {
                    f.over[i].learn(sane(told[i] - g[i]), now);
                }
            }
        };
        teach(class);
        let (plain, over) = (class.plain.map(|l| l.mean), class.over.map(|l| l.mean));
        match self.shapes.get(key) {
            Some(figures) => teach(figures),
            None => {
                let mut figures = CostModel::new(now, plain, over);
                teach(&mut figures);
                self.shapes.put(key, figures, ENTRY);
            }
        }
    }

    /// Counters of the shapes kept.
    pub fn counters(&self) -> Counters {
        self.shapes.counters()
    }
}
