//! What this manager tells others of itself where they keep a view of the fleet: requests taken and further attempts
//! made of late, engines it cannot reach, work it sent to cold engines. It counts; `sprucelink_membership` decides.

use sprucelink_membership::facts::{named, Facts};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Events of one count kept at most: older ones go first.
const MOST: usize = 20_000;
/// An engine to which a connection failed counts as out of reach for so long, unless one comes up.
const UNREACHED: TimeDelta = TimeDelta::from_micros(10_000_000);
/// Engines of which is noted at most that they are out of reach.
const MOST_ENGINES: usize = 256;

/// The counts.
pub(super) struct GossipFacts {
    /// The ration's span, the cold budget's, and how long an engine is cold.
    spans: [TimeDelta; 3],
    taken: VecDeque<Timestamp>,
    further: VecDeque<Timestamp>,
    cold: VecDeque<(Timestamp, u64, f64)>,
    unreached: BTreeMap<u64, Timestamp>,
}

fn push<T>(queue: &mut VecDeque<T>, one: T) {
    if queue.len() >= MOST {
        queue.pop_front();
    }
    queue.push_back(one);
}

impl GossipFacts {
    /// Nothing counted yet: the ration's span, that of cold budgets, and how long an engine is cold.
    pub(super) fn new(ration: TimeDelta, cold: TimeDelta, cold_for: TimeDelta) -> GossipFacts {
        GossipFacts {
            spans: [ration, cold, cold_for],
            taken: VecDeque::new(),
            further: VecDeque::new(),
            cold: VecDeque::new(),
            unreached: BTreeMap::new(),
        }
    }

    /// A request was taken.
    pub(super) fn took(&mut self, now: Timestamp) {
        push(&mut self.taken, now);
    }

    /// An attempt went out: whether a further one, to which engine (its id, and its start in Unix milliseconds or 0),
    /// of how many milliseconds' work.
    pub(super) fn sent(&mut self, now: Timestamp, further: bool, engine: (&str, i64), ms: f64) {
        if further {
            push(&mut self.further, now);
        }
        if engine.1 > 0 && now - Timestamp::from_millis(engine.1) < self.spans[2] {
            push(&mut self.cold, (now, named(engine.0), ms));
        }
    }

    /// A connection to an engine failed, or came up.
    pub(super) fn reached(&mut self, now: Timestamp, engine: &str, up: bool) {
        if up {
            self.unreached.remove(&named(engine));
        } else if self.unreached.len() < MOST_ENGINES {
            self.unreached.insert(named(engine), now);
        }
    }

    /// The summary as of now, with engines that keep silent besides those that no connection came up to; its version
    /// is the membership's to give.
    pub(super) fn facts(&mut self, now: Timestamp, silent: Vec<u64>) -> Facts {
        let [ration, cold, _] = self.spans;
        let old = |q: &mut VecDeque<Timestamp>| {
            while q.front().is_some_and(|t| now - *t > ration) {
                q.pop_front();
            }
            q.len() as u32
        };
        let (taken, spent) = (old(&mut self.taken), old(&mut self.further));
        while self.cold.front().is_some_and(|c| now - c.0 > cold) {
            self.cold.pop_front();
        }
        self.unreached.retain(|_, t| now - *t <= UNREACHED);
        let mut by_engine: BTreeMap<u64, f64> = BTreeMap::new();
        self.cold.iter().for_each(|(_, engine, ms)| *by_engine.entry(*engine).or_default() += ms);
        let cold =
            by_engine.into_iter().map(|(e, ms)| (e, ms.clamp(0.0, f64::from(u32::MAX)) as u32)).collect();
        let out: BTreeSet<u64> = self.unreached.keys().copied().chain(silent).collect();
        let mut facts = Facts { version: 0, taken, spent, unreachable: out.into_iter().collect(), cold };
        facts.bound();
        facts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_old_counts_no_more() {
        let s = |t: i64| Timestamp::from_micros(t * 1_000_000);
        let span = |t: i64| TimeDelta::from_micros(t * 1_000_000);
        let mut shared = GossipFacts::new(span(5), span(2), span(15));
        shared.took(s(0));
        shared.took(s(4));
        shared.sent(s(1), true, ("e", 1), 40.0);
        shared.sent(s(4), false, ("e", 1), 2.5);
        shared.sent(s(4), false, ("warm", 0), 9.0);
        shared.reached(s(1), "x", false);
        let f = shared.facts(s(4), vec![named("x")]);
        assert_eq!((f.taken, f.spent, f.cold.clone(), f.unreachable.len()), (2, 1, vec![(named("e"), 2)], 1));
        let f = shared.facts(s(8), Vec::new());
        assert_eq!((f.taken, f.spent, f.cold.len(), f.unreachable.len()), (1, 0, 0, 1));
        shared.reached(s(8), "x", true);
        assert!(shared.facts(s(9), Vec::new()).unreachable.is_empty());
        (0..2 * MOST).for_each(|_| shared.took(s(9)));
        assert!(shared.taken.len() <= MOST);
    }
}
