//! Processing of received updates, about other members and about this one.

use super::SwimNode;
use crate::gossip_payload::GossipPayload;
use crate::message::{Member, MemberState, Update};
use crate::swim::event::{MembershipEvent, MembershipEventKind};
use crate::swim::member_table::ViewAction;
use crate::Timestamp;

impl SwimNode {
    /// Applies a message's updates; returns whether one of them accuses this member of not being alive.
    pub(super) fn apply_updates(&mut self, now: Timestamp, updates: Vec<Update>, is_view: bool) -> bool {
        let mut is_accused = false;
        for update in updates {
            match update {
                Update::Member { mut member, reported_by } => {
                    is_accused |= self.local.is_accusation(&member);
                    if is_view && member.state == MemberState::Dead {
                        member.state = MemberState::Suspect;
                    }
                    self.apply_member_update(now, member, reported_by);
                }
                Update::Payload { member, generation, payload } => {
                    self.apply_payload_update(member, generation, payload);
                }
            }
        }
        is_accused
    }

    /// Applies an update of a member's state.
    pub(super) fn apply_member_update(&mut self, now: Timestamp, member: Member, reported_by: String) {
        if member.name == self.local.name() {
            self.apply_update_on_self(now, &member);
            return;
        }
        let actions = self.members.apply_update(now, member, reported_by, &self.config);
        self.perform(now, actions);
    }

    fn apply_update_on_self(&mut self, now: Timestamp, member: &Member) {
        self.check_superseded(now, member.generation);
        if self.local.refute(member) {
            self.counters.refutations += 1;
            // Other members did not receive this member's answers in time, possibly through a fault of this
            // member (Lifeguard's local health).
            self.local_health.worsen(1);
            self.disseminate_own_state(MemberState::Alive);
        }
    }

    fn apply_payload_update(&mut self, member: String, generation: u64, payload: GossipPayload) {
        let known = self.members.get(&member);
        let is_current = known.is_some_and(|known| known.state.is_live() && known.generation == generation);
        if is_current && self.payloads.merge(&member, generation, &payload) {
            self.gossip_queue.enqueue_payload(member, generation, payload);
        }
    }

    /// Queues an update of this member's own state.
    pub(super) fn disseminate_own_state(&mut self, state: MemberState) {
        let member = self.local.member_as(state);
        self.gossip_queue.enqueue_member(member, self.local.name().to_owned());
    }

    /// Checks whether a later process has this member's name; if so, this process is superseded and stops
    /// probing.
    pub(super) fn check_superseded(&mut self, now: Timestamp, generation: u64) {
        if self.local.supersede(generation) {
            let member = self.local.name().to_owned();
            let kind = MembershipEventKind::Superseded;
            self.events.push(MembershipEvent { occurred_at: now, member, kind, reported_by: String::new() });
        }
    }

    /// Declares members dead whose suspicion has expired.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let actions = self.members.expire_suspicions(now, self.local.name());
        self.perform(now, actions);
    }

    /// Performs the actions that follow from changes of the view.
    fn perform(&mut self, now: Timestamp, actions: Vec<ViewAction>) {
        for action in actions {
            match action {
                ViewAction::RecordEvent { member, kind, reported_by } => {
                    self.events.push(MembershipEvent { occurred_at: now, member, kind, reported_by });
                }
                ViewAction::Disseminate { member, reported_by } => {
                    self.gossip_queue.enqueue_member(member, reported_by);
                }
                ViewAction::RemovePayload { member } => self.payloads.remove(&member),
                ViewAction::RemovePayloadAndStopGossip { member } => {
                    self.payloads.remove(&member);
                    self.gossip_queue.remove_payload(&member);
                }
                ViewAction::CountOverLimit => self.counters.members_over_limit += 1,
            }
        }
    }
}
