//! What a member knows of its peers beside the log: their newest boot, and the most that they were seen to acknowledge.

use crate::frame::MAX_BOOTS;
use crate::ids::MemberId;
use crate::limits::MAX_PEERS;
use crate::wire::{AckState, Boot, ObservedAck};
use std::cmp::Reverse;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
struct Peer {
    /// Number of its newest known boot.
    boot: u64,
    /// The random number of that boot; 0 when it is not known.
    nonce: u64,
    /// When it last sent a rejoin request, as a count of all requests; 0 when it did not since this member started.
    last_request: u64,
    /// The most that it was seen to acknowledge.
    observed_ack: AckState,
}

/// What a rejoin request shows about its sender's boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BootStatus {
    /// Newer than the known one.
    New,
    /// The known one, asking again.
    Known,
    /// Older than the known one, or another with its number.
    Stale {
        /// The number that the sender has to go beyond.
        known: u64,
    },
}

/// The peers: members, and former members that still send.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<MemberId, Peer>,
    /// Number of rejoin requests received.
    requests: u64,
    /// Whether something changed that is not yet on disk.
    pub has_unsaved_changes: bool,
    /// Whether a boot was learned from the peer itself: it has to be on disk before the response is sent.
    pub must_save_now: bool,
}

/// Whether a peer observed more acknowledged batches than a disk holds, or other ones.
pub(crate) fn is_ahead_of(observed: &AckState, recovered: &AckState) -> bool {
    let differs = observed.writes == recovered.writes && observed.writes > 0 && observed != recovered;
    observed.writes > recovered.writes || differs
}

impl PeerTable {
    /// The table that was on disk.
    pub fn recovered(boots: &[Boot], observed_acks: &[ObservedAck]) -> Self {
        let mut table = PeerTable::default();
        for boot in boots {
            let peer = table.peers.entry(MemberId::from_raw(boot.member)).or_default();
            peer.boot = boot.boot;
            peer.nonce = boot.nonce;
        }
        for observed in observed_acks {
            let peer = table.peers.entry(MemberId::from_raw(observed.member)).or_default();
            peer.observed_ack = observed.ack.unwrap_or_default();
        }
        table
    }

    /// The most that a peer was seen to acknowledge.
    pub fn observed_ack(&self, member: MemberId) -> AckState {
        self.peers.get(&member).map_or_else(AckState::default, |peer| peer.observed_ack)
    }

    /// The entry of a peer; `None` when it is new and there are [`MAX_PEERS`].
    fn entry(&mut self, member: MemberId) -> Option<&mut Peer> {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&member) {
            return None;
        }
        Some(self.peers.entry(member).or_default())
    }

    /// Whether a frame is of the newest known boot of its sender, or of a newer one.
    pub fn is_current(&self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(known) = self.peers.get(&member) else { return true };
        let is_same_nonce = known.nonce == 0 || nonce == known.nonce;
        boot > known.boot || (boot == known.boot && is_same_nonce)
    }

    /// Learns of a boot, from any peer. True when it is newer than the known one.
    pub fn learn_boot(&mut self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(known) = self.entry(member) else { return false };
        if boot == known.boot && known.nonce == 0 {
            known.nonce = nonce;
        }
        if boot <= known.boot {
            return false;
        }
        known.boot = boot;
        known.nonce = nonce;
        self.has_unsaved_changes = true;
        true
    }

    /// Learns of a boot from the rejoin request of the peer itself. A boot with the known number counts only under the known
    /// nonce: the peer's disk may have lost the counter, and two boots with one number must not be confused.
    pub fn rejoin_request(&mut self, member: MemberId, boot: u64, nonce: u64) -> Option<BootStatus> {
        self.requests += 1;
        let request = self.requests;
        let known = self.entry(member)?;
        if boot > known.boot {
            known.boot = boot;
            known.nonce = nonce;
            known.last_request = request;
            self.require_save();
            return Some(BootStatus::New);
        }
        if boot == known.boot && nonce == known.nonce && nonce != 0 {
            if known.last_request == 0 {
                // Known from other peers so far; like a new one it has to be on disk before the response.
                known.last_request = request;
                self.require_save();
            }
            return Some(BootStatus::Known);
        }
        Some(BootStatus::Stale { known: known.boot })
    }

    fn require_save(&mut self) {
        self.has_unsaved_changes = true;
        self.must_save_now = true;
    }

    /// The table is part of the next batch.
    pub fn saved(&mut self) {
        self.has_unsaved_changes = false;
        self.must_save_now = false;
    }

    /// Remembers what a peer acknowledges, if it is more than was seen before.
    pub fn observe_ack(&mut self, member: MemberId, ack: &AckState) {
        let Some(peer) = self.entry(member) else { return };
        if ack.writes > peer.observed_ack.writes {
            peer.observed_ack = *ack;
            self.has_unsaved_changes = true;
        }
    }

    /// Forgets a removed member.
    pub fn forget(&mut self, member: MemberId) {
        self.peers.remove(&member);
    }

    /// The newest boots for every frame: those of the voters, then of the peers that last sent a rejoin request, for a
    /// member that is behind may not know yet that they are voters. At most [`MAX_BOOTS`].
    pub fn boots_to_send(&self, voters: &[MemberId]) -> Vec<Boot> {
        let is_recent_other =
            |(member, peer): &(&MemberId, &Peer)| !voters.contains(member) && peer.last_request > 0;
        let mut others: Vec<(&MemberId, &Peer)> = self.peers.iter().filter(is_recent_other).collect();
        others.sort_unstable_by_key(|(_, peer)| Reverse(peer.last_request));
        let voters = voters.iter().filter_map(|voter| self.peers.get_key_value(voter));
        let known = voters.chain(others).filter(|(_, peer)| peer.boot > 0);
        known.take(MAX_BOOTS).map(boot_to_wire).collect()
    }

    /// All boots, for the disk.
    pub fn boots(&self) -> Vec<Boot> {
        self.peers.iter().map(boot_to_wire).collect()
    }

    /// All that was seen acknowledged, for the disk.
    pub fn observed_acks(&self) -> Vec<ObservedAck> {
        let to_wire = |(member, peer): (&MemberId, &Peer)| ObservedAck {
            member: member.raw(),
            ack: Some(peer.observed_ack),
        };
        self.peers.iter().map(to_wire).collect()
    }
}

fn boot_to_wire((member, peer): (&MemberId, &Peer)) -> Boot {
    Boot { member: member.raw(), boot: peer.boot, nonce: peer.nonce }
}
