//! Table of a member's peers: the newest boot of each, and the highest state that each was observed to
//! acknowledge.

use crate::frame::MAX_BOOTS;
use crate::ids::MemberId;
use crate::limits::MAX_PEERS;
use crate::wire::{AckState, Boot, ObservedAck};
use std::cmp::Reverse;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
struct Peer {
    /// Number of the peer's newest known boot.
    boot: u64,
    /// Nonce of that boot; 0 when the nonce is not known.
    nonce: u64,
    /// Sequence number of the peer's last rejoin request among all requests received; 0 when it has sent none
    /// since this member started.
    last_request: u64,
    /// The highest state that the peer was observed to acknowledge.
    observed_ack: AckState,
}

/// How the boot in a rejoin request compares with the known boot of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BootStatus {
    /// The boot is newer than the known one.
    New,
    /// The boot is the known one; its member repeats the request.
    Known,
    /// The boot is older than the known one, or another boot with the same number.
    Stale {
        /// The known boot number; the sender has to take a higher one.
        known: u64,
    },
}

/// The peers: members, and former members that still send.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<MemberId, Peer>,
    /// Number of rejoin requests received since this member started.
    request_count: u64,
    /// Whether the table has changes that are not yet part of a batch.
    pub has_changes_not_in_batch: bool,
    /// Whether the table has to be part of a batch at once: a peer's own rejoin request reported a boot,
    /// which has to be on disk before the response is sent.
    pub must_save_now: bool,
}

/// Whether a peer observed a member to acknowledge more batches than the member's disk holds, or the same
/// number of batches with a different state.
pub(crate) fn is_ahead_of(observed: &AckState, recovered: &AckState) -> bool {
    let differs = observed.writes == recovered.writes && observed.writes > 0 && observed != recovered;
    observed.writes > recovered.writes || differs
}

impl PeerTable {
    /// Restores the table from the boots and acknowledgements on disk.
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

    /// The highest state that a peer was observed to acknowledge.
    pub fn observed_ack(&self, member: MemberId) -> AckState {
        self.peers.get(&member).map_or_else(AckState::default, |peer| peer.observed_ack)
    }

    /// The entry of a peer; `None` when the peer is new and the table already has [`MAX_PEERS`].
    fn entry(&mut self, member: MemberId) -> Option<&mut Peer> {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&member) {
            return None;
        }
        Some(self.peers.entry(member).or_default())
    }

    /// Whether a frame is from the newest known boot of its sender, or from a newer one.
    pub fn is_current(&self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(peer) = self.peers.get(&member) else { return true };
        let is_same_nonce = peer.nonce == 0 || nonce == peer.nonce;
        boot > peer.boot || (boot == peer.boot && is_same_nonce)
    }

    /// Records a boot that any peer reported. Returns whether the boot is newer than the known one.
    pub fn learn_boot(&mut self, member: MemberId, boot: u64, nonce: u64) -> bool {
        let Some(peer) = self.entry(member) else { return false };
        if boot == peer.boot && peer.nonce == 0 {
            peer.nonce = nonce;
        }
        if boot <= peer.boot {
            return false;
        }
        peer.boot = boot;
        peer.nonce = nonce;
        self.has_changes_not_in_batch = true;
        true
    }

    /// Records a boot from the rejoin request of the peer itself; `None` when the table is full. A boot with
    /// the known number counts only with the known nonce: the peer's disk may have lost the counter, and two
    /// boots with the same number must not be confused.
    pub fn record_rejoin_request(&mut self, member: MemberId, boot: u64, nonce: u64) -> Option<BootStatus> {
        self.request_count += 1;
        let request_number = self.request_count;
        let peer = self.entry(member)?;
        if boot > peer.boot {
            peer.boot = boot;
            peer.nonce = nonce;
            peer.last_request = request_number;
            self.require_save();
            return Some(BootStatus::New);
        }
        if boot == peer.boot && nonce == peer.nonce && nonce != 0 {
            if peer.last_request == 0 {
                // The boot was known only from other peers. Like a new one, it has to be on disk before the
                // response.
                peer.last_request = request_number;
                self.require_save();
            }
            return Some(BootStatus::Known);
        }
        Some(BootStatus::Stale { known: peer.boot })
    }

    fn require_save(&mut self) {
        self.has_changes_not_in_batch = true;
        self.must_save_now = true;
    }

    /// Records that the table is part of a batch.
    pub fn mark_in_batch(&mut self) {
        self.has_changes_not_in_batch = false;
        self.must_save_now = false;
    }

    /// Records the state that a peer acknowledges, if the state is higher than any observed before.
    pub fn observe_ack(&mut self, member: MemberId, ack: &AckState) {
        let Some(peer) = self.entry(member) else { return };
        if ack.writes > peer.observed_ack.writes {
            peer.observed_ack = *ack;
            self.has_changes_not_in_batch = true;
        }
    }

    /// Removes a member that was removed from the group.
    pub fn forget(&mut self, member: MemberId) {
        self.peers.remove(&member);
    }

    /// The newest boots to include in every frame: those of the voters, then those of the peers that sent the
    /// latest rejoin requests, because a member that is behind may not know yet that they are voters. At most
    /// [`MAX_BOOTS`].
    pub fn boots_to_send(&self, voters: &[MemberId]) -> Vec<Boot> {
        let is_recent_non_voter =
            |(member, peer): &(&MemberId, &Peer)| !voters.contains(member) && peer.last_request > 0;
        let mut others: Vec<(&MemberId, &Peer)> = self.peers.iter().filter(is_recent_non_voter).collect();
        others.sort_unstable_by_key(|(_, peer)| Reverse(peer.last_request));
        let voters = voters.iter().filter_map(|voter| self.peers.get_key_value(voter));
        let known = voters.chain(others).filter(|(_, peer)| peer.boot > 0);
        known.take(MAX_BOOTS).map(boot_to_wire).collect()
    }

    /// The newest known boots of all peers, for the disk.
    pub fn boots(&self) -> Vec<Boot> {
        self.peers.iter().map(boot_to_wire).collect()
    }

    /// The observed acknowledgements of all peers, for the disk.
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
