//! Detecting proposals that have taken effect before: a proposer that gets no answer proposes again, and both proposals
//! may be committed.

use std::collections::BTreeMap;

/// Largest number of origins that are remembered. Beyond it the one whose last proposal is the oldest is evicted: the
/// managers and operators of the largest fleet are a few thousand.
pub const MAX_ORIGINS: usize = 8_192;

/// How far below an origin's highest sequence others are remembered. A proposer has fewer proposals undecided.
pub const SEQUENCE_WINDOW: u64 = 64;

/// The proposals of one origin that have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OriginWindow {
    /// The highest sequence that took effect.
    highest: u64,
    /// Bit `n` represents the sequence `n + 1` below the highest.
    mask: u64,
    /// When the origin last proposed, as a count of all proposals.
    last_used: u64,
}

impl OriginWindow {
    /// Records a sequence; false if it was recorded before, or is below the window.
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

/// What is remembered of one origin, for a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginHistory {
    /// The proposer.
    pub origin: String,
    /// The highest sequence that took effect.
    pub highest: u64,
    /// Which sequences below it took effect: bit `n` represents the sequence `n + 1` below the highest.
    pub mask: u64,
    /// When the origin last proposed, as a count of all proposals.
    pub last_used: u64,
}

/// The proposals that have taken effect, by origin. A part of the applied state: the same at every manager.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProposalDedup {
    origins: BTreeMap<String, OriginWindow>,
    proposals: u64,
}

impl ProposalDedup {
    /// Records a proposal; false if it was recorded before, or is so old that it may have been.
    pub fn insert(&mut self, origin: &str, sequence: u64) -> bool {
        self.proposals += 1;
        if let Some(window) = self.origins.get_mut(origin) {
            window.last_used = self.proposals;
            return window.insert(sequence);
        }
        if self.origins.len() >= MAX_ORIGINS {
            self.evict_oldest_origin();
        }
        let window = OriginWindow { highest: sequence, mask: 0, last_used: self.proposals };
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

    /// All that is remembered, for a snapshot.
    pub fn export(&self) -> Vec<OriginHistory> {
        let history = |(origin, window): (&String, &OriginWindow)| OriginHistory {
            origin: origin.clone(),
            highest: window.highest,
            mask: window.mask,
            last_used: window.last_used,
        };
        self.origins.iter().map(history).collect()
    }

    /// Restores what [`ProposalDedup::export`] returned; origins over [`MAX_ORIGINS`] are left out.
    pub fn import(histories: Vec<OriginHistory>) -> ProposalDedup {
        let proposals = histories.iter().map(|history| history.last_used).max().unwrap_or(0);
        let window = |history: OriginHistory| {
            let window =
                OriginWindow { highest: history.highest, mask: history.mask, last_used: history.last_used };
            (history.origin, window)
        };
        let origins = histories.into_iter().take(MAX_ORIGINS).map(window).collect();
        ProposalDedup { origins, proposals }
    }
}
