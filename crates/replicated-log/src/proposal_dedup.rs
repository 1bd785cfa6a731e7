//! Detects proposals that have already taken effect: a proposer that gets no response proposes again, and
//! both proposals may be committed.

use std::collections::BTreeMap;

/// Largest number of origins that are recorded. At this number a new origin evicts the origin whose last
/// proposal is the oldest. The largest fleet has a few thousand managers and operators.
pub const MAX_ORIGINS: usize = 8_192;

/// Number of sequences below an origin's highest within which duplicates are recognised. A proposer has fewer
/// pending proposals than this.
pub const SEQUENCE_WINDOW: u64 = 64;

/// The proposals of one origin that have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OriginWindow {
    /// The highest sequence that took effect.
    highest: u64,
    /// Bit `n` represents the sequence `n + 1` below the highest.
    mask: u64,
    /// Number of the origin's last proposal in the order of all proposals.
    last_used: u64,
}

impl OriginWindow {
    /// Records a sequence. Returns false if it was recorded before, or is below the window.
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let distance = sequence - self.highest;
            self.mask =
                if distance >= SEQUENCE_WINDOW { 0 } else { (self.mask << distance) | (1 << (distance - 1)) };
            self.highest = sequence;
            return true;
        }
        let distance = self.highest - sequence;
        if distance == 0 || distance > SEQUENCE_WINDOW {
            return false;
        }
        let bit = 1 << (distance - 1);
        if self.mask & bit != 0 {
            return false;
        }
        self.mask |= bit;
        true
    }
}

/// The recorded proposals of one origin, for a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginHistory {
    /// The proposer, as named in its entries.
    pub origin: String,
    /// The highest sequence that took effect.
    pub highest: u64,
    /// Bitset of the sequences below the highest that took effect: bit `n` represents the sequence `n + 1`
    /// below it.
    pub mask: u64,
    /// Number of the origin's last proposal in the order of all proposals; the origin with the lowest number
    /// is evicted first.
    pub last_used: u64,
}

/// The proposals that have taken effect, by origin. The table is part of the applied state: it is the same at
/// every manager.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposalDedup {
    origins: BTreeMap<String, OriginWindow>,
    /// Number of proposals so far, including duplicates.
    proposal_count: u64,
}

impl ProposalDedup {
    /// Records a proposal. Returns false if it was recorded before, or is so old that it may have been
    /// recorded before.
    pub fn insert(&mut self, origin: &str, sequence: u64) -> bool {
        self.proposal_count += 1;
        if let Some(window) = self.origins.get_mut(origin) {
            window.last_used = self.proposal_count;
            return window.insert(sequence);
        }
        if self.origins.len() >= MAX_ORIGINS {
            self.evict_oldest_origin();
        }
        let window = OriginWindow { highest: sequence, mask: 0, last_used: self.proposal_count };
        self.origins.insert(origin.to_owned(), window);
        true
    }

    /// Evicts the origin whose last proposal is the oldest.
    fn evict_oldest_origin(&mut self) {
        let oldest = self.origins.iter().min_by_key(|(_, window)| window.last_used);
        if let Some(origin) = oldest.map(|(origin, _)| origin.clone()) {
            self.origins.remove(&origin);
        }
    }

    /// The recorded proposals of all origins, for a snapshot.
    pub fn export(&self) -> Vec<OriginHistory> {
        let history = |(origin, window): (&String, &OriginWindow)| OriginHistory {
            origin: origin.clone(),
            highest: window.highest,
            mask: window.mask,
            last_used: window.last_used,
        };
        self.origins.iter().map(history).collect()
    }

    /// Restores the result of [`ProposalDedup::export`]. Origins beyond the first [`MAX_ORIGINS`] are
    /// dropped.
    pub fn import(histories: Vec<OriginHistory>) -> ProposalDedup {
        let proposal_count = histories.iter().map(|history| history.last_used).max().unwrap_or(0);
        let window = |history: OriginHistory| {
            let window =
                OriginWindow { highest: history.highest, mask: history.mask, last_used: history.last_used };
            (history.origin, window)
        };
        let origins = histories.into_iter().take(MAX_ORIGINS).map(window).collect();
        ProposalDedup { origins, proposal_count }
    }
}
