//! The list of engines last held, and what a new list may change of it.
//!
//! While a list service comes back up (from a backup, or one of several that lags) it may tell a list that is
//! older than the one a manager holds, or one that contradicts itself. Taken as it stands, such a list brings
//! back engines that are gone, and calls gone those that came since: hundreds of managers would dial the dead
//! and drop the living in the same second. The rule here, by what is safe whoever is right:
//!
//! - an event whose revision is under the highest one held is *older*: what it says of a drain or an end is
//!   heeded at once (a needless drain costs room, a missed one breaks a rule), what it says of an engine that
//!   takes work is passed over, and what it does not name stays;
//! - an entry that stands twice in one event counts as the more cautious of the two;
//! - an older whole list that is told again after `older_for_ms`, with nothing newer between, is believed: the
//!   service's numbering began anew (a restart from a backup), and it must not be disbelieved for good.
//!
//! Only ids, states and start times are kept: [`MOST_HELD`] of them at most.

use crate::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};
use std::collections::BTreeMap;

/// Engines kept at most; of lists beyond that the rest is taken as told. Twice the largest fleet planned for.
pub const MOST_HELD: usize = 10_000;

/// What a list says of an engine, from careless to cautious.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Says {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is withdrawn.
    Gone,
}

/// The figures of the guard.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeldTerms {
    /// An older whole list is believed when it is still told after this, in milliseconds; 0 (at once, the
    /// guard is off) to 60,000.
    pub older_for_ms: f64,
}

impl Default for HeldTerms {
    fn default() -> HeldTerms {
        HeldTerms { older_for_ms: 2_000.0 }
    }
}

impl HeldTerms {
    /// What is wrong with the figures, if anything.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("older_for_ms", self.older_for_ms, 0.0, 60_000.0)
    }
}

/// What is to be done with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Places of the event's entries that are to be taken, in its order.
    pub take: Vec<usize>,
    /// Whether it may be taken as whole: what it does not name is gone.
    pub whole: bool,
    /// It was older than the list held.
    pub older: bool,
    /// Entries that contradicted another of the same event.
    pub contradicted: usize,
}

/// The list held.
#[derive(Clone, Debug)]
pub struct HeldList {
    terms: HeldTerms,
    revision: u64,
    known: BTreeMap<String, Says>,
    /// Since when older whole lists come with nothing newer between.
    older_since: Option<Timestamp>,
}

impl HeldList {
    /// Nothing held yet.
    pub fn new(terms: HeldTerms) -> HeldList {
        HeldList { terms, revision: 0, known: BTreeMap::new(), older_since: None }
    }

    /// The highest revision held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An event came: its revision, whether it claims to be whole, and what it says of each engine. What is
    /// taken is noted as held.
    pub fn judge(&mut self, now: Timestamp, revision: u64, whole: bool, says: &[(&str, Says)]) -> Verdict {
        let mut most: BTreeMap<&str, (usize, Says)> = BTreeMap::new();
        let mut contradicted = 0;
        for (place, (id, said)) in says.iter().enumerate() {
            let entry = most.entry(id).or_insert((place, *said));
            if entry.0 != place {
                contradicted += usize::from(entry.1 != *said);
                if *said > entry.1 {
                    *entry = (place, *said);
                }
            }
        }
        let mut older = revision < self.revision && self.terms.older_for_ms > 0.0;
        if older && whole {
            let since = *self.older_since.get_or_insert(now);
            if now - since >= TimeDelta::from_secs_f64(self.terms.older_for_ms / 1_000.0) {
                // Its numbering began anew: from here on it is the list.
                older = false;
            }
        }
        if !older {
            (self.revision, self.older_since) = (revision, None);
        }
        let takes = |id: &str, said: Says| match self.known.get(id) {
            _ if !older => true,
            // More cautious than what is held; what was never heard of may have gone since.
            Some(held) => said > *held,
            None => false,
        };
        let mut take: Vec<usize> =
            most.iter().filter(|(id, (_, said))| takes(id, *said)).map(|(_, (place, _))| *place).collect();
        take.sort_unstable();
        let whole = whole && !older;
        if whole {
            self.known.clear();
        }
        for place in &take {
            let (id, said) = says[*place];
            match said {
                // Ids are not used again, so what is gone is kept from coming back only while that is fresh:
                // the bound below.
                _ if self.known.len() < MOST_HELD => _ = self.known.insert(id.to_owned(), said),
                _ => _ = self.known.get_mut(id).map(|held| *held = said),
            }
        }
        if self.known.len() >= MOST_HELD {
            self.known.retain(|_, said| *said != Says::Gone);
        }
        Verdict { take, whole, older, contradicted }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};
    use Says::{Draining, Gone, Ready};

    const S: i64 = 1_000_000;

