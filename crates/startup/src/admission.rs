//! Admission that warms: how many requests a manager that has just started takes in hand.
//!
//! A manager that starts knows no engine's pace, no class's true cost and no price; what it takes at once
//! rests on first guesses, and hundreds that start together guess alike. Here a starting manager takes at
//! most `first` requests in hand; every request served raises the bound by `gain` (with a gain of 1 it doubles
//! about once a round of answers, as TCP's slow start does, RFC 5681 section 3.1), and every sign that engines are full cuts it
//! (multiplicative decrease). After `warm_ms`, or once the bound has reached `open_at`, nothing is bounded
//! here any more: the decision module's tolls decide alone, from beliefs it has learned.
//!
//! What is over the bound is refused at once and told when to come back: the time in which the requests in
//! hand drain at the mean latency seen, jittered by half either way so that clients refused together do not
//! return together.

use crate::{TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Latency taken for the mean before an answer tells, and the weight of one answer in it.
const FIRST_LATENCY: TimeDelta = TimeDelta::from_millis(200);
const LATENCY_STEP: f64 = 0.2;
/// Bounds of the advice to come back: under the first a client meets the same moment, over the second the
/// warm-up has moved on.
const COME_BACK: [TimeDelta; 2] = [TimeDelta::from_millis(100), TimeDelta::from_millis(2_000)];
/// The bound never falls under this: one request in hand at least finds out whether things are better.
const LEAST: f64 = 1.0;

/// The figures of the warming admission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionTerms {
    /// Requests in hand that a start takes at first; 1 to 10,000.
    pub first: f64,
    /// Rise of the bound for each request served; 0.01 to 10.
    pub gain: f64,
    /// The bound is multiplied by this when an engine turns an attempt away as full or fails it; 0.1 to 1.
    pub cut: f64,
    /// The bound binds for so long after the start at most, in milliseconds; 0 (off) to 120,000.
    pub warm_ms: f64,
    /// At this bound the warm-up is over; `first` to 100,000.
    pub open_at: f64,
}

impl Default for AdmissionTerms {
    fn default() -> AdmissionTerms {
        AdmissionTerms { first: 16.0, gain: 1.0, cut: 0.7, warm_ms: 5_000.0, open_at: 128.0 }
    }
}

impl AdmissionTerms {
    /// What is wrong with the figures, if anything: the field and the rule.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("first", self.first, 1.0, 10_000.0)?;
        check_range("gain", self.gain, 0.01, 10.0)?;
        check_range("cut", self.cut, 0.1, 1.0)?;
        check_range("warm_ms", self.warm_ms, 0.0, 120_000.0)?;
        check_range("open_at", self.open_at, self.first, 100_000.0)
    }
}

/// One manager's admission in its warm-up.
#[derive(Clone, Debug)]
pub struct WarmAdmission {
    terms: AdmissionTerms,
    rng: ChaCha8Rng,
    until: Timestamp,
    bound: f64,
    latency: f64,
    over: bool,
    refused: u64,
}

impl WarmAdmission {
    /// The admission of a manager that starts now; `seed` for the jitter of its advice.
    pub fn new(terms: AdmissionTerms, seed: u64, now: Timestamp) -> WarmAdmission {
        WarmAdmission {
            until: now + TimeDelta::from_secs_f64(terms.warm_ms / 1_000.0),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xad31_5510),
            bound: terms.first,
            latency: FIRST_LATENCY.as_secs_f64(),
            over: terms.warm_ms <= 0.0,
            refused: 0,
            terms,
        }
    }

    /// A request came while `in_hand` others are open: `Ok` if it may be taken, else when to come back.
    pub fn admit(&mut self, now: Timestamp, in_hand: usize) -> Result<(), TimeDelta> {
        self.over |= now >= self.until;
        if self.over || (in_hand as f64) < self.bound {
            return Ok(());
        }
        self.refused += 1;
        let rounds = in_hand as f64 / self.bound;
        let wait = self.latency * rounds * self.rng.gen_range(0.5..=1.5);
        Err(TimeDelta::from_secs_f64(wait).max(COME_BACK[0]).min(COME_BACK[1]))
    }

    /// A request was served `latency` after it came.
    pub fn served(&mut self, latency: TimeDelta) {
        self.latency += LATENCY_STEP * (latency.as_secs_f64().max(0.0) - self.latency);
        self.bound = (self.bound + self.terms.gain).min(self.terms.open_at);
        self.over |= self.bound >= self.terms.open_at;
    }

    /// An engine turned an attempt away as full, or failed it.
    pub fn pushed_back(&mut self) {
        self.bound = (self.bound * self.terms.cut).max(LEAST);
    }

    /// Whether the warm-up is over: nothing is refused here any more.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Requests refused here so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Requests in hand that are taken now.
    pub fn bound(&self) -> f64 {
        self.bound
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
