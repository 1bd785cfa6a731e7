//! Updates that others send about this member itself.

use super::event::MembershipEventKind;
use super::node::SwimNode;
use crate::message::{Member, MemberState};
use crate::Timestamp;

impl SwimNode {
    /// Refutes what is not true by a higher incarnation (SWIM 4.2).
    pub(super) fn apply_update_on_self(&mut self, now: Timestamp, member: &Member) {
        self.check_superseded(now, member.generation);
        let is_wrong = member.state != MemberState::Alive
            && member.generation == self.local.generation
            && member.incarnation >= self.incarnation;
        if !is_wrong || self.has_left {
            return;
        }
        self.incarnation = member.incarnation.saturating_add(1);
        self.counters.refutations += 1;
        // Others did not hear from it in time: that may be its own fault (Lifeguard's local health).
        self.local_health.worsen(1);
        let alive = self.own_member_as(MemberState::Alive);
        self.enqueue_member(alive, self.local.name.clone());
    }

    /// Whether an update accuses this process of not being alive.
    pub(super) fn is_accusation(&self, member: &Member) -> bool {
        member.name == self.local.name
            && member.generation == self.local.generation
            && member.state != MemberState::Alive
    }

    /// A later process under this member's name takes its place: this one falls silent.
    pub(super) fn check_superseded(&mut self, now: Timestamp, generation: u64) {
        if generation > self.local.generation && !self.is_superseded {
            self.is_superseded = true;
            let name = self.local.name.clone();
            self.record_event(now, name, MembershipEventKind::Superseded, String::new());
        }
    }
}
