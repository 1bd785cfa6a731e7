//! What is going to happen, in virtual time.

use super::faults::FaultEnd;
use crate::frame::Frame;
use crate::ids::MemberId;
use sprucelink_time::Timestamp;
use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One run of a host's process: events of an earlier run are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessRun {
    pub member: MemberId,
    /// How often the process had been started.
    pub starts: u64,
}

/// Something that happens.
#[derive(Debug)]
pub(super) enum Event {
    /// A process is ticked.
    Tick(ProcessRun),
    /// A frame arrives.
    Deliver(Box<Frame>),
    /// The write of a process is on disk, or rejected.
    Synced(ProcessRun),
    /// Something is proposed at some host.
    Propose,
    /// The nemesis injects a fault.
    InjectFault,
    /// A fault ends.
    EndFault(FaultEnd),
    /// The operator looks.
    Operate,
}

#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    /// Events at one time happen in the order in which they were scheduled.
    number: u64,
    event: Event,
}

impl Scheduled {
    fn key(&self) -> (Timestamp, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// The events to come.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    /// The next event, if it happens by `end`.
    pub fn pop_until(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        if self.events.peek().is_none_or(|Reverse(next)| next.at > end) {
            return None;
        }
        self.events.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
