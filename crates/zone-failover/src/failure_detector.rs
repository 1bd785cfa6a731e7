//! Detects engines that do not respond to this manager, and remembers them as suspected for a limited time.
//!
//! An attempt that gets no response is cancelled, and is then no longer evidence that its engine is
//! unresponsive. If the evidence were discarded each time, the state of a completely unresponsive zone would
//! look unknown. So an engine counts as unresponsive until any engine of its zone responds, for 30 s at most.

use crate::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An engine that responded within this time is responsive.
const RESPONSIVE_WITHIN: TimeDelta = TimeDelta::from_secs(2);
/// An engine with overdue attempts that has not responded for this time is unresponsive.
const UNRESPONSIVE_AFTER: TimeDelta = TimeDelta::from_millis(300);
/// Longest time for which an engine is remembered as unresponsive.
const MAX_SUSPICION_AGE: TimeDelta = TimeDelta::from_secs(30);

/// A manager's observations of the responses of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineContact {
    /// Index of the engine.
    pub engine: u32,
    /// Index of the engine's zone.
    pub zone: u32,
    /// Time at which the engine last sent an answer or a progress note; `None` if it never did.
    pub last_response_at: Option<Timestamp>,
    /// Whether the engine accepts work but never responds, or no connection to it can be established.
    pub is_silent: bool,
    /// Whether attempts at the engine are overdue.
    pub has_overdue_attempts: bool,
}

/// Whether an engine responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responsiveness {
    /// The engine does not respond.
    Unresponsive,
    /// The engine responded recently.
    Responsive,
    /// The engine has neither responded recently nor failed to respond, for example because nothing was sent
    /// to it.
    Unknown,
}

/// Whether an engine responds now, without regard to earlier suspicions.
pub fn current_responsiveness(now: Timestamp, contact: &EngineContact) -> Responsiveness {
    let responded_within = |span: TimeDelta| contact.last_response_at.is_some_and(|at| now - at < span);
    let is_overdue = contact.has_overdue_attempts && !responded_within(UNRESPONSIVE_AFTER);
    if contact.is_silent || is_overdue {
        Responsiveness::Unresponsive
    } else if responded_within(RESPONSIVE_WITHIN) {
        Responsiveness::Responsive
    } else {
        Responsiveness::Unknown
    }
}

/// The suspicion that an engine is unresponsive.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Index of the engine's zone.
    zone: u32,
    /// Time at which the engine was found unresponsive.
    since: Timestamp,
}

/// Remembers the engines that were found unresponsive.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    /// At most one suspicion of each engine, by the engine's index.
    suspected: BTreeMap<u32, Suspicion>,
}

impl FailureDetector {
    /// Whether the engine with this index was found unresponsive and no engine of its zone has responded
    /// since; false after 30 s.
    pub fn is_suspected(&self, engine: u32) -> bool {
        self.suspected.contains_key(&engine)
    }

    /// Returns whether each engine responds, in the order of `contacts`: an engine that is still suspected
    /// counts as unresponsive. Engines that are found unresponsive now become suspected.
    pub fn update(&mut self, now: Timestamp, contacts: &[EngineContact]) -> Vec<Responsiveness> {
        self.remove_outdated(now, contacts);
        contacts.iter().map(|contact| self.update_engine(now, contact)).collect()
    }

    /// Removes the suspicions that are too old, and the suspicions of engines in whose zone an engine has
    /// responded since.
    fn remove_outdated(&mut self, now: Timestamp, contacts: &[EngineContact]) {
        let mut zone_responded_at: BTreeMap<u32, Timestamp> = BTreeMap::new();
        for contact in contacts {
            let Some(responded_at) = contact.last_response_at else { continue };
            let latest = zone_responded_at.entry(contact.zone).or_insert(responded_at);
            *latest = responded_at.max(*latest);
        }
        self.suspected.retain(|_, suspicion| {
            let has_stayed_silent =
                zone_responded_at.get(&suspicion.zone).is_none_or(|at| *at < suspicion.since);
            has_stayed_silent && now - suspicion.since < MAX_SUSPICION_AGE
        });
    }

    fn update_engine(&mut self, now: Timestamp, contact: &EngineContact) -> Responsiveness {
        let current = current_responsiveness(now, contact);
        if current == Responsiveness::Unresponsive {
            let suspicion = Suspicion { zone: contact.zone, since: now };
            self.suspected.entry(contact.engine).or_insert(suspicion);
        }
        if self.is_suspected(contact.engine) {
            Responsiveness::Unresponsive
        } else {
            current
        }
    }
}
