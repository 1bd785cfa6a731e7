//! What a member reports of its view: events and counters.

use crate::Timestamp;
use std::collections::VecDeque;

/// Maximum number of events retained until they are taken; the oldest are dropped first.
const MAX_EVENTS: usize = 1_024;

/// What happened to a member of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEventKind {
    /// It joined, or joined again.
    Joined,
    /// It is a new process under a known name.
    Restarted,
    /// It did not answer a probe.
    Suspected,
    /// It refuted a suspicion, or was declared dead and is not.
    Refuted,
    /// It was declared dead.
    Died,
    /// It announced that it leaves, and left.
    Left,
    /// Another, later process has this member's own name.
    Superseded,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipEvent {
    /// When.
    pub at: Timestamp,
    /// The member.
    pub member: String,
    /// What happened to it.
    pub kind: MembershipEventKind,
    /// Who reported it first, where that is known.
    pub reported_by: String,
}

/// Counters, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages put into the outbox.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Direct probes that were not answered in time.
    pub indirect_probes: u64,
    /// Suspicions that were begun by this member's own probes.
    pub suspicions: u64,
    /// Updates on itself that this member refuted.
    pub refutations: u64,
    /// Times that this member found itself stopped.
    pub stops: u64,
    /// Complete views sent.
    pub views_sent: u64,
    /// Members ignored because of [`crate::swim::MAX_MEMBERS`].
    pub members_over_limit: u64,
}

/// Events that were not taken yet.
#[derive(Clone, Debug, Default)]
pub(super) struct EventLog {
    events: VecDeque<MembershipEvent>,
}

impl EventLog {
    pub(super) fn push(&mut self, event: MembershipEvent) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Takes all events, oldest first.
    pub(super) fn drain(&mut self) -> Vec<MembershipEvent> {
        self.events.drain(..).collect()
    }
}
