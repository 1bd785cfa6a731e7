//! This member: how it describes itself, and how it answers updates that others send about it.

use crate::message::{Member, MemberState, Sender, Update};
use std::net::SocketAddr;

/// This member.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Its name.
    pub name: String,
    /// The generation of this process: when it started, in Unix milliseconds.
    pub generation: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
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

    /// This member as the sender of a message.
    pub(super) fn sender(&self) -> Sender {
        Sender {
            name: self.identity.name.clone(),
            generation: self.identity.generation,
            address: self.identity.address,
        }
    }

    /// This member as it describes itself.
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

    /// An update of a member, as reported by this one.
    pub(super) fn report(&self, member: Member) -> Update {
        Update::Member { member, reported_by: self.identity.name.clone() }
    }

    /// Whether it neither probes nor compares views any more: it has left, or a later process has its name.
    pub(super) fn is_inactive(&self) -> bool {
        self.has_left || self.is_superseded
    }

    /// This member leaves.
    pub(super) fn leave(&mut self) {
        self.has_left = true;
    }

    /// Whether an update accuses this process of not being alive.
    pub(super) fn is_accusation(&self, member: &Member) -> bool {
        member.name == self.identity.name
            && member.generation == self.identity.generation
            && member.state != MemberState::Alive
    }

    /// Refutes a false accusation by a higher incarnation (SWIM 4.2); returns whether it did.
    pub(super) fn refute(&mut self, member: &Member) -> bool {
        let is_current = member.incarnation >= self.incarnation;
        if !self.is_accusation(member) || !is_current || self.has_left {
            return false;
        }
        self.incarnation = member.incarnation.saturating_add(1);
        true
    }

    /// A process under this member's name was seen. A later one takes its place; returns whether that is new.
    pub(super) fn supersede(&mut self, generation: u64) -> bool {
        let is_new = generation > self.identity.generation && !self.is_superseded;
        self.is_superseded |= is_new;
        is_new
    }
}
