//! When a manager may dial a new connection to an engine.
//!
//! Managers that start together (a release, a crash of most of the fleet) would dial their engines in the
//! same milliseconds, and an engine's accept queue and session table meet the sum. Here each new connection
//! of a manager's warm-up waits for its slot: a point in a stage of `stage_ms`, fixed by a hash of the
//! manager's name and the engine's id, so that the dials of all managers to one engine spread evenly over
//! the stage and those of one manager spread over its engines. After the warm-up, and at all times, a
//! bucket bounds new connections a second; a dial never waits longer than one stage and one token.

use crate::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};
use sprucelink_stable_hash::{stable_hash, unit};

/// The figures of dials.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DialTerms {
    /// Length of the stage over which first dials spread, in milliseconds; 0 (off) to 500.
    pub stage_ms: f64,
    /// How long after the start dials are staged, in milliseconds; 0 to 120,000.
    pub warm_ms: f64,
    /// New connections a second that one manager may open, after its burst; 1 to 10,000.
    pub rate: f64,
    /// New connections that may open in a row; 1 to 1,000.
    pub burst: f64,
}

impl Default for DialTerms {
    fn default() -> DialTerms {
        DialTerms { stage_ms: 100.0, warm_ms: 10_000.0, rate: 50.0, burst: 16.0 }
    }
}

impl DialTerms {
    /// What is wrong with the figures, if anything: the field and the rule.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("stage_ms", self.stage_ms, 0.0, 500.0)?;
        check_range("warm_ms", self.warm_ms, 0.0, 120_000.0)?;
        check_range("rate", self.rate, 1.0, 10_000.0)?;
        check_range("burst", self.burst, 1.0, 1_000.0)
    }
}

/// One manager's dials.
#[derive(Clone, Debug)]
pub struct DialStager {
    terms: DialTerms,
    manager: Vec<u8>,
    born: Timestamp,
    /// The generic cell rate algorithm's theoretical arrival time: the bucket as one instant.
    tat: Timestamp,
    staged: u64,
}

impl DialStager {
    /// The dials of manager `name`, started now.
    pub fn new(terms: DialTerms, name: &str, now: Timestamp) -> DialStager {
        DialStager { terms, manager: name.as_bytes().to_vec(), born: now, tat: now, staged: 0 }
    }

    /// Where in the stage this manager's first dial to `engine` lies, as a share of it.
    pub fn slot(&self, engine: &str) -> f64 {
        unit(stable_hash(&[&self.manager, engine.as_bytes()]))
    }

    /// A new connection to `engine` is wanted now: when it may be dialled. Its place in the budget is taken
    /// (the generic cell rate algorithm: a bucket of `burst` at `rate`); while dials are wanted no faster
    /// than the rate, the time is `now` or later by at most one stage and one dial's share of a second.
    pub fn dial_at(&mut self, now: Timestamp, engine: &str) -> Timestamp {
        let stage = TimeDelta::from_secs_f64(self.terms.stage_ms / 1_000.0);
        let mut at = now;
        if stage > TimeDelta::ZERO && now - self.born < TimeDelta::from_secs_f64(self.terms.warm_ms / 1_000.0)
        {
            // The next point of this slot, stage by stage from the start.
            let offset = TimeDelta::from_micros((self.slot(engine) * stage.as_micros() as f64) as i64);
            let since = (now - self.born - offset).as_micros();
            let stages = if since <= 0 { 0 } else { (since + stage.as_micros() - 1) / stage.as_micros() };
            at = self.born + offset + TimeDelta::from_micros(stages * stage.as_micros());
            self.staged += u64::from(at > now);
        }
        let every = TimeDelta::from_secs_f64(1.0 / self.terms.rate);
        let tolerance = TimeDelta::from_secs_f64((self.terms.burst - 1.0) / self.terms.rate);
        at = at.max(self.tat - tolerance);
        self.tat = self.tat.max(at) + every;
        at
    }

    /// Dials that had to wait for their slot so far.
    pub fn staged(&self) -> u64 {
        self.staged
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: i64 = 1_000;

    #[test]
    fn first_dials_of_many_managers_to_one_engine_spread_over_the_stage() {
        let mut tenths = [0u32; 10];
        for m in 0..1000 {
            let mut dials = DialStager::new(DialTerms::default(), &format!("n{m}"), Timestamp::ZERO);
            let at = dials.dial_at(Timestamp::ZERO, "s-00c41f7a");
            assert!((0..=100 * MS).contains(&at.as_micros()), "{at:?}");
            tenths[((at.as_micros() / (10 * MS)) as usize).min(9)] += 1;
        }
        assert!(tenths.iter().all(|n| (60..=140).contains(n)), "{tenths:?}");
    }

    #[test]
    fn no_dial_waits_longer_than_a_stage_and_a_token() {
        let terms = DialTerms::default();
        let mut dials = DialStager::new(terms, "n1", Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        // 40 dials a second, under the rate of 50.
        for i in 0..500 {
            let at = dials.dial_at(now, &format!("s-{i}"));
            assert!(at >= now);
            assert!((at - now).as_micros() <= 100 * MS + 20 * MS + 1, "dial {i} waits {:?}", at - now);
            now = now + TimeDelta::from_micros(25 * MS);
        }
    }

    #[test]
    fn after_the_warm_up_only_the_budget_holds_a_dial() {
        let terms = DialTerms { warm_ms: 1_000.0, ..DialTerms::default() };
        let mut dials = DialStager::new(terms, "n1", Timestamp::ZERO);
        let late = Timestamp::from_micros(2_000 * MS);
        assert_eq!(dials.dial_at(late, "s-1"), late);
        // A burst of 16, then 50 a second.
        for i in 1..16 {
            assert_eq!(dials.dial_at(late, &format!("s-{}", i + 1)), late);
        }
        let next = dials.dial_at(late, "s-99");
        assert!((next - late).as_micros() >= 19 * MS && (next - late).as_micros() <= 21 * MS, "{next:?}");
    }

    #[test]
    fn a_stage_of_zero_stages_nothing() {
        let terms = DialTerms { stage_ms: 0.0, ..DialTerms::default() };
        let mut dials = DialStager::new(terms, "n1", Timestamp::ZERO);
        assert_eq!(dials.dial_at(Timestamp::from_micros(5), "s-1"), Timestamp::from_micros(5));
        assert_eq!(dials.staged(), 0);
    }
}
