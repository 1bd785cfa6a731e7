//! Proposals that have taken effect: a proposer that hears nothing proposes again, and the council may commit both.

use std::collections::BTreeMap;

/// Origins remembered at most. Beyond it the one whose last proposal is the oldest is forgotten: managers and
/// operators of the largest fleet are a few thousand.
pub const MOST_ORIGINS: usize = 8_192;

/// Sequences of an origin are remembered so far below its highest. A proposer keeps fewer in hand.
pub const WINDOW: u64 = 64;

/// Which proposals have taken effect, by origin. A part of the applied state: the same at every manager.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Proposals {
    /// By origin: the highest sequence, a mask of those below it, and when it last proposed (a count).
    origins: BTreeMap<String, (u64, u64, u64)>,
    count: u64,
}

impl Proposals {
    /// Notes a proposal; false if it had been noted before, or lies so far back that it may have been.
    pub fn note(&mut self, origin: &str, sequence: u64) -> bool {
        self.count += 1;
        let count = self.count;
        if let Some((highest, mask, last)) = self.origins.get_mut(origin) {
            *last = count;
            if sequence > *highest {
                let by = sequence - *highest;
                *mask = if by >= WINDOW { 0 } else { (*mask << by) | (1 << (by - 1)) };
                *highest = sequence;
                return true;
            }
            let back = *highest - sequence;
            if back == 0 || back > WINDOW || *mask & (1 << (back - 1)) != 0 {
                return false;
            }
            *mask |= 1 << (back - 1);
            return true;
        }
        if self.origins.len() >= MOST_ORIGINS {
            let oldest = self.origins.iter().min_by_key(|(_, o)| o.2).map(|(name, _)| name.clone());
            if let Some(name) = oldest {
                self.origins.remove(&name);
            }
        }
        self.origins.insert(origin.to_owned(), (sequence, 0, count));
        true
    }

    /// All of it, for a snapshot: origin, highest sequence, mask, count of its last proposal.
    pub fn export(&self) -> Vec<(String, u64, u64, u64)> {
        self.origins.iter().map(|(n, o)| (n.clone(), o.0, o.1, o.2)).collect()
    }

    /// From what [`Proposals::export`] gave.
    pub fn import(all: Vec<(String, u64, u64, u64)>) -> Proposals {
        let count = all.iter().map(|o| o.3).max().unwrap_or(0);
        let origins = all.into_iter().take(MOST_ORIGINS).map(|(n, h, m, c)| (n, (h, m, c))).collect();
        Proposals { origins, count }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Guards against a proposal that takes effect twice, against a plain set as the model.
    #[test]
    fn a_proposal_takes_effect_once_in_any_order() {
        let (mut proposals, mut model, mut x) = (Proposals::default(), BTreeSet::new(), 1u64);
        let mut highest = [0u64; 3];
        for step in 0..20_000 {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let who = (x >> 33) as usize % 3;
            let back = (x >> 40) % 80;
            let sequence = (highest[who] + 3).saturating_sub(back).max(1);
            let known = !model.insert((who, sequence));
            let far = highest[who].saturating_sub(sequence) > WINDOW;
            assert_eq!(proposals.note(&who.to_string(), sequence), !known && !far, "step {step}");
            highest[who] = highest[who].max(sequence);
            if step % 1_000 == 0 {
                proposals = Proposals::import(proposals.export());
            }
        }
    }

    #[test]
    fn origins_have_a_bound_and_the_oldest_goes() {
        let mut proposals = Proposals::default();
        (0..=MOST_ORIGINS).for_each(|i| assert!(proposals.note(&i.to_string(), 1)));
        assert_eq!(proposals.origins.len(), MOST_ORIGINS);
        assert!(!proposals.note("1", 1) && proposals.note("0", 1), "0 was forgotten, 1 was not");
    }
}
