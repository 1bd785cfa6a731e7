//! This member: its own description, and its reactions to updates that other members send about it.

use crate::message::{Member, MemberState, Sender, Update};
use std::net::SocketAddr;

/// Identity of this member.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Name of the member, unique in the fleet; a restart does not change it.
    pub name: String,
    /// Generation of this process: its start time in Unix milliseconds.
    pub generation: u64,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Zone of the member; empty if it has none.
    pub zone: String,
    /// Region of the member; empty if it has none.
    pub region: String,
}

/// This member's own state in the protocol.
#[derive(Clone, Debug)]
pub(super) struct LocalState {
    identity: LocalMember,
    incarnation: u32,
    has_left: bool,
    is_superseded: bool,
}

impl LocalState {
    pub(super) fn new(identity: LocalMember) -> LocalState {
        LocalState { identity, incarnation: 0, has_left: false, is_superseded: false }
    }

    pub(super) fn name(&self) -> &str {
        &self.identity.name
    }

    pub(super) fn generation(&self) -> u64 {
        self.identity.generation
    }

    /// The sender fields of this member's messages.
    pub(super) fn sender(&self) -> Sender {
        Sender {
            name: self.identity.name.clone(),
            generation: self.identity.generation,
            address: self.identity.address,
        }
    }

    /// This member with its current state, alive or left.
    pub(super) fn member(&self) -> Member {
        self.member_as(if self.has_left { MemberState::Left } else { MemberState::Alive })
    }

    pub(super) fn member_as(&self, state: MemberState) -> Member {
        let identity = self.identity.clone();
        Member {
            name: identity.name,
            generation: identity.generation,
            incarnation: self.incarnation,
            state,
            address: identity.address,
            zone: identity.zone,
            region: identity.region,
        }
    }

    /// An update that this member is alive.
    pub(super) fn alive_update(&self) -> Update {
        self.report(self.member_as(MemberState::Alive))
    }

    /// An update about a member, reported by this member.
    pub(super) fn report(&self, member: Member) -> Update {
        Update::Member { member, reported_by: self.identity.name.clone() }
    }

    /// Whether this member no longer probes or compares views, because it has left or a later process has its
    /// name.
    pub(super) fn is_inactive(&self) -> bool {
        self.has_left || self.is_superseded
    }

    /// Marks this member as having left.
    pub(super) fn leave(&mut self) {
        self.has_left = true;
    }

    /// Whether an update accuses this process of not being alive.
    pub(super) fn is_accusation(&self, member: &Member) -> bool {
        member.name == self.identity.name
            && member.generation == self.identity.generation
            && member.state != MemberState::Alive
    }

    /// Refutes a false accusation by raising the incarnation above the accused one (SWIM 4.2); returns
    /// whether it did.
    pub(super) fn refute(&mut self, member: &Member) -> bool {
        let is_current = member.incarnation >= self.incarnation;
        if !self.is_accusation(member) || !is_current || self.has_left {
            return false;
        }
        self.incarnation = member.incarnation.saturating_add(1);
        true
    }

    /// Processes the generation of a process under this member's name. A later one supersedes this process;
    /// returns whether it does so for the first time.
    pub(super) fn supersede(&mut self, generation: u64) -> bool {
        let is_new = generation > self.identity.generation && !self.is_superseded;
        self.is_superseded |= is_new;
        is_new
    }
}
