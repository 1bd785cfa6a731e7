//! Suspicions: how long one lasts (Lifeguard's dogpile), and the final probes before it expires.

use super::duration::duration_from_ms;
use crate::config::ProtocolConfig;
use crate::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Number of final probes before a suspicion expires.
const FINAL_PROBES: u32 = 5;
/// Interval of final probes, in time-outs of a probe: an answer can arrive in between.
const FINAL_PROBE_INTERVAL: f64 = 1.2;
/// Smallest fleet size, in members, that the minimum duration of a suspicion is computed for.
const MIN_FLEET_SIZE: f64 = 10.0;

/// Interval of final probes.
pub(super) fn final_probe_interval(config: &ProtocolConfig) -> TimeDelta {
    duration_from_ms(config.timeout_ms * FINAL_PROBE_INTERVAL)
}

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    began_at: Timestamp,
    min_duration: TimeDelta,
    max_duration: TimeDelta,
    /// Confirmations that bring the duration to its minimum (Lifeguard's k).
    wanted_confirmations: u32,
    /// Who suspects the member, the first included.
    reporters: BTreeSet<String>,
    /// Reporters beyond this number are not counted.
    max_reporters: usize,
    final_probes_sent: u32,
}

impl Suspicion {
    /// A suspicion that one reporter begins now; `live_count` is the number of live members, this one included.
    pub(super) fn begin(
        now: Timestamp,
        reporter: String,
        live_count: usize,
        config: &ProtocolConfig,
    ) -> Suspicion {
        let fleet_size = live_count as f64;
        let min_ms = config.suspicion_multiplier * fleet_size.max(MIN_FLEET_SIZE).log10() * config.period_ms;
        // With too few others to confirm it a suspicion would always last its maximum.
        let possible_confirmations = (live_count as u32).saturating_sub(2);
        let wanted_confirmations = config.confirmations.min(possible_confirmations);
        let max_ms =
            if wanted_confirmations == 0 { min_ms } else { min_ms * config.max_suspicion_multiplier };
        Suspicion {
            began_at: now,
            min_duration: duration_from_ms(min_ms),
            max_duration: duration_from_ms(max_ms),
            wanted_confirmations,
            reporters: BTreeSet::from([reporter]),
            max_reporters: config.confirmations as usize + 1,
            final_probes_sent: 0,
        }
    }

    /// When it expires: after its maximum while one member alone suspects, after its minimum once enough others have
    /// confirmed, and with the logarithm of the confirmations in between.
    pub(super) fn expires_at(&self) -> Timestamp {
        let wanted = self.wanted_confirmations;
        let confirmations = (self.reporters.len().saturating_sub(1) as f64).min(f64::from(wanted));
        let fraction =
            if wanted == 0 { 1.0 } else { (confirmations + 1.0).ln() / f64::from(wanted + 1).ln() };
        let min_s = self.min_duration.as_secs_f64();
        let max_s = self.max_duration.as_secs_f64();
        let duration_s = max_s - (max_s - min_s) * fraction;
        self.began_at + TimeDelta::from_secs_f64(duration_s.max(min_s))
    }

    /// When something is due: the next final probe or the expiry.
    pub(super) fn next_deadline(&self, interval: TimeDelta) -> Timestamp {
        let expires_at = self.expires_at();
        self.next_final_probe_at(interval).unwrap_or(expires_at).min(expires_at)
    }

    /// Counts a confirmation; returns whether it is from a new reporter and still counts.
    pub(super) fn confirm(&mut self, reporter: &str) -> bool {
        self.reporters.len() < self.max_reporters && self.reporters.insert(reporter.to_owned())
    }

    /// Whether a final probe is due, which then counts as sent.
    pub(super) fn take_final_probe(&mut self, now: Timestamp, interval: TimeDelta) -> bool {
        let is_due = self.next_final_probe_at(interval).is_some_and(|at| at <= now);
        if is_due {
            self.final_probes_sent += 1;
        }
        is_due
    }

    /// Extends it by time in which this member was stopped.
    pub(super) fn extend(&mut self, by: TimeDelta) {
        self.began_at = self.began_at + by;
    }

    /// When the next final probe is due; `None` once all were sent.
    fn next_final_probe_at(&self, interval: TimeDelta) -> Option<Timestamp> {
        let remaining =
            FINAL_PROBES.checked_sub(self.final_probes_sent).filter(|remaining| *remaining > 0)?;
        let lead = TimeDelta::from_micros(interval.as_micros() * i64::from(remaining));
        Some(self.expires_at() - lead)
    }
}
