//! The members of the view, and how updates change them.

use super::event::MembershipEventKind;
use super::node::SwimNode;
use super::suspicion::Suspicion;
use crate::gossip_payload::GossipPayload;
use crate::message::{Member, MemberState};
use crate::{TimeDelta, Timestamp};
use std::cmp::Ordering;

/// Most members held, the dead included; others are ignored.
pub const MAX_MEMBERS: usize = 4_096;

/// A member of the view.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub(super) member: Member,
    /// When its state last changed.
    pub(super) changed_at: Timestamp,
    pub(super) suspicion: Option<Suspicion>,
}

impl MemberEntry {
    pub(super) fn is_live(&self) -> bool {
        self.member.state.is_live()
    }
}

impl SwimNode {
    /// Applies an update of a member's state.
    pub(super) fn apply_member_update(&mut self, now: Timestamp, member: Member, reported_by: String) {
        if member.name == self.local.name {
            self.apply_update_on_self(now, &member);
            return;
        }
        let Some(entry) = self.members.get(&member.name) else {
            self.add_unknown_member(now, member, reported_by);
            return;
        };
        match member.generation.cmp(&entry.member.generation) {
            Ordering::Less => {}
            Ordering::Equal => self.apply_same_generation(now, member, reported_by),
            Ordering::Greater => {
                if member.state.is_live() {
                    self.insert_member(now, member, reported_by, MembershipEventKind::Restarted);
                }
            }
        }
    }

    fn add_unknown_member(&mut self, now: Timestamp, member: Member, reported_by: String) {
        // Members that are gone are not added: only what was held of them counts.
        if !member.state.is_live() {
            return;
        }
        if self.members.len() >= MAX_MEMBERS {
            self.counters.members_over_limit += 1;
            return;
        }
        self.insert_member(now, member, reported_by, MembershipEventKind::Joined);
    }

    /// Applies an update on a known process; of two updates the one with the higher incarnation counts (SWIM 4.2).
    fn apply_same_generation(&mut self, now: Timestamp, member: Member, reported_by: String) {
        let Some(entry) = self.members.get(&member.name) else { return };
        let known = &entry.member;
        let is_current = member.incarnation >= known.incarnation;
        match (member.state, known.state) {
            (MemberState::Alive, _) if member.incarnation > known.incarnation => {
                self.mark_alive(now, member, reported_by);
            }
            (MemberState::Suspect, MemberState::Alive) if is_current => {
                self.begin_suspicion(now, member, reported_by);
            }
            (MemberState::Suspect, MemberState::Suspect) if is_current => {
                self.confirm_suspicion(member, reported_by);
            }
            (MemberState::Dead | MemberState::Left, MemberState::Alive | MemberState::Suspect)
                if is_current =>
            {
                self.end_membership(now, member, reported_by);
            }
            (MemberState::Suspect | MemberState::Dead, MemberState::Alive) if !is_current => {
                // Outdated: whoever reports it has missed the refutation.
                let refutation = known.clone();
                self.enqueue_member(refutation, reported_by);
            }
            _ => {}
        }
    }

    fn mark_alive(&mut self, now: Timestamp, member: Member, reported_by: String) {
        let Some(entry) = self.members.get_mut(&member.name) else { return };
        let was_refuted = entry.member.state != MemberState::Alive;
        entry.member = member.clone();
        entry.suspicion = None;
        entry.changed_at = now;
        if was_refuted {
            let kind = MembershipEventKind::Refuted;
            self.record_event(now, member.name.clone(), kind, reported_by.clone());
        }
        self.enqueue_member(member, reported_by);
    }

    /// Adds a member, or replaces the process known under its name.
    fn insert_member(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        kind: MembershipEventKind,
    ) {
        self.payloads.remove(&member.name);
        let alive = Member { state: MemberState::Alive, ..member.clone() };
        let entry = MemberEntry { member: alive.clone(), changed_at: now, suspicion: None };
        self.members.insert(member.name.clone(), entry);
        self.record_event(now, member.name.clone(), kind, reported_by.clone());
        if member.state == MemberState::Suspect {
            self.begin_suspicion(now, member, reported_by);
        } else {
            self.enqueue_member(alive, reported_by);
        }
    }

    /// A member is dead or has left.
    pub(super) fn end_membership(&mut self, now: Timestamp, member: Member, reported_by: String) {
        let Some(entry) = self.members.get_mut(&member.name) else { return };
        entry.member.state = member.state;
        entry.member.incarnation = member.incarnation;
        entry.changed_at = now;
        entry.suspicion = None;
        let ended = entry.member.clone();
        let kind = match member.state {
            MemberState::Left => MembershipEventKind::Left,
            _ => MembershipEventKind::Died,
        };
        self.payloads.remove(&member.name);
        self.gossip_queue.remove_payload(&member.name);
        self.record_event(now, member.name, kind, reported_by.clone());
        self.enqueue_member(ended, reported_by);
    }

    /// Applies an update of a member's payload.
    pub(super) fn apply_payload_update(&mut self, member: String, generation: u64, payload: GossipPayload) {
        let entry = self.members.get(&member);
        let is_known = entry.is_some_and(|entry| entry.is_live() && entry.member.generation == generation);
        if is_known && self.payloads.merge(&member, generation, &payload) {
            self.gossip_queue.enqueue_payload(member, generation, payload);
        }
    }

    /// Forgets members that have been dead for long.
    pub(super) fn forget_dead_members(&mut self, now: Timestamp) {
        let retention = TimeDelta::from_secs_f64(self.config.dead_retention_s);
        self.members.retain(|_, entry| entry.is_live() || now - entry.changed_at <= retention);
    }
}
