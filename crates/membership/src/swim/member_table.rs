//! The other members, and how updates and time change their states.

use super::event::MembershipEventKind;
use super::suspicion::{final_probe_interval, Suspicion};
use crate::config::ProtocolConfig;
use crate::message::{Member, MemberState};
use crate::{TimeDelta, Timestamp};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of members in the view, the dead included; others are ignored.
pub const MAX_MEMBERS: usize = 4_096;
/// How long gossip is also sent to a dead member, so that one wrongly declared dead receives it and refutes.
const GOSSIP_TO_DEAD: TimeDelta = TimeDelta::from_secs(30);

/// What follows from a change of the view. [`super::SwimNode`] carries it out.
#[derive(Clone, Debug)]
pub(super) enum ViewAction {
    /// Record an event.
    RecordEvent {
        /// The member.
        member: String,
        /// What happened to it.
        kind: MembershipEventKind,
        /// Who reported it first.
        reported_by: String,
    },
    /// Disseminate an update.
    Disseminate {
        /// The member as it is now known.
        member: Member,
        /// Who reported it first.
        reported_by: String,
    },
    /// Remove the payload of an earlier process of this member.
    RemovePayload {
        /// Its name.
        member: String,
    },
    /// Remove a member's payload, and disseminate it no longer.
    RetractPayload {
        /// Its name.
        member: String,
    },
    /// Count a member that was ignored because of [`MAX_MEMBERS`].
    CountOverLimit,
}

/// A member of the view.
#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// When its state last changed.
    changed_at: Timestamp,
    suspicion: Option<Suspicion>,
}

impl MemberEntry {
    fn is_live(&self) -> bool {
        self.member.state.is_live()
    }

    fn receives_gossip(&self, now: Timestamp) -> bool {
        let is_dead = self.member.state == MemberState::Dead;
        self.is_live() || (is_dead && now - self.changed_at < GOSSIP_TO_DEAD)
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

    /// All members, the dead too.
    pub(super) fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// The number of all members, the dead too.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of live members, this one included: the size of the fleet.
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

    /// Addresses of the live and the recently dead.
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
            return self.add_unknown(now, member, reported_by, config);
        };
        match member.generation.cmp(&entry.member.generation) {
            Ordering::Equal => self.apply_same_generation(now, member, reported_by, config),
            Ordering::Greater if member.state.is_live() => {
                self.insert(now, member, reported_by, MembershipEventKind::Restarted, config)
            }
            Ordering::Less | Ordering::Greater => Vec::new(),
        }
    }

    fn add_unknown(
        &mut self,
        now: Timestamp,
        member: Member,
        reported_by: String,
        config: &ProtocolConfig,
    ) -> Vec<ViewAction> {
        // Members that are gone are not added: an update of their end matters only to those who knew them.
        if !member.state.is_live() {
            return Vec::new();
        }
        if self.entries.len() >= MAX_MEMBERS {
            return vec![ViewAction::CountOverLimit];
        }
        self.insert(now, member, reported_by, MembershipEventKind::Joined, config)
    }

    /// Applies an update on a known process; of two updates the one with the higher incarnation counts (SWIM 4.2).
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
                // Outdated: whoever reports it has missed the refutation.
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

    /// Begins to suspect a member.
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

    /// Another member has the same suspicion: it expires sooner.
    fn confirm_suspicion(&mut self, member: Member, reported_by: String) -> Vec<ViewAction> {
        let Some(entry) = self.entries.get_mut(&member.name) else { return Vec::new() };
        let Some(suspicion) = &mut entry.suspicion else { return Vec::new() };
        if !suspicion.confirm(&reported_by) {
            return Vec::new();
        }
        entry.member.incarnation = member.incarnation;
        vec![ViewAction::Disseminate { member, reported_by }]
    }

    /// A member is dead or has left.
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
            ViewAction::RetractPayload { member: member.name.clone() },
            ViewAction::RecordEvent { member: member.name, kind, reported_by: reported_by.clone() },
            ViewAction::Disseminate { member: entry.member.clone(), reported_by },
        ]
    }

    /// When the next final probe or expiry of a suspicion is due.
    pub(super) fn next_suspicion_deadline(&self, config: &ProtocolConfig) -> Option<Timestamp> {
        let interval = final_probe_interval(config);
        let suspicions = self.entries.values().filter_map(|entry| entry.suspicion.as_ref());
        suspicions.map(|suspicion| suspicion.next_deadline(interval)).min()
    }

    /// Suspects that are due a final probe, which then counts as sent.
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

    /// Extends all suspicions by time in which this member was stopped.
    pub(super) fn extend_suspicions(&mut self, by: TimeDelta) {
        for suspicion in self.entries.values_mut().filter_map(|entry| entry.suspicion.as_mut()) {
            suspicion.extend(by);
        }
    }

    /// Removes members that have been dead for longer than the configured retention.
    pub(super) fn remove_long_dead(&mut self, now: Timestamp, config: &ProtocolConfig) {
        let retention = TimeDelta::from_secs_f64(config.dead_retention_s);
        self.entries.retain(|_, entry| entry.is_live() || now - entry.changed_at <= retention);
    }
}
