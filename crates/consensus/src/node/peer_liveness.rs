//! Handling of the fields that every frame contains in addition to its body: the boots of the members that
//! the sender knows, what the sender acknowledged, and a digest of its state.

use super::{Node, Phase};
use crate::alarm::Alarm;
use crate::ids::MemberId;
use crate::limits::MAX_COUNT;
use crate::wire::Envelope;
use raft::StateRole;

impl Node {
    /// Records the fields of a frame other than its body.
    pub(super) fn observe_envelope(&mut self, from: MemberId, envelope: &Envelope) {
        if let Some(ack) = &envelope.acknowledged {
            self.peers.observe_ack(from, ack);
        }
        for boot in envelope.boots.iter().filter(|boot| boot.boot <= MAX_COUNT) {
            self.learn_boot(MemberId::from_raw(boot.member), boot.boot, boot.nonce);
        }
        if let Some(digest) = envelope.digest.filter(|digest| self.digests.differs_from(digest)) {
            self.raise_alarm(Alarm::Diverged { peer: from, index: digest.index });
        }
    }

    /// Handles a boot that another member knows of: a boot of a peer, or of this member itself.
    pub(super) fn learn_boot(&mut self, member: MemberId, boot: u64, nonce: u64) {
        if member == self.id {
            let is_other_boot_with_same_number = boot == self.boot && nonce != 0 && nonce != self.nonce;
            if boot > self.boot || is_other_boot_with_same_number {
                self.raise_boot_above(boot);
            }
        } else if self.peers.learn_boot(member, boot, nonce) {
            self.handle_peer_restart(member);
        }
    }

    /// Raises this member's boot number above one that a peer knows for another boot of this member: the
    /// counter on the disk was lost.
    pub(super) fn raise_boot_above(&mut self, known: u64) {
        self.boot = known + 1;
        if let Phase::Rejoining { quorum, next_request_at } = &mut self.phase {
            quorum.restart();
            *next_request_at = self.now;
        } else {
            // The rejoin response that contained that number was lost. What this boot acknowledged still
            // counts; the boot only takes a higher number, so that peers accept its frames again. If another
            // process runs under this member's id, the alarm is raised repeatedly.
            self.persistence.is_state_due = true;
            self.raise_alarm(Alarm::DuplicateInstance { boot: known });
        }
    }

    /// Handles the restart of a peer: what the peer acknowledged before no longer counts. A leader discards
    /// those acknowledgements and probes the peer's log again; a candidate, which may hold the peer's vote,
    /// steps down.
    pub(super) fn handle_peer_restart(&mut self, member: MemberId) {
        if let Phase::Rejoining { quorum, .. } = &mut self.phase {
            quorum.discard_response(member);
        }
        match self.raw_node.raft.state {
            StateRole::Leader => {
                if let Some(progress) = self.raw_node.raft.mut_prs().get_mut(member.raw()) {
                    let next_index = progress.matched + 1;
                    progress.matched = 0;
                    progress.become_probe();
                    progress.next_idx = next_index;
                }
            }
            StateRole::Candidate | StateRole::PreCandidate => self.step_down(),
            StateRole::Follower => {}
        }
    }
}
