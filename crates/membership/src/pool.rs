//! What the fleet may still spend together, as one member sees it: of further attempts, and of cold budgets.
//!
//! Summaries are seconds old, and all members read the same ones: were each to take all that is left, together
//! they would take it as often as there are members. So each takes an even part of what is left, and only of what
//! the summaries show: a member unheard of counts as having spent all of its own.

use crate::facts::Facts;

/// The rule on further attempts, as the settings tell it: so many free in a span, and a share of what was taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    /// Further attempts free in a span.
    pub free: f64,
    /// More of them, as a share of the requests taken in it.
    pub share: f64,
}

/// Of what others leave of theirs, a member uses this share at most: the rest covers what they spend before their
/// next summary comes.
const USE: f64 = 0.5;

/// Further attempts that a member may make over its own ration: its even part of what the others, of which summaries
/// are held, leave of theirs. `others` are the summaries of members alive, `alive` all members alive with itself.
pub fn spare_attempts(ration: Ration, others: &[&Facts], alive: usize) -> f64 {
    let left = |f: &&Facts| (ration.free + ration.share * f64::from(f.taken) - f64::from(f.spent)).max(0.0);
    let all: f64 = others.iter().map(left).sum();
    (all * USE / alive.max(1) as f64).max(0.0)
}

/// Among how many managers cold budgets and shares are parted: those alive, never fewer than the view supports.
/// With less than half of the managers told in sight this side may be the smaller part of a split fleet, and the
/// rest may be alive beyond it: then the told number stays.
pub fn parted_among(alive: usize, told: u32) -> u32 {
    let alive = u32::try_from(alive).unwrap_or(u32::MAX).max(1);
    if alive.saturating_mul(2) < told {
        told
    } else {
        alive
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    const RATION: Ration = Ration { free: 3.0, share: 0.1 };

    #[test]
    fn a_member_gets_a_part_of_what_others_leave() {
        let idle = Facts { taken: 100, ..Facts::default() };
        let poor = Facts { taken: 100, spent: 13, ..Facts::default() };
        assert_eq!(spare_attempts(RATION, &[], 1), 0.0);
        assert_eq!(spare_attempts(RATION, &[&poor, &poor], 3), 0.0);
        assert!((spare_attempts(RATION, &[&idle, &idle, &poor], 4) - 13.0 * 2.0 * 0.5 / 4.0).abs() < 1e-9);
    }

    /// Whatever the summaries say, all members together get no more than what is left, and so the fleet keeps to
    /// the sum of its rations.
    #[test]
    fn the_fleet_together_keeps_to_its_ration() {
        fn holds(fleet: Vec<(u16, u16)>) -> bool {
            let facts: Vec<Facts> = fleet
                .iter()
                .map(|(t, s)| Facts { taken: u32::from(*t), spent: u32::from(*s), ..Facts::default() })
                .collect();
            let left =
                |f: &Facts| (RATION.free + RATION.share * f64::from(f.taken) - f64::from(f.spent)).max(0.0);
            let all: f64 = facts.iter().map(left).sum();
            let given: f64 = (0..facts.len())
                .map(|me| {
                    let others: Vec<&Facts> =
                        facts.iter().enumerate().filter(|(i, _)| *i != me).map(|(_, f)| f).collect();
                    spare_attempts(RATION, &others, facts.len())
                })
                .sum();
            given <= all * USE + 1e-6
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(50, 9))
            .quickcheck(holds as fn(Vec<(u16, u16)>) -> bool);
    }

    #[test]
    fn a_small_part_of_a_split_fleet_does_not_take_all() {
        assert_eq!([parted_among(300, 300), parted_among(90, 100), parted_among(50, 100)], [300, 90, 50]);
        assert_eq!([parted_among(49, 100), parted_among(0, 0), parted_among(120, 100)], [100, 1, 120]);
    }
}
