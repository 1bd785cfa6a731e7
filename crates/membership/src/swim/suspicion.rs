//! Suspicions: how long one lasts (Lifeguard's dogpile), and the final probes before it expires.

use super::event::MembershipEventKind;
use super::node::SwimNode;
use crate::message::{Member, MemberState, MessageKind, Update};
use crate::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Final probes before a suspicion expires.
const FINAL_PROBES: u32 = 5;
/// Interval of final probes, in time-outs of a probe: an answer can arrive in between.
const FINAL_PROBE_INTERVAL: f64 = 1.2;
/// Smallest size of the fleet that the minimum of a suspicion is computed for.
const MIN_FLEET_SIZE: f64 = 10.0;

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
    final_probes_sent: u32,
}

impl Suspicion {
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

    /// When the next final probe is due; `None` once all were sent.
    fn next_final_probe_at(&self, interval: TimeDelta) -> Option<Timestamp> {
        let remaining =
            FINAL_PROBES.checked_sub(self.final_probes_sent).filter(|remaining| *remaining > 0)?;
        let lead = TimeDelta::from_micros(interval.as_micros() * i64::from(remaining));
        Some(self.expires_at() - lead)
    }

    /// When something is due: the next final probe or the expiry.
    fn next_deadline(&self, interval: TimeDelta) -> Timestamp {
        let expires_at = self.expires_at();
        self.next_final_probe_at(interval).unwrap_or(expires_at).min(expires_at)
    }

    /// Counts a confirmation; returns whether it is a new one that is wanted.
    pub(super) fn confirm(&mut self, reporter: &str, max_reporters: usize) -> bool {
        self.reporters.len() < max_reporters && self.reporters.insert(reporter.to_owned())
    }

    /// Extends it by time in which this member was stopped.
    pub(super) fn extend(&mut self, by: TimeDelta) {
        self.began_at = self.began_at + by;
    }
}

impl SwimNode {
    /// Begins to suspect a member.
    pub(super) fn begin_suspicion(&mut self, now: Timestamp, member: Member, reported_by: String) {
        let fleet_size = self.live_count() as f64;
        let min_ms =
            self.config.suspicion_multiplier * fleet_size.max(MIN_FLEET_SIZE).log10() * self.config.period_ms;
        // With too few others to confirm it a suspicion would always last its maximum.
        let possible_confirmations = (self.live_count() as u32).saturating_sub(2);
        let wanted_confirmations = self.config.confirmations.min(possible_confirmations);
        let max_ms =
            if wanted_confirmations == 0 { min_ms } else { min_ms * self.config.max_suspicion_multiplier };
        let suspicion = Suspicion {
            began_at: now,
            min_duration: duration_from_ms(min_ms),
            max_duration: duration_from_ms(max_ms),
            wanted_confirmations,
            reporters: BTreeSet::from([reported_by.clone()]),
            final_probes_sent: 0,
        };
        let Some(entry) = self.members.get_mut(&member.name) else { return };
        entry.member.state = MemberState::Suspect;
        entry.member.incarnation = member.incarnation;
        entry.suspicion = Some(suspicion);
        entry.changed_at = now;
        let suspect = entry.member.clone();
        self.record_event(now, member.name, MembershipEventKind::Suspected, reported_by.clone());
        self.enqueue_member(suspect, reported_by);
    }

    /// Another member has the same suspicion: it expires sooner.
    pub(super) fn confirm_suspicion(&mut self, member: Member, reported_by: String) {
        let max_reporters = self.config.confirmations as usize + 1;
        let Some(entry) = self.members.get_mut(&member.name) else { return };
        let Some(suspicion) = &mut entry.suspicion else { return };
        if suspicion.confirm(&reported_by, max_reporters) {
            entry.member.incarnation = member.incarnation;
            self.enqueue_member(member, reported_by);
        }
    }

    /// When the next final probe or expiry of a suspicion is due.
    pub(super) fn next_suspicion_deadline(&self) -> Option<Timestamp> {
        let interval = self.final_probe_interval();
        let suspicions = self.members.values().filter_map(|entry| entry.suspicion.as_ref());
        suspicions.map(|suspicion| suspicion.next_deadline(interval)).min()
    }

    /// Sends suspicions that are about to expire to the suspects themselves.
    pub(super) fn send_final_probes(&mut self, now: Timestamp) {
        let interval = self.final_probe_interval();
        let mut suspects = Vec::new();
        for entry in self.members.values_mut() {
            let Some(suspicion) = &mut entry.suspicion else { continue };
            if suspicion.next_final_probe_at(interval).is_some_and(|at| at <= now) {
                suspicion.final_probes_sent += 1;
                suspects.push(entry.member.clone());
            }
        }
        for suspect in suspects {
            let sequence = self.next_sequence();
            let accusation = Update::Member { member: suspect.clone(), reported_by: self.local.name.clone() };
            let kind = MessageKind::Ping { sequence, target: suspect.name };
            self.send_with_updates(suspect.address, kind, vec![accusation]);
        }
    }

    /// Declares members dead whose suspicion has expired.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let mut expired = Vec::new();
        for entry in self.members.values() {
            if entry.suspicion.as_ref().is_some_and(|suspicion| suspicion.expires_at() <= now) {
                expired.push(Member { state: MemberState::Dead, ..entry.member.clone() });
            }
        }
        for member in expired {
            self.end_membership(now, member, self.local.name.clone());
        }
    }

    fn final_probe_interval(&self) -> TimeDelta {
        duration_from_ms(self.config.timeout_ms * FINAL_PROBE_INTERVAL)
    }
}

/// A span from milliseconds, to the nearest microsecond.
pub(super) fn duration_from_ms(ms: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(ms / 1e3)
}
