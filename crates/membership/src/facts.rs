//! What members tell of themselves and of engines: a small summary with a version. Of two summaries of one member
//! the one of its later life, and in one life of the higher version, counts; late and repeated ones change nothing.

use sprucelink_stable_hash::stable_hash;
use std::collections::BTreeMap;

/// Engines in one list of a summary at most.
pub const MOST_ENGINES: usize = 16;

/// An engine's name among managers: a stable hash of its id, for numbers differ.
pub fn named(engine: &str) -> u64 {
    stable_hash(&[engine.as_bytes()])
}

/// A member's summary. Engines stand in it by [`named`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Counted up by its member with each new summary of one life.
    pub version: u32,
    /// Requests taken within the ration's span.
    pub taken: u32,
    /// Further attempts spent within it.
    pub spent: u32,
    /// Engines that it cannot reach, [`MOST_ENGINES`] at most.
    pub unreachable: Vec<u64>,
    /// Work sent to cold engines within the cold budget's span, in milliseconds, [`MOST_ENGINES`] at most.
    pub cold: Vec<(u64, u32)>,
}

impl Facts {
    /// Cuts its lists to their bounds: of cold engines those with the most work stay.
    pub fn bound(&mut self) {
        self.unreachable.truncate(MOST_ENGINES);
        self.cold.sort_by_key(|(engine, ms)| (std::cmp::Reverse(*ms), *engine));
        self.cold.truncate(MOST_ENGINES);
    }
}

/// The summaries held, by member, each with the life (start in Unix milliseconds) that told it.
#[derive(Clone, Debug, Default)]
pub struct Board {
    held: BTreeMap<String, (u64, Facts)>,
}

impl Board {
    /// A summary came: whether it is newer than what is held, and so was taken.
    pub fn merge(&mut self, member: &str, life: u64, facts: &Facts) -> bool {
        let newer = self.held.get(member).is_none_or(|(l, f)| (life, facts.version) > (*l, f.version));
        if newer {
            let mut facts = facts.clone();
            facts.bound();
            self.held.insert(member.to_owned(), (life, facts));
        }
        newer
    }

    /// A member's summary, and of which life.
    pub fn get(&self, member: &str) -> Option<(u64, &Facts)> {
        self.held.get(member).map(|(life, f)| (*life, f))
    }

    /// Forgets a member.
    pub fn forget(&mut self, member: &str) {
        self.held.remove(member);
    }

    /// Members of which a summary is held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// How many of `members` say that they cannot reach an engine.
    pub fn unreachable_by<'a>(&self, engine: u64, members: impl Iterator<Item = &'a str>) -> usize {
        members.filter_map(|m| self.get(m)).filter(|(_, f)| f.unreachable.contains(&engine)).count()
    }

    /// Work that `members` sent to a cold engine, in milliseconds.
    pub fn cold_by<'a>(&self, engine: u64, members: impl Iterator<Item = &'a str>) -> u64 {
        let of = |f: &Facts| f.cold.iter().filter(|c| c.0 == engine).map(|c| u64::from(c.1)).sum::<u64>();
        members.filter_map(|m| self.get(m)).map(|(_, f)| of(f)).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    fn facts(version: u32, spent: u32) -> Facts {
        Facts { version, spent, ..Facts::default() }
    }

    #[test]
    fn late_and_repeated_news_undo_nothing() {
        let mut b = Board::default();
        assert!(b.merge("a", 10, &facts(3, 7)));
        assert!(
            !b.merge("a", 10, &facts(3, 9))
                && !b.merge("a", 10, &facts(2, 9))
                && !b.merge("a", 9, &facts(99, 9))
        );
        assert_eq!(b.get("a").map(|(l, f)| (l, f.spent)), Some((10, 7)));
        assert!(b.merge("a", 11, &facts(1, 1)), "a new life begins anew");
    }

    /// Whatever order summaries come in, and however often, two boards that got the same ones hold the same.
    #[test]
    fn boards_agree_whatever_the_order() {
        fn holds(news: Vec<(u8, u8, u8)>, turn: usize) -> bool {
            let (mut one, mut other) = (Board::default(), Board::default());
            let told = |b: &mut Board, n: &(u8, u8, u8)| {
                // A version of one life says one thing only.
                let f = facts(u32::from(n.2), u32::from(n.1) * 1_000 + u32::from(n.2));
                b.merge(
                    &format!("m{}", n.0 % 4),
                    u64::from(n.1 % 3),
                    &Facts { spent: u32::from(n.1 % 3), ..f },
                );
            };
            news.iter().for_each(|n| told(&mut one, n));
            let k = if news.is_empty() { 0 } else { turn % news.len() };
            news[k..].iter().chain(&news[..k]).chain(&news).for_each(|n| told(&mut other, n));
            one.held == other.held
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 5))
            .quickcheck(holds as fn(Vec<(u8, u8, u8)>, usize) -> bool);
    }

    #[test]
    fn what_is_told_of_engines_is_counted_over_members_and_bounded() {
        let mut b = Board::default();
        let many = (0..100).map(|i| (i, i as u32)).collect();
        b.merge("a", 1, &Facts { version: 1, unreachable: vec![7, 8], cold: many, ..Facts::default() });
        b.merge("b", 1, &Facts { version: 1, unreachable: vec![7], cold: vec![(99, 5)], ..Facts::default() });
        assert_eq!(b.unreachable_by(7, ["a", "b", "c"].into_iter()), 2);
        assert_eq!(b.cold_by(99, ["a", "b"].into_iter()), 104);
        assert_eq!(b.get("a").expect("held").1.cold.len(), MOST_ENGINES);
        b.forget("a");
        assert_eq!(b.unreachable_by(7, ["a", "b"].into_iter()), 1);
    }
}
