//! Suspicions: their duration, which confirmations by other members shorten (Lifeguard's dogpile), and the
//! final probes before they expire.

use super::duration::duration_from_ms;
use crate::config::ProtocolConfig;
use crate::{TimeDelta, Timestamp};
use sprucelink_float_math::{ln, log10};
use std::collections::BTreeSet;

/// Number of final probes before a suspicion expires.
const FINAL_PROBE_COUNT: u32 = 5;
/// Interval of final probes, as a multiple of the probe time-out: an answer can arrive before the next probe.
const FINAL_PROBE_INTERVAL_TIMEOUTS: f64 = 1.2;
/// Minimum fleet size, in members, assumed in computing the minimum duration of a suspicion.
const MIN_FLEET_SIZE: f64 = 10.0;

/// Interval of final probes at the configured probe time-out.
pub(super) fn final_probe_interval(config: &ProtocolConfig) -> TimeDelta {
    duration_from_ms(config.timeout_ms * FINAL_PROBE_INTERVAL_TIMEOUTS)
}

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    began_at: Timestamp,
    min_duration: TimeDelta,
    max_duration: TimeDelta,
    /// Number of confirmations that reduce the duration to its minimum (Lifeguard's k).
    required_confirmations: u32,
    /// Names of the members that reported the suspicion, including the one that began it.
    reporters: BTreeSet<String>,
    /// Maximum number of reporters; further ones are not counted.
    max_reporters: usize,
    final_probes_sent: u32,
}

impl Suspicion {
    /// Begins a suspicion by one reporter; `live_count` is the number of live members, this one included.
    pub(super) fn begin(
        now: Timestamp,
        reporter: String,
        live_count: usize,
        config: &ProtocolConfig,
    ) -> Suspicion {
        let fleet_size = live_count as f64;
        let min_ms = config.suspicion_multiplier * log10(fleet_size.max(MIN_FLEET_SIZE)) * config.period_ms;
        // Without this limit, a suspicion in a small fleet would always last its maximum: too few members can
        // confirm it.
        let possible_confirmations = (live_count as u32).saturating_sub(2);
        let required_confirmations = config.confirmations.min(possible_confirmations);
        let max_ms =
            if required_confirmations == 0 { min_ms } else { min_ms * config.max_suspicion_multiplier };
        Suspicion {
            began_at: now,
            min_duration: duration_from_ms(min_ms),
            max_duration: duration_from_ms(max_ms),
            required_confirmations,
            reporters: BTreeSet::from([reporter]),
            max_reporters: config.confirmations as usize + 1,
            final_probes_sent: 0,
        }
    }

    /// Time at which the suspicion expires: after its maximum duration while only one member has reported it,
    /// after its minimum once the required number of other members have confirmed it, and in between by the
    /// logarithm of the number of confirmations.
    pub(super) fn expires_at(&self) -> Timestamp {
        let required = self.required_confirmations;
        let confirmations = (self.reporters.len().saturating_sub(1) as f64).min(f64::from(required));
        let fraction =
            if required == 0 { 1.0 } else { ln(confirmations + 1.0) / ln(f64::from(required + 1)) };
        let min_s = self.min_duration.as_secs_f64();
        let max_s = self.max_duration.as_secs_f64();
        let duration_s = max_s - (max_s - min_s) * fraction;
        self.began_at + TimeDelta::from_secs_f64(duration_s.max(min_s))
    }

    /// Time of the next final probe or of the expiry, whichever is earlier.
    pub(super) fn next_deadline(&self, interval: TimeDelta) -> Timestamp {
        let expires_at = self.expires_at();
        self.next_final_probe_at(interval).unwrap_or(expires_at).min(expires_at)
    }

    /// Counts a confirmation; returns false for a known reporter, and beyond the maximum number of reporters.
    pub(super) fn confirm(&mut self, reporter: &str) -> bool {
        self.reporters.len() < self.max_reporters && self.reporters.insert(reporter.to_owned())
    }

    /// Returns whether a final probe is due, and if so counts it as sent.
    pub(super) fn take_final_probe(&mut self, now: Timestamp, interval: TimeDelta) -> bool {
        let is_due = self.next_final_probe_at(interval).is_some_and(|at| at <= now);
        if is_due {
            self.final_probes_sent += 1;
        }
        is_due
    }

    /// Extends the suspicion by the time for which this member was stopped.
    pub(super) fn extend(&mut self, by: TimeDelta) {
        self.began_at = self.began_at + by;
    }

    /// Time at which the next final probe is due; `None` once all were sent.
    fn next_final_probe_at(&self, interval: TimeDelta) -> Option<Timestamp> {
        let remaining =
            FINAL_PROBE_COUNT.checked_sub(self.final_probes_sent).filter(|remaining| *remaining > 0)?;
        let lead = TimeDelta::from_micros(interval.as_micros() * i64::from(remaining));
        Some(self.expires_at() - lead)
    }
}
