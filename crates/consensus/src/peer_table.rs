//! What a member knows of the others beside the log: their newest start, and the highest that they acknowledged.

use crate::ids::MemberId;
use crate::limits::{MAX_PEERS, MAX_VOTERS};
use crate::wire::{AckState, Boot, ObservedAck};
use std::collections::BTreeMap;

/// One peer.
#[derive(Debug, Clone, Default)]
struct Peer {
    boot: u64,
    /// What the start names itself by; 0 when that is not known.
    nonce: u64,
    /// When it last said hello, counted in hellos; 0 when it did not since the own start.
    asked: u64,
    seen: AckState,
}

/// What a hello shows its receiver about the asker's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    /// Newer than any known.
    New,
    /// The one known, asking again.
    Known,
    /// Older than one known, or bearing the number of another: this is the number to go beyond.
    Behind(u64),
}

/// The table of peers: the members, and those that were members when they were last heard of.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    table: BTreeMap<MemberId, Peer>,
    hellos: u64,
    /// Something changed that is not yet on disk.
    pub changed: bool,
    /// A start was learned from the starter itself, and no answer may go out before that is on disk.
    pub urgent: bool,
}

/// Whether one witness is beyond another: by writes, which count everything that a store was given.
pub(crate) fn beyond(seen: &AckState, held: &AckState) -> bool {
    seen.writes > held.writes || (seen.writes == held.writes && seen.writes > 0 && seen != held)
}

impl PeerTable {
    pub fn restored(boots: &[Boot], seen: &[ObservedAck]) -> Self {
        let mut peers = PeerTable::default();
        for boot in boots {
            let peer = peers.table.entry(MemberId::from_raw(boot.member)).or_default();
            (peer.boot, peer.nonce) = (boot.boot, boot.nonce);
        }
        for seen in seen {
            peers.table.entry(MemberId::from_raw(seen.member)).or_default().seen =
                seen.ack.unwrap_or_default();
        }
        peers
    }

    pub fn seen(&self, member: MemberId) -> AckState {
        self.table.get(&member).map_or_else(AckState::default, |peer| peer.seen)
    }

    /// The entry of a member; `None` when it is new and there are as many as may be.
    fn entry(&mut self, member: MemberId) -> Option<&mut Peer> {
        if self.table.len() >= MAX_PEERS && !self.table.contains_key(&member) {
            return None;
        }
        Some(self.table.entry(member).or_default())
    }

    /// Whether a frame is of the newest start known of its sender, or of a newer one.
    pub fn is_current(&self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(known) = self.table.get(&member) else { return true };
        let same = known.nonce == 0 || nonce == known.nonce;
        boot > known.boot || (boot == known.boot && same)
    }

    /// Learns of a start, from anybody. True when it is newer than the one known.
    pub fn learn(&mut self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(known) = self.entry(member) else { return false };
        if boot == known.boot && known.nonce == 0 {
            known.nonce = nonce;
        }
        if boot <= known.boot {
            return false;
        }
        (known.boot, known.nonce) = (boot, nonce);
        self.changed = true;
        true
    }

    /// Takes a start's own word. One of the known number counts only under the nonce that it came with: the disk may
    /// have lost the counter, and two starts of one number must not be taken for one.
    pub fn hello(&mut self, member: MemberId, boot: u64, nonce: u64) -> Option<Start> {
        self.hellos += 1;
        let asked = self.hellos;
        let known = self.entry(member)?;
        if boot > known.boot {
            (known.boot, known.nonce, known.asked) = (boot, nonce, asked);
            (self.changed, self.urgent) = (true, true);
            Some(Start::New)
        } else if boot == known.boot && nonce == known.nonce && nonce != 0 {
            if known.asked == 0 {
                // Known from others so far; like a new one it must be on disk before it is answered.
                known.asked = asked;
                (self.changed, self.urgent) = (true, true);
            }
            Some(Start::Known)
        } else {
            Some(Start::Behind(known.boot))
        }
    }

    /// Remembers what a member says that it acknowledged, if it is more than was seen.
    pub fn saw(&mut self, member: MemberId, witness: &AckState) {
        let Some(peer) = self.entry(member) else { return };
        if witness.writes > peer.seen.writes {
            peer.seen = *witness;
            self.changed = true;
        }
    }

    /// Forgets a member that is removed.
    pub fn forget(&mut self, member: MemberId) {
        self.table.remove(&member);
    }

    /// The newest starts for every message: the voters', then those that last said hello here, for a member that lags
    /// may not know yet that they are voters. At most twice [`MAX_VOTERS`].
    pub fn told(&self, voters: &[MemberId]) -> Vec<Boot> {
        let is_voter = |member: &MemberId| voters.contains(member);
        let mut others: Vec<(&MemberId, &Peer)> =
            self.table.iter().filter(|(member, peer)| !is_voter(member) && peer.asked > 0).collect();
        others.sort_unstable_by_key(|(_, peer)| std::cmp::Reverse(peer.asked));
        let voters = voters.iter().filter_map(|voter| self.table.get_key_value(voter));
        let known = voters.chain(others).filter(|(_, peer)| peer.boot > 0).take(2 * MAX_VOTERS);
        known
            .map(|(member, peer)| Boot { member: member.raw(), boot: peer.boot, nonce: peer.nonce })
            .collect()
    }

    pub fn boots(&self) -> Vec<Boot> {
        self.table
            .iter()
            .map(|(member, peer)| Boot { member: member.raw(), boot: peer.boot, nonce: peer.nonce })
            .collect()
    }

    pub fn all_seen(&self) -> Vec<ObservedAck> {
        self.table
            .iter()
            .map(|(member, peer)| ObservedAck { member: member.raw(), ack: Some(peer.seen) })
            .collect()
    }
}
