//! Time, and what two processes tell each other.

use crate::causes::{Cause, Causes};
use crate::limits::TOMBSTONE_KEPT;
use crate::outages::Outages;
use crate::target::{By, Change, Target};
use crate::word::Ban;
use crate::Timestamp;
use std::collections::BTreeMap;

/// A target that went out or came back without a call here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moved {
    /// Which.
    pub target: Target,
    /// [`Change::Out`], [`Change::Back`], or, where a lease ended and another cause holds, [`Change::StillOut`].
    pub change: Change,
}

/// What a merge did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Targets that went out or came back.
    pub moved: Vec<Moved>,
    /// Bans left out because the bound on bans is reached. Those do not hold here: worth an error in the log.
    pub over: usize,
    /// Bans left out as malformed.
    pub bad: usize,
}

impl Outages {
    /// Ends leases that have run out, and forgets words of causes that have held nothing for
    /// [`TOMBSTONE_KEPT`]. To be called once a second or so, and before figures are told.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Moved> {
        let (mut ended, mut aged) = (Vec::new(), Vec::new());
        for (target, causes) in self.all() {
            for (by, cause) in &causes.0 {
                if cause.holds() && cause.word.until.is_some_and(|until| until <= now) {
                    ended.push((target.clone(), *by));
                } else if !cause.holds() && now - cause.spent_at() > TOMBSTONE_KEPT {
                    aged.push((target.clone(), *by));
                }
            }
        }
        let mut moved: BTreeMap<Target, Change> = BTreeMap::new();
        for (target, by) in ended {
            let cause = self.causes(&target).and_then(|c| c.0.get(&by));
            if let Some(cause) = cause.map(|c| Cause { word: c.word.clone(), lapsed: true }) {
                self.put(now, &target, by, cause);
                self.counters.lapsed += 1;
            }
            let still = self.causes(&target).and_then(Causes::held_by);
            moved.insert(target, still.map_or(Change::Back, |by| Change::StillOut { by }));
        }
        for (target, by) in aged {
            self.forget(now, &target, by);
        }
        self.trim();
        moved.into_iter().map(|(target, change)| Moved { target, change }).collect()
    }

    /// Every cause's last word, calls back included, for another process: this manager first, then engines by id.
    pub fn export(&self) -> Vec<Ban> {
        let all = self.all().flat_map(|(target, causes)| {
            let words = causes.0.iter().map(|(by, cause)| (*by, cause.word.clone()));
            words.map(move |(by, word)| Ban { target: target.clone(), by, word })
        });
        all.collect()
    }

    /// Takes another process's words: of two on the same target by the same cause the greater holds
    /// ([`crate::Word`]). As long as no bound bites it is the same whatever the order of merges, and taking one twice
    /// changes nothing. Ids of bans count as ever listed.
    pub fn import(&mut self, now: Timestamp, bans: &[Ban]) -> Merged {
        let (mut merged, mut before) = (Merged::default(), BTreeMap::new());
        for Ban { target, by, word } in bans.iter().filter(|ban| {
            let good = ban.check().is_ok();
            merged.bad += usize::from(!good);
            good
        }) {
            let held = self.causes(target).and_then(|c| c.0.get(by));
            if held.is_some_and(|held| held.word >= *word) {
                continue;
            }
            let cause = Cause::new(now, word.clone());
            if cause.holds() && !self.has_room(target, *by) {
                merged.over += 1;
                continue;
            }
            let was_out = self.causes(target).is_some_and(|c| c.held_by().is_some());
            before.entry(target.clone()).or_insert(was_out);
            self.high = self.high.max(word.version);
            self.put(now, target, *by, cause);
            self.counters.merged += 1;
        }
        self.counters.merge_over += merged.over as u64;
        self.counters.merge_bad += merged.bad as u64;
        self.trim();
        for (target, was_out) in before {
            let is_out = self.causes(&target).is_some_and(|c| c.held_by().is_some());
            match (was_out, is_out) {
                (false, true) => merged.moved.push(Moved { target, change: Change::Out }),
                (true, false) => merged.moved.push(Moved { target, change: Change::Back }),
                _ => {}
            }
        }
        merged
    }

    /// Hashes of the ids ever listed ([`crate::id_hash`]), at most so many: first those that are listed or banned now,
    /// then those unlisted last.
    pub fn export_ids(&self, most: usize) -> Vec<u64> {
        self.known.export(most)
    }

    /// Ids ever listed at another process, in the order of [`Outages::export_ids`]. They fill what room there is and
    /// push out none of those listed here.
    pub fn import_ids(&mut self, ids: &[u64]) {
        ids.iter().rev().for_each(|hash| self.known.heard(*hash));
    }

    fn all(&self) -> impl Iterator<Item = (Target, &Causes)> {
        let engines = self.engines.iter().map(|(id, causes)| (Target::Engine(id.clone()), causes));
        std::iter::once((Target::Manager, &self.own)).chain(engines)
    }

    /// Keeps the words of causes that hold no longer within their bounds: the lowest version goes first.
    pub(crate) fn trim(&mut self) {
        let over =
            |o: &Outages| o.spent.words > o.limits.tombstones || o.spent.bytes > o.limits.tombstone_bytes;
        if !over(self) {
            return;
        }
        let spent = self.all().flat_map(|(target, causes)| {
            let spent = causes.0.iter().filter(|(_, c)| !c.holds());
            spent.map(move |(by, c)| (c.word.version, target.clone(), *by)).collect::<Vec<_>>()
        });
        let mut spent: Vec<(u64, Target, By)> = spent.collect();
        spent.sort_unstable();
        let mut spent = spent.into_iter();
        while over(self) {
            let Some((_, target, by)) = spent.next() else { return };
            // A target whose spent words alone go changes nothing of what is out: the time plays no part.
            self.forget(Timestamp::ZERO, &target, by);
            self.counters.tombstones_forgotten += 1;
        }
    }
}
