//! The point at which a starting manager says that it is ready.
//!
//! Ready means: it holds a list of engines (the one it was started with, or one the feed gave), and either
//! the feed has answered once or `feed_wait_ms` has passed since the start (a feed that is down must not
//! keep a manager out of service: the list it was started with is the last one held); and either one
//! connection to an engine is up or `link_wait_ms` has passed. It is said once, with its reasons.

use crate::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// The figures of readiness.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReadyTerms {
    /// Longest wait for the feed's first answer, in milliseconds; 0 to 30,000.
    pub feed_wait_ms: f64,
    /// Longest wait for a first connection to an engine, in milliseconds; 0 to 30,000.
    pub link_wait_ms: f64,
}

impl Default for ReadyTerms {
    fn default() -> ReadyTerms {
        ReadyTerms { feed_wait_ms: 2_000.0, link_wait_ms: 2_000.0 }
    }
}

impl ReadyTerms {
    /// What is wrong with the figures, if anything.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("feed_wait_ms", self.feed_wait_ms, 0.0, 30_000.0)?;
        check_range("link_wait_ms", self.link_wait_ms, 0.0, 30_000.0)
    }
}

/// Why a manager became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// When, since the start.
    pub after: TimeDelta,
    /// The feed had answered; else its wait ran out.
    pub feed: bool,
    /// A connection to an engine was up; else its wait ran out.
    pub link: bool,
    /// Engines in the list held.
    pub engines: usize,
}

/// Whether a manager is ready yet.
#[derive(Clone, Debug)]
pub struct Readiness {
    terms: ReadyTerms,
    born: Timestamp,
    engines: usize,
    feed: bool,
    link: bool,
    ready: Option<Ready>,
}

impl Readiness {
    /// A manager that starts now.
    pub fn new(terms: ReadyTerms, now: Timestamp) -> Readiness {
        Readiness { terms, born: now, engines: 0, feed: false, link: false, ready: None }
    }

    /// A list came (the one of the start, or the feed's), naming so many engines that take work.
    pub fn listed(&mut self, engines: usize) {
        self.engines = engines;
    }

    /// The feed answered.
    pub fn fed(&mut self) {
        self.feed = true;
    }

    /// A connection to an engine came up.
    pub fn linked(&mut self) {
        self.link = true;
    }

    /// Looks whether it is ready now: `Some` once, at the moment it becomes so.
    pub fn look(&mut self, now: Timestamp) -> Option<Ready> {
        if self.ready.is_some() {
            return None;
        }
        let age = now - self.born;
        let feed = self.feed || age >= TimeDelta::from_secs_f64(self.terms.feed_wait_ms / 1_000.0);
        let link = self.link || age >= TimeDelta::from_secs_f64(self.terms.link_wait_ms / 1_000.0);
        if self.engines == 0 || !feed || !link {
            return None;
        }
        self.ready = Some(Ready { after: age, feed: self.feed, link: self.link, engines: self.engines });
        self.ready
    }

    /// Whether it has said that it is ready.
    pub fn is_ready(&self) -> bool {
        self.ready.is_some()
    }

    /// When it should look again at the latest, if it is not ready: the next wait that runs out.
    pub fn next_look(&self) -> Option<Timestamp> {
        if self.ready.is_some() {
            return None;
        }
        let waits = [(self.feed, self.terms.feed_wait_ms), (self.link, self.terms.link_wait_ms)];
        waits
            .iter()
            .filter(|(done, _)| !done)
            .map(|(_, ms)| self.born + TimeDelta::from_secs_f64(ms / 1_000.0))
            .min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: i64 = 1_000_000;

    #[test]
    fn ready_once_with_a_list_a_feed_and_a_link() {
        let mut r = Readiness::new(ReadyTerms::default(), Timestamp::ZERO);
        r.listed(8);
        assert_eq!(r.look(Timestamp::from_micros(100)), None);
        r.fed();
        r.linked();
        let ready = r.look(Timestamp::from_micros(200)).expect("ready");
        assert_eq!(
            (ready.after, ready.feed, ready.link, ready.engines),
            (TimeDelta::from_micros(200), true, true, 8)
        );
        assert_eq!(r.look(Timestamp::from_micros(300)), None, "said once");
        assert!(r.is_ready());
    }

    #[test]
    fn a_feed_that_is_down_keeps_nobody_out_for_longer_than_its_wait() {
        let mut r = Readiness::new(ReadyTerms::default(), Timestamp::ZERO);
        r.listed(3);
        r.linked();
        assert_eq!(r.next_look(), Some(Timestamp::from_micros(2 * S)));
        assert_eq!(r.look(Timestamp::from_micros(2 * S - 1)), None);
        let ready = r.look(Timestamp::from_micros(2 * S)).expect("ready by the wait");
        assert!(!ready.feed && ready.link);
    }

    #[test]
    fn without_a_list_nothing_is_ready() {
        let mut r = Readiness::new(ReadyTerms::default(), Timestamp::ZERO);
        r.fed();
        r.linked();
        assert_eq!(r.look(Timestamp::from_micros(60 * S)), None);
    }
}
