//! The other members, and the changes of their states by updates and expired suspicions.

use super::event::MembershipEventKind;
use super::suspicion::{final_probe_interval, Suspicion};
use crate::config::ProtocolConfig;
use crate::message::{Member, MemberState};
use crate::{TimeDelta, Timestamp};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of members in the view, including those that are dead or have left; further members are
/// ignored.
pub const MAX_MEMBERS: usize = 4_096;
/// Time for which gossip is still sent to a dead member, so that a member wrongly declared dead receives the
/// declaration and refutes it.
const GOSSIP_TO_DEAD_TIME: TimeDelta = TimeDelta::from_secs(30);

/// An action that follows from a change of the view and that [`super::SwimNode`] performs.
#[derive(Clone, Debug)]
pub(super) enum ViewAction {
    /// Record an event.
    RecordEvent {
        /// Name of the member.
        member: String,
        /// Kind of the event.
        kind: MembershipEventKind,
        /// Name of the member that reported the change first.
        reported_by: String,
    },
    /// Disseminate an update.
    Disseminate {
        /// The member with its new state.
        member: Member,
        /// Name of the member that reported the state first.
        reported_by: String,
    },
    /// Remove the payload of an earlier process of a member.
    RemovePayload {
        /// Name of the member.
        member: String,
    },
    /// Remove a member's payload and stop disseminating it.
    RemovePayloadAndStopGossip {
        /// Name of the member.
        member: String,
    },
    /// Count a member that was ignored because of [`MAX_MEMBERS`].
    CountOverLimit,
}

/// A member of the view.
#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// Time at which the member's state last changed.
    changed_at: Timestamp,
    suspicion: Option<Suspicion>,
}

impl MemberEntry {
    fn is_live(&self) -> bool {
        self.member.state.is_live()
    }

    fn receives_gossip(&self, now: Timestamp) -> bool {
        let is_dead = self.member.state == MemberState::Dead;
        self.is_live() || (is_dead && now - self.changed_at < GOSSIP_TO_DEAD_TIME)
    }
}

/// The other members, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    entries: BTreeMap<String, MemberEntry>,
}

