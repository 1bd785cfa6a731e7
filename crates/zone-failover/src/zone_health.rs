//! Decides, from evidence and with hysteresis, whether a zone is ejected.
//!
//! Evidence is ranked, so that managers with the same information come to the same state: first the endpoint
//! list, if it no longer names most of the zone's cores; then, if enough managers outside the zone report on
//! the zone, their quorum, which overrules a manager's own connections; otherwise the manager's own
//! connections. A state changes only when evidence has persisted or been absent for the configured time. A
//! zone that is ejected again soon after it began to recover must be without evidence for longer each time,
//! as in Envoy's outlier detection.
//!
//! This module ejects a zone as a whole: the zone's weight is lowered, and no engine is ejected. The policy
//! has another rule (`outlier_detection`), which at once ejects each engine of a zone that this manager
//! cannot reach, and which applies even if failover is off.

use crate::config::FailoverConfig;
use crate::{TimeDelta, Timestamp, ZoneObservation};
use sprucelink_float_math::exp;
use std::fmt;

/// A zone's known cores are the maximum that was listed within this time.
const CAPACITY_MEMORY: TimeDelta = TimeDelta::from_secs(120);
/// A zone that is ejected within this time after its recovery began is flapping: the time without evidence
/// that its next recovery requires is doubled.
const FLAPPING_WITHIN: TimeDelta = TimeDelta::from_secs(60);
/// Largest number of doublings of the time without evidence that a recovery requires.
const MAX_DOUBLINGS: u32 = 16;
/// Time constant over which a zone's load is smoothed, in seconds.
const LOAD_SMOOTHING_S: f64 = 3.0;
/// Fraction of a zone's healthy capacity that counts when the zone begins to recover.
const INITIAL_FRACTION: f64 = 0.1;

/// State of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone serves its requests.
    Healthy,
    /// The zone gets only requests that no other zone can take.
    Ejected,
    /// The evidence against the zone was absent for long enough, and its fraction of requests rises
    /// gradually.
    Recovering,
}

/// Evidence that a zone must be ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The endpoint list names too few of the zone's cores.
    EndpointList,
    /// A quorum of managers outside the zone cannot reach it.
    Quorum,
    /// The zone's engines do not respond to this manager.
    OwnConnections,
}

/// A change of a zone's state.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthChange {
    /// The zone was ejected.
    Ejected {
        /// Evidence for the ejection.
        evidence: Evidence,
        /// Known cores of the zone: the maximum that was listed recently.
        known_cores: f64,
        /// Observation that completed the change.
        observation: ZoneObservation,
    },
    /// The zone began to recover.
    Recovering {
        /// Known cores of the zone: the maximum that was listed recently.
        known_cores: f64,
        /// Observation that completed the change.
        observation: ZoneObservation,
    },
    /// The zone has its full fraction of requests again.
    Healthy,
}

/// The evidence of the highest rank against a zone with `known_cores` known cores; `None` if there is none.
pub fn find_evidence(
    config: &FailoverConfig,
    known_cores: f64,
    observed: &ZoneObservation,
) -> Option<Evidence> {
    if known_cores > 0.0 && observed.listed_cores < config.min_listed_fraction * known_cores {
        return Some(Evidence::EndpointList);
    }
    let is_unresponsive = is_unresponsive(config, observed);
    if observed.observers >= config.min_observers {
        return is_unreachable_by_quorum(config, observed, is_unresponsive).then_some(Evidence::Quorum);
    }
    is_unresponsive.then_some(Evidence::OwnConnections)
}

/// Whether enough of a zone's engines do not respond to this manager for the zone to be ejected.
fn is_unresponsive(config: &FailoverConfig, observed: &ZoneObservation) -> bool {
    let unresponsive = f64::from(observed.unresponsive);
    let contacted = unresponsive + f64::from(observed.responsive);
    observed.unresponsive >= config.min_unresponsive_engines.min(observed.engines.max(1))
        && unresponsive >= config.min_unresponsive_fraction * contacted
}

/// Whether a quorum of managers cannot reach a zone. This manager votes, too, if it has contacted an engine
/// of the zone.
fn is_unreachable_by_quorum(
    config: &FailoverConfig,
    observed: &ZoneObservation,
    is_unresponsive: bool,
) -> bool {
    let has_contact = observed.unresponsive > 0 || observed.responsive > 0;
    let voters = observed.observers + u32::from(has_contact);
    let votes = observed.unreachable_for + u32::from(is_unresponsive);
    f64::from(votes) >= config.quorum_fraction * f64::from(voters)
}

