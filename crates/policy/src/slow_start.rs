//! Slow start: how much work an engine that started lately may be sent.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Share of the told cores that counts as capacity in the cold budget: slow machines, cores never all busy.
const COLD_CAPACITY: f64 = 0.56;
/// Estimates that the first guess of a class's charge weighs as much as.
const FIRST_CHARGES: f64 = 1.0;
/// Share of the cold budget used by draw, where no query fits a part: several may draw well at once.
const COLD_CHANCE: f64 = 0.7;
/// Shares of it for light queries that fit a part, and for heavy ones by draw: who sends one sends no more.
const COLD_LIGHT: f64 = 0.75;
const COLD_HEAVY: f64 = 0.35;
/// What is drawn for may take one part in so many of all gateways' budget: of heavier work two make a jam.
pub(crate) const COLD_PARTS: f64 = 4.0;

impl Policy {
    /// Share of its capacity that an engine has by now: from the start share up, evenly.
    pub(crate) fn warmth(&self, e: &Engine) -> f64 {
        let Some(started) = e.started else { return 1.0 };
        let age = (self.now - started).as_secs_f64() / self.set.cold_for.as_secs_f64().max(1e-3);
        1.0 - (1.0 - self.set.start_share) * (1.0 - age.clamp(0.0, 1.0))
    }

    /// Work charged to the cold budget: the class's mean, lest each of many gateways send a small one.
    pub(crate) fn charge(&self, class: usize) -> f64 {
        let (book, c) = (&self.classes[class], &self.set.classes[class]);
        // Few estimates most often tell too little: a gateway that just started counts a full one in.
        let first = if self.now - self.born < self.set.cold_for { FIRST_CHARGES } else { 0.0 };
        let (samples, most) = (f64::from(book.samples.max(1)), c.aim.as_secs_f64() * c.threads);
        (book.mean * samples + most * first) / (samples + first) * book.bias.value().max(1.0)
    }

    /// This gateway's even part of what a cold engine may be sent in one span.
    pub(crate) fn cold_budget(&self, e: &Engine) -> f64 {
        let share = self.set.fall_multiple * self.warmth(e) * self.set.fall_span.as_secs_f64();
        // A gateway that just started has forgotten its sends: half counts as spent, or what the ramp says.
        let age = self.now - self.born;
        let step = if age < self.set.fall_span { 0.5 } else { 1.0 };
        let newborn =
            self.set.cold_ramp.map_or(step, |(from, over)| (from + age.as_secs_f64() / over).min(1.0));
        share * e.cores * COLD_CAPACITY * newborn / f64::from(self.set.gateways)
    }

    /// The charge of the class that is charged least.
    fn least_charge(&self) -> f64 {
        (0..self.classes.len()).map(|c| self.charge(c)).fold(f64::MAX, f64::min)
    }

    /// What this gateway may send of its part of the cold budget as it likes, and what it draws for: a query
    /// over the former, one a span if the draw lets it. Where no query fits all are drawn for.
    pub(crate) fn cold_parts(&self, e: &Engine) -> (f64, f64) {
        let part = self.cold_budget(e);
        let most = (0..self.classes.len()).map(|c| self.charge(c)).fold(0.0, f64::max);
        match part {
            _ if most <= part => (part, 0.0),
            _ if self.least_charge() <= COLD_LIGHT * part => (COLD_LIGHT * part, COLD_HEAVY * part),
            _ => (0.0, COLD_CHANCE * part),
        }
    }

    /// Share of the gateways that the draw lets send to an engine: those who may are to find it free.
    pub(crate) fn let_in(&self, e: &Engine) -> f64 {
        match self.cold_parts(e) {
            (fits, drawn) if self.warmth(e) < 1.0 && fits <= 0.0 => (drawn / self.least_charge()).min(1.0),
            _ => 1.0,
        }
    }
}
