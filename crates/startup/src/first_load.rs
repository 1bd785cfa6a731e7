//! A starting manager's first load on cold engines.
//!
//! The decision module gives each manager an even part of what a cold engine bears (`cold_budget`: the engine's
//! budget over the managers told), and of that, to one that just started, half for one span: it has forgotten
//! what it sent before. Where most of a fleet starts at once that is a step which all take in the same second.
//! Here the part rises evenly instead, from `from` to the whole over `over_ms` after the start. The sum over
//! all managers then never passes the engine's budget, whatever they sent in a life before, as long as
//! `from` and the slope leave room for it: with `over_ms` of two spans, what a manager may send within one span
//! of its start is under `from + 0.5` of its part.
//!
//! Envoy's slow start and HAProxy's `slowstart` ramp the weight of a *server* that came up, in each proxy for
//! itself; here the ramp is of the *manager* that came up, on top of the server's own warmth, and both are
//! parts of one budget for the whole fleet.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// The figures of the ramp. The decision module carries it out (`Settings::cold_ramp`).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FirstLoadTerms {
    /// Share of this manager's part at the start; 0.01 to 1.
    pub from: f64,
    /// Time to the whole part, in milliseconds; 0 (off: the module's own step) to 120,000.
    pub over_ms: f64,
}

impl Default for FirstLoadTerms {
    fn default() -> FirstLoadTerms {
        FirstLoadTerms { from: 0.1, over_ms: 4_000.0 }
    }
}

impl FirstLoadTerms {
    /// What is wrong with the figures, if anything.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("from", self.from, 0.01, 1.0)?;
        check_range("over_ms", self.over_ms, 0.0, 120_000.0)
    }

    /// The module's setting: the share at the start and the seconds in which it would rise by one; `None`
    /// where the ramp is off.
    pub fn ramp(&self) -> Option<(f64, f64)> {
        let rise = (1.0 - self.from).max(1e-9);
        (self.over_ms > 0.0).then_some((self.from, self.over_ms / 1_000.0 / rise))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_ramp_reaches_the_whole_part_at_its_end() {
        let (from, over) = FirstLoadTerms::default().ramp().expect("on");
        let share = |t: f64| (from + t / over).min(1.0);
        assert_eq!(share(0.0), 0.1);
        assert!((share(2.0) - 0.55).abs() < 1e-9, "half way: {}", share(2.0));
        assert!(share(3.9) < 1.0 && (share(4.0) - 1.0).abs() < 1e-9);
        assert_eq!(FirstLoadTerms { over_ms: 0.0, ..Default::default() }.ramp(), None);
        assert!(FirstLoadTerms { from: 1.0, ..Default::default() }.ramp().expect("on").1.is_finite());
    }

    #[test]
    fn figures_out_of_range_are_named() {
        assert!(FirstLoadTerms { from: 0.0, over_ms: 1.0 }.validate().unwrap_err().path.starts_with("from"));
        assert!(FirstLoadTerms { from: 0.5, over_ms: -1.0 }
            .validate()
            .unwrap_err()
            .path
            .starts_with("over_ms"));
    }
}