/// The state of one zone, and the history from which it is derived.
#[derive(Clone, Debug)]
pub struct ZoneHealth {
    state: ZoneState,
    /// Time of the last change of `state`.
    state_since: Timestamp,
    /// Time since which the evidence has contradicted the state; `None` if it does not.
    contradicted_since: Option<Timestamp>,
    /// Time at which the last recovery began; `None` if the zone has not recovered yet.
    recovery_began_at: Option<Timestamp>,
    /// Number of ejections in a row that each came within [`FLAPPING_WITHIN`] of the start of a recovery.
    flaps: u32,
    /// Largest number of cores listed within [`CAPACITY_MEMORY`].
    known_cores: f64,
    /// Time at which the list last named `known_cores` cores.
    known_cores_listed_at: Timestamp,
    /// Smoothed load, in threads.
    load: f64,
    load_updated_at: Option<Timestamp>,
}

impl ZoneHealth {
    /// The initial state of a zone, which is healthy. `listed_cores`: the number of cores listed now.
    pub fn new(listed_cores: f64) -> ZoneHealth {
        ZoneHealth {
            state: ZoneState::Healthy,
            state_since: Timestamp::ZERO,
            contradicted_since: None,
            recovery_began_at: None,
            flaps: 0,
            known_cores: listed_cores,
            known_cores_listed_at: Timestamp::ZERO,
            load: 0.0,
            load_updated_at: None,
        }
    }

    /// The zone's state after the last update.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// The zone's known cores: the maximum that was listed recently.
    pub fn known_cores(&self) -> f64 {
        self.known_cores
    }

    /// The zone's load in threads, smoothed, since single load reports vary widely.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Whether the known cores are outdated, because the list last named that many cores longer than
    /// [`CAPACITY_MEMORY`] ago. If the zone is no longer observed either, its state can be dropped.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now - self.known_cores_listed_at > CAPACITY_MEMORY
    }

    /// The fraction of the zone's healthy capacity that counts: 0 while the zone is ejected, rising linearly
    /// from [`INITIAL_FRACTION`] to 1 while it recovers, and otherwise 1.
    pub fn capacity_fraction(&self, now: Timestamp, config: &FailoverConfig) -> f64 {
        match self.state {
            ZoneState::Healthy => 1.0,
            ZoneState::Ejected => 0.0,
            ZoneState::Recovering if config.ramp_ms <= 0.0 => 1.0,
            ZoneState::Recovering => {
                let ramped = (now - self.state_since).as_secs_f64() * 1e3 / config.ramp_ms;
                (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * ramped).clamp(INITIAL_FRACTION, 1.0)
            }
        }
    }

    /// Updates the zone's state from an observation; returns the change of state, if there is one.
    pub fn update(
        &mut self,
        now: Timestamp,
        config: &FailoverConfig,
        observed: &ZoneObservation,
    ) -> Option<HealthChange> {
        self.update_known_cores(now, observed.listed_cores);
        self.update_load(now, observed.load);
        let evidence = find_evidence(config, self.known_cores, observed);
        if !self.is_contradicted(evidence) {
            self.contradicted_since = None;
            return self.complete_recovery(now, config);
        }
        if !self.record_contradiction(now, config, evidence) {
            return None;
        }
        self.contradicted_since = None;
        self.state_since = now;
        Some(match evidence {
            Some(evidence) => self.eject(now, evidence, observed),
            None => self.begin_recovery(now, observed),
        })
    }

    /// Whether the evidence contradicts the state: there is evidence against a zone that is healthy or
    /// recovering, or there is none against a zone that is ejected.
    fn is_contradicted(&self, evidence: Option<Evidence>) -> bool {
        let is_ejected = self.state == ZoneState::Ejected;
        evidence.is_some() != is_ejected
    }

    /// Records that the evidence contradicts the state at `now`; returns whether the contradiction has lasted
    /// long enough for the state to change.
    fn record_contradiction(
        &mut self,
        now: Timestamp,
        config: &FailoverConfig,
        evidence: Option<Evidence>,
    ) -> bool {
        let since = *self.contradicted_since.get_or_insert(now);
        let delay = match evidence {
            Some(_) => from_millis(config.eject_after_ms),
            None => self.recovery_delay(config),
        };
        now - since >= delay
    }

    fn update_known_cores(&mut self, now: Timestamp, listed_cores: f64) {
        if listed_cores >= self.known_cores || self.is_expired(now) {
            self.known_cores = listed_cores;
            self.known_cores_listed_at = now;
        }
    }

    fn update_load(&mut self, now: Timestamp, load: f64) {
        let elapsed = self.load_updated_at.map_or(f64::INFINITY, |at| (now - at).as_secs_f64().max(0.0));
        let weight = 1.0 - exp(-elapsed / LOAD_SMOOTHING_S);
        self.load += weight * (load - self.load);
        self.load_updated_at = Some(now);
    }

    /// Time for which evidence must be absent until the zone begins to recover.
    fn recovery_delay(&self, config: &FailoverConfig) -> TimeDelta {
        let factor = f64::from(2u32.saturating_pow(self.flaps.min(MAX_DOUBLINGS)));
        from_millis((config.recover_after_ms * factor).min(config.max_recover_after_ms))
    }

    fn eject(&mut self, now: Timestamp, evidence: Evidence, observed: &ZoneObservation) -> HealthChange {
        let is_flapping = self.recovery_began_at.is_some_and(|at| now - at < FLAPPING_WITHIN);
        self.flaps = if is_flapping { self.flaps + 1 } else { 0 };
        self.state = ZoneState::Ejected;
        HealthChange::Ejected { evidence, known_cores: self.known_cores, observation: *observed }
    }

    fn begin_recovery(&mut self, now: Timestamp, observed: &ZoneObservation) -> HealthChange {
        self.state = ZoneState::Recovering;
        self.recovery_began_at = Some(now);
        HealthChange::Recovering { known_cores: self.known_cores, observation: *observed }
    }

    fn complete_recovery(&mut self, now: Timestamp, config: &FailoverConfig) -> Option<HealthChange> {
        if self.state != ZoneState::Recovering || self.capacity_fraction(now, config) < 1.0 {
            return None;
        }
        self.state = ZoneState::Healthy;
        self.state_since = now;
        Some(HealthChange::Healthy)
    }
}

