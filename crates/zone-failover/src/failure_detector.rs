//! Which engines are unresponsive to a manager, and how long that is remembered.
//!
//! An attempt that gets no response is cancelled, and with it the only sign that its engine is unresponsive. If that were
//! discarded each time, a zone that is completely unresponsive would look unknown. So an engine counts as unresponsive
//! until any engine of its zone responds.

use crate::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An engine that responded within this span is responsive.
const RESPONSIVE_WITHIN: TimeDelta = TimeDelta::from_secs(2);
/// An engine with overdue attempts that has not responded for this span is unresponsive.
const UNRESPONSIVE_AFTER: TimeDelta = TimeDelta::from_millis(300);
/// Longest time for which an engine is remembered as unresponsive.
const MAX_SUSPICION_AGE: TimeDelta = TimeDelta::from_secs(30);

/// What a manager knows of an engine's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineContact {
    /// The engine's number.
    pub engine: u32,
    /// The number of its zone.
    pub zone: u32,
    /// When the engine last sent anything; `None` if it never did.
    pub last_response_at: Option<Timestamp>,
    /// It accepts work and responds to none, or no connection to it comes up.
    pub is_silent: bool,
    /// Attempts on it are overdue.
    pub has_overdue_attempts: bool,
}

/// Whether an engine responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responsiveness {
    /// It does not respond.
    Unresponsive,
    /// It responded recently.
    Responsive,
    /// Neither: nothing was sent to it.
    Unknown,
}

/// Whether an engine responds now, apart from what is remembered of it.
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

/// An engine that was found unresponsive.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    zone: u32,
    since: Timestamp,
}

/// Remembers unresponsive engines: at most as many as there are engines.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    suspected: BTreeMap<u32, Suspicion>,
}

impl FailureDetector {
    /// Whether an engine is remembered as unresponsive.
    pub fn is_suspected(&self, engine: u32) -> bool {
        self.suspected.contains_key(&engine)
    }

    /// Whether each engine responds, in the order given, with what is remembered; remembers those newly unresponsive.
    pub fn update(&mut self, now: Timestamp, contacts: &[EngineContact]) -> Vec<Responsiveness> {
        self.remove_outdated(now, contacts);
        contacts.iter().map(|contact| self.update_engine(now, contact)).collect()
    }

    /// Removes suspicions that are too old, and those of zones in which an engine has responded since.
    fn remove_outdated(&mut self, now: Timestamp, contacts: &[EngineContact]) {
        let mut zone_responded_at: BTreeMap<u32, Timestamp> = BTreeMap::new();
        for contact in contacts {
            let Some(responded_at) = contact.last_response_at else { continue };
            let latest = zone_responded_at.entry(contact.zone).or_insert(responded_at);
            *latest = responded_at.max(*latest);
        }
        self.suspected.retain(|_, suspicion| {
            let is_silent_since =
                zone_responded_at.get(&suspicion.zone).is_none_or(|at| *at < suspicion.since);
            is_silent_since && now - suspicion.since < MAX_SUSPICION_AGE
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
