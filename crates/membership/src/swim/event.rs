//! Events and counters that a member reports about its view.

use crate::Timestamp;
use std::collections::VecDeque;

/// Maximum number of events retained until the caller takes them; the oldest are dropped first.
const MAX_EVENTS: usize = 1_024;

/// Change of a member's state in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEventKind {
    /// The member was not in the view and was added.
    Joined,
    /// A new process under the name of a known member replaced the earlier one.
    Restarted,
    /// The member did not answer a probe.
    Suspected,
    /// The member refuted a suspicion or a declaration of its death.
    Refuted,
    /// The suspicion against the member expired, or another member declared it dead.
    Died,
    /// The member announced that it is leaving, and left.
    Left,
    /// A later process has this member's own name; this member stops probing.
    Superseded,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipEvent {
    /// Time at which this member's view changed.
    pub occurred_at: Timestamp,
    /// Name of the member whose state changed.
    pub member: String,
    /// Kind of the change.
    pub kind: MembershipEventKind,
    /// Name of the member that reported the change first; empty if unknown.
    pub reported_by: String,
}

/// Counters of a member since its creation, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages put into the outbox.
    pub sent: u64,
    /// Messages received, including those that had no effect.
    pub received: u64,
    /// Direct probes that were not answered in time.
    pub unanswered_direct_probes: u64,
    /// Suspicions that this member's own probes began.
    pub suspicions: u64,
    /// Reports of this member as suspected, dead or having left that this member refuted.
    pub refutations: u64,
    /// Number of times that this member detected that its process had been stopped.
    pub stops: u64,
    /// Complete views sent to members whose digest differed.
    pub views_sent: u64,
    /// Number of times that a new member was ignored because the view held [`crate::swim::MAX_MEMBERS`]
    /// members.
    pub members_over_limit: u64,
}

/// Events that the caller has not taken yet.
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