impl MemberTable {
    /// Members that are alive or suspected.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(|entry| entry.is_live()).map(|entry| &entry.member)
    }

    /// All members, including those that are dead or have left.
    pub(super) fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Number of all members, including those that are dead or have left.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Size of the fleet: the number of live members, this one included.
    pub(super) fn fleet_size(&self) -> usize {
        self.live().count() + 1
    }

    pub(super) fn get(&self, name: &str) -> Option<&Member> {
        self.entries.get(name).map(|entry| &entry.member)
    }

    pub(super) fn is_live(&self, name: &str) -> bool {
        self.entries.get(name).is_some_and(MemberEntry::is_live)
    }

    pub(super) fn is_suspected(&self, name: &str) -> bool {
        self.entries.get(name).is_some_and(|entry| entry.suspicion.is_some())
    }

    /// Addresses of live and recently dead members.
    pub(super) fn gossip_addresses(&self, now: Timestamp) -> Vec<SocketAddr> {
        let receivers = self.entries.values().filter(|entry| entry.receives_gossip(now));
        receivers.map(|entry| entry.member.address).collect()
    }

    /// Addresses of members that are alive and can probe `target` on this member's behalf.
    pub(super) fn helper_addresses(&self, target: &str) -> Vec<SocketAddr> {
        let helpers = self.all().filter(|member| member.state == MemberState::Alive && member.name != target);
        helpers.map(|member| member.address).collect()
    }

    /// Applies an update of another member's state.
    pub(super) fn apply_update(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        let Some(entry) = self.entries.get(&member.name) else {
            return self.add_unknown_member(now, member, reported_by, config);
        };
        match member.generation.cmp(&entry.member.generation) {
            Ordering::Equal => self.apply_same_generation(now, member, reported_by, config),
            Ordering::Greater if member.state.is_live() => {
                self.insert(now, member, reported_by, MembershipEventKind::Restarted, config)
            }
            Ordering::Less | Ordering::Greater => Vec::new(),
        }
    }

    fn add_unknown_member(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        // Members that are dead or have left are not added: such an update only matters to members whose view
        // contains its subject.
        if !member.state.is_live() {
            return Vec::new();
        }
        if self.entries.len() >= MAX_MEMBERS {
            return vec![ViewAction::CountOverLimit];
        }
        self.insert(now, member, reported_by, MembershipEventKind::Joined, config)
    }

    /// Applies an update about a known process; an update with a lower incarnation is outdated (SWIM 4.2).
    fn apply_same_generation(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        let Some(known) = self.get(&member.name) else { return Vec::new() };
        let is_current = member.incarnation >= known.incarnation;
        match (member.state, known.state) {
            (MemberState::Alive, _) if member.incarnation > known.incarnation => {
                self.mark_alive(now, member, reported_by)
            }
            (MemberState::Suspect, MemberState::Alive) if is_current => {
                self.begin_suspicion(now, member, reported_by, config)
            }
            (MemberState::Suspect, MemberState::Suspect) if is_current => {
                self.confirm_suspicion(member, reported_by)
            }
            (MemberState::Dead | MemberState::Left, MemberState::Alive | MemberState::Suspect)
                if is_current =>
            {
                self.end_membership(now, member, reported_by)
            }
            (MemberState::Suspect | MemberState::Dead, MemberState::Alive) if !is_current => {
                // The update is outdated: its reporter missed the refutation, which is therefore disseminated
                // again.
                let refutation = known.clone();
                vec![ViewAction::Disseminate { member: refutation, reported_by }]
            }
            _ => Vec::new(),
        }
    }

    fn mark_alive(&mut self, now: Timestamp, member: Member, reported_by: String) -> Vec<ViewAction> {
        let Some(entry) = self.entries.get_mut(&member.name) else { return Vec::new() };
        let was_refuted = entry.member.state != MemberState::Alive;
        entry.member = member.clone();
        entry.suspicion = None;
        entry.changed_at = now;
        let mut actions = Vec::new();
        if was_refuted {
            actions.push(ViewAction::RecordEvent {
                member: member.name.clone(),
                kind: MembershipEventKind::Refuted,
                reported_by: reported_by.clone(),
            });
        }
        actions.push(ViewAction::Disseminate { member, reported_by });
        actions
    }

    /// Adds a member, or replaces the process known under its name.
    fn insert(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        kind: MembershipEventKind,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        let name = member.name.clone();
        let alive = Member { state: MemberState::Alive, ..member.clone() };
        let entry = MemberEntry { member: alive.clone(), changed_at: now, suspicion: None };
        self.entries.insert(name.clone(), entry);
        let mut actions = vec![
            ViewAction::RemovePayload { member: name.clone() },
            ViewAction::RecordEvent { member: name, kind, reported_by: reported_by.clone() },
        ];
        if member.state == MemberState::Suspect {
            actions.extend(self.begin_suspicion(now, member, reported_by, config));
        } else {
            actions.push(ViewAction::Disseminate { member: alive, reported_by });
        }
        actions
    }

    /// Marks a member as suspected and begins its suspicion.
    fn begin_suspicion(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        let suspicion = Suspicion::begin(now, reported_by.clone(), self.fleet_size(), config);
        let Some(entry) = self.entries.get_mut(&member.name) else { return Vec::new() };
        entry.member.state = MemberState::Suspect;
        entry.member.incarnation = member.incarnation;
        entry.suspicion = Some(suspicion);
        entry.changed_at = now;
        vec![
            ViewAction::RecordEvent {
                member: member.name,
                kind: MembershipEventKind::Suspected,
                reported_by: reported_by.clone(),
            },
            ViewAction::Disseminate { member: entry.member.clone(), reported_by },
        ]
    }

    /// Adds a confirmation by another member, after which the suspicion expires sooner.
    fn confirm_suspicion(&mut self, member: Member, reported_by: String) -> Vec<ViewAction> {
        let Some(entry) = self.entries.get_mut(&member.name) else { return Vec::new() };
        let Some(suspicion) = &mut entry.suspicion else { return Vec::new() };
        if !suspicion.confirm(&reported_by) {
            return Vec::new();
        }
        entry.member.incarnation = member.incarnation;
        vec![ViewAction::Disseminate { member, reported_by }]
    }

    /// Marks a member as dead or as having left.
    fn end_membership(&mut self, now: Timestamp, member: Member, reported_by: String) -> Vec<ViewAction> {
        let Some(entry) = self.entries.get_mut(&member.name) else { return Vec::new() };
        entry.member.state = member.state;
        entry.member.incarnation = member.incarnation;
        entry.changed_at = now;
        entry.suspicion = None;
        let kind = match member.state {
            MemberState::Left => MembershipEventKind::Left,
            _ => MembershipEventKind::Died,
        };
        vec![
            ViewAction::RemovePayloadAndStopGossip { member: member.name.clone() },
            ViewAction::RecordEvent { member: member.name, kind, reported_by: reported_by.clone() },
            ViewAction::Disseminate { member: entry.member.clone(), reported_by },
        ]
    }

    /// Earliest time of a final probe or expiry of any suspicion; `None` without suspicions.
    pub(super) fn next_suspicion_deadline(&self, config: &ProtocolConfig) -> Option<Timestamp> {
        let interval = final_probe_interval(config);
        let suspicions = self.entries.values().filter_map(|entry| entry.suspicion.as_ref());
        suspicions.map(|suspicion| suspicion.next_deadline(interval)).min()
    }

    /// Returns the suspects for which a final probe (one of several before a suspicion expires) is due, and
    /// counts these probes as sent.
    pub(super) fn take_final_probe_targets(
        &mut self,
        now: Timestamp,
        config: &ProtocolConfig,
    ) -> Vec<Member> {
        let interval = final_probe_interval(config);
        let mut suspects = Vec::new();
        for entry in self.entries.values_mut() {
            let Some(suspicion) = &mut entry.suspicion else { continue };
            if suspicion.take_final_probe(now, interval) {
                suspects.push(entry.member.clone());
            }
        }
        suspects
    }

    /// Declares members dead whose suspicion has expired; `reporter` is this member's name.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp, reporter: &str) -> Vec<ViewAction> {
        let mut expired = Vec::new();
        for entry in self.entries.values() {
            if entry.suspicion.as_ref().is_some_and(|suspicion| suspicion.expires_at() <= now) {
                expired.push(Member { state: MemberState::Dead, ..entry.member.clone() });
            }
        }
        let mut actions = Vec::new();
        for member in expired {
            actions.extend(self.end_membership(now, member, reporter.to_owned()));
        }
        actions
    }

    /// Extends all suspicions by the time for which this member was stopped.
    pub(super) fn extend_suspicions(&mut self, by: TimeDelta) {
        for suspicion in self.entries.values_mut().filter_map(|entry| entry.suspicion.as_mut()) {
            suspicion.extend(by);
        }
    }

    /// Removes members that died or left longer ago than the configured retention.
    pub(super) fn remove_long_dead(&mut self, now: Timestamp, config: &ProtocolConfig) {
        let retention = TimeDelta::from_secs_f64(config.dead_retention_s);
        self.entries.retain(|_, entry| entry.is_live() || now - entry.changed_at <= retention);
    }
}