    fn held() -> HeldList {
        let mut held = HeldList::new(HeldTerms::default());
        let v = held.judge(Timestamp::ZERO, 7, true, &[("a", Ready), ("b", Ready), ("c", Gone)]);
        assert_eq!((v.take.len(), v.whole, v.older), (3, true, false));
        held
    }

    #[test]
    fn an_older_list_drains_but_brings_nothing_back_and_ends_nothing_it_does_not_name() {
        let mut held = held();
        let v =
            held.judge(Timestamp::from_micros(S), 5, true, &[("a", Draining), ("c", Ready), ("old", Ready)]);
        assert_eq!(v.take, [0], "the drain alone");
        assert!(v.older && !v.whole, "b, which it does not name, stays");
        let v = held.judge(Timestamp::from_micros(S), 6, false, &[("a", Ready)]);
        assert!(v.take.is_empty(), "nor does a second old event undo the drain");
        let v = held.judge(Timestamp::from_micros(S), 8, false, &[("a", Ready)]);
        assert_eq!(v.take, [0], "a newer one may");
    }

    #[test]
    fn an_older_list_that_stays_is_believed() {
        let mut held = held();
        let list = [("x", Ready)];
        assert!(held.judge(Timestamp::from_micros(S), 1, true, &list).take.is_empty());
        assert!(held.judge(Timestamp::from_micros(2 * S), 1, true, &list).take.is_empty());
        let v = held.judge(Timestamp::from_micros(3 * S), 1, true, &list);
        assert!(!v.older && v.whole && v.take == [0]);
        assert_eq!(held.revision(), 1, "its numbering counts from here");
        assert!(!held.judge(Timestamp::from_micros(3 * S), 2, false, &[("y", Ready)]).older);
    }

    #[test]
    fn something_newer_between_takes_the_clock_of_the_older_back() {
        let mut held = held();
        assert!(held.judge(Timestamp::from_micros(S), 1, true, &[("x", Ready)]).older);
        assert!(!held.judge(Timestamp::from_micros(2 * S), 9, true, &[("a", Ready)]).older);
        assert!(
            held.judge(Timestamp::from_micros(3 * S + S / 2), 1, true, &[("x", Ready)]).older,
            "counted from here again"
        );
    }

    #[test]
    fn of_two_words_on_one_engine_the_cautious_one_counts() {
        let mut held = held();
        let v = held.judge(
            Timestamp::from_micros(S),
            8,
            false,
            &[("a", Draining), ("b", Ready), ("a", Ready), ("b", Gone)],
        );
        assert_eq!((v.take, v.contradicted), (vec![0, 3], 2));
    }

    #[test]
    fn off_it_takes_all_in_any_order_of_revisions() {
        let mut held = HeldList::new(HeldTerms { older_for_ms: 0.0 });
        held.judge(Timestamp::ZERO, 7, true, &[("a", Draining)]);
        let v = held.judge(Timestamp::ZERO, 3, true, &[("a", Ready)]);
        assert!(v.whole && v.take == [0]);
    }

    /// An event as the property draws it: revision, whole, and what it says of which engine.
    type Drawn = (u8, bool, Vec<(u8, u8)>);

    /// Whatever comes in whatever order: a drain or an end is always taken unless what is held is as cautious
    /// already, and an older event never makes an engine less cautious.
    #[test]
    fn cautious_words_are_never_lost_and_older_ones_never_loosen() {
        fn holds(events: Vec<Drawn>) -> bool {
            let mut held = HeldList::new(HeldTerms { older_for_ms: 60_000.0 });
            events.iter().enumerate().all(|(t, (revision, whole, entries))| {
                let ids: Vec<String> = entries.iter().map(|(id, _)| format!("{}", id % 8)).collect();
                let says: Vec<(&str, Says)> = ids
                    .iter()
                    .zip(entries)
                    .map(|(id, (_, said))| (id.as_str(), [Ready, Draining, Gone][usize::from(*said) % 3]))
                    .collect();
                let before = held.known.clone();
                let v = held.judge(Timestamp::from_micros(t as i64), u64::from(*revision), *whole, &says);
                let heeded = says.iter().all(|(id, said)| {
                    let was = before.get(*id);
                    let now = held.known.get(*id);
                    *said == Ready || (v.older && was.is_none()) || now.is_some_and(|n| n >= said)
                });
                let tight = !v.older || before.iter().all(|(id, was)| held.known[id] >= *was);
                heeded && tight
            })
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(40, 11)).quickcheck(holds as fn(Vec<Drawn>) -> bool);
    }

    #[test]
    fn what_is_held_is_bounded() {
        let mut held = HeldList::new(HeldTerms::default());
        for n in 0..3 {
            let ids: Vec<String> = (0..MOST_HELD).map(|i| format!("{n}-{i}")).collect();
            let says: Vec<(&str, Says)> = ids.iter().map(|i| (i.as_str(), Gone)).collect();
            held.judge(Timestamp::ZERO, n + 1, false, &says);
            assert!(held.known.len() <= MOST_HELD);
        }
    }
}