fn from_millis(millis: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(millis / 1e3)
}

impl fmt::Display for HealthChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HealthChange::Ejected { evidence, known_cores, observation } => {
                f.write_str("ejected by ")?;
                write_reason(f, *evidence, *known_cores, observation)?;
                f.write_str(managers_suffix(observation))
            }
            HealthChange::Recovering { known_cores, observation } => {
                let ZoneObservation { responsive, healthy_cores: healthy, .. } = observation;
                write!(f, "recovering: {responsive} engines responsive, {healthy:.1} of {known_cores:.1} cores healthy")
            }
            HealthChange::Healthy => f.write_str("healthy: gets its full fraction of requests again"),
        }
    }
}

fn write_reason(
    f: &mut fmt::Formatter<'_>,
    evidence: Evidence,
    known_cores: f64,
    observed: &ZoneObservation,
) -> fmt::Result {
    match evidence {
        Evidence::EndpointList => {
            write!(f, "the endpoint list: {:.1} of {known_cores:.1} cores listed", observed.listed_cores)
        }
        Evidence::Quorum => {
            let ZoneObservation { unreachable_for, observers, .. } = observed;
            write!(f, "a quorum: {unreachable_for} of {observers} managers outside cannot reach it")
        }
        Evidence::OwnConnections => {
            let ZoneObservation { unresponsive, engines, responsive, .. } = observed;
            write!(
                f,
                "own connections: {unresponsive} of {engines} engines unresponsive, {responsive} responsive"
            )
        }
    }
}

/// Log text that states, from the liveness of the zone's managers, whether only the zone's engines or the
/// complete zone is unreachable; empty if no manager of the zone is known.
fn managers_suffix(observed: &ZoneObservation) -> &'static str {
    match (observed.managers, observed.live_managers) {
        (0, _) => "",
        (_, 0) => "; its managers are silent, too: isolated or dead",
        _ => "; its managers are alive: its engines are down",
    }
}
