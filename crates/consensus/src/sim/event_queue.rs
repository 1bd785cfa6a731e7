//! Queue of the scheduled events, in virtual time.

use super::faults::FaultEnd;
use crate::frame::Frame;
use crate::ids::MemberId;
use sprucelink_time::Timestamp;
use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One run of a host's process. Events of an earlier run are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessRun {
    pub member: MemberId,
    /// Number of this run: starts of the process so far, including the start of this run.
    pub start_count: u64,
}

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// The timers of a process advance.
    Tick(ProcessRun),
    /// A frame arrives at its receiver.
    Deliver(Box<Frame>),
    /// The write in progress of a process completes or is rejected.
    WriteEnded(ProcessRun),
    /// A proposal is made at a random host.
    Propose,
    /// The nemesis injects a fault.
    InjectFault,
    /// A fault ends.
    EndFault(FaultEnd),
    /// The operator takes its next step.
    OperatorStep,
}

#[derive(Debug)]
struct ScheduledEvent {
    due_at: Timestamp,
    /// Number of the event in the order of scheduling; events that are due at the same time happen in this
    /// order.
    sequence: u64,
    event: Event,
}

impl ScheduledEvent {
    fn key(&self) -> (Timestamp, u64) {
        (self.due_at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// The scheduled events that have not been handled yet.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    scheduled_count: u64,
}

impl EventQueue {
    pub fn push(&mut self, due_at: Timestamp, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse(ScheduledEvent { due_at, sequence: self.scheduled_count, event }));
    }

    /// Removes and returns the next event, with the time at which it is due; `None` if it is due after `end`.
    pub fn pop_until(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        if self.events.peek().is_none_or(|Reverse(next)| next.due_at > end) {
            return None;
        }
        self.events.pop().map(|Reverse(next)| (next.due_at, next.event))
    }
}
