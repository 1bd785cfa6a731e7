//! Tracks the batches of a member: on disk, in flight to disk, and due next.

use crate::ids::LogPosition;
use crate::ready::Batch;
use crate::wire::AckState;
use sprucelink_time::Timestamp;
use std::collections::VecDeque;

/// A batch that was handed out and is not yet on disk.
#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    /// Number of the raft library's newest `Ready` that this batch makes durable; 0 when there is none.
    raft_ready: u64,
    /// State that the member acknowledges once the batch is on disk.
    ack: AckState,
}

/// The batches of a member and what they make durable.
#[derive(Debug)]
pub(super) struct Persistence {
    /// The state that this member can have acknowledged before its start, as its disk shows. A peer that
    /// observed more reveals that the disk lost writes.
    pub recovered: AckState,
    /// The state after the last batch on disk: the state that frames acknowledge at once.
    pub durable: AckState,
    /// Number of the last batch handed out.
    pub last_batch: u64,
    in_flight: VecDeque<InFlightBatch>,
    /// Whether the next batch has to contain the snapshot and all entries after the snapshot.
    pub is_snapshot_due: bool,
    /// Whether a batch is due because the member's boot number or phase changed, even if the raft library has
    /// nothing to write.
    pub is_state_due: bool,
    /// Time from which a batch is due if the peer table has changed.
    pub peers_due_at: Timestamp,
}

impl Persistence {
    /// Starts with the state that the disk held and the number of the last batch on the disk.
    pub fn new(recovered: AckState, last_batch: u64, peers_due_at: Timestamp) -> Self {
        Persistence {
            recovered,
            durable: recovered,
            last_batch,
            in_flight: VecDeque::new(),
            is_snapshot_due: false,
            is_state_due: false,
            peers_due_at,
        }
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of the last batch in flight; 0 when there is none.
    pub fn last_in_flight(&self) -> u64 {
        self.in_flight.back().map_or(0, |batch| batch.number)
    }

    /// State that is acknowledged once all batches in flight are on disk.
    pub fn pending_ack(&self) -> AckState {
        self.in_flight.back().map_or(self.durable, |batch| batch.ack)
    }

    /// Records a batch that is handed out. The batch makes the raft library's `Ready` number `raft_ready`
    /// durable, unless that number is 0.
    pub fn batch_handed_out(&mut self, batch: &Batch, last: LogPosition, raft_ready: u64) {
        let ack = AckState {
            writes: batch.number,
            term: batch.state.term,
            vote: batch.state.vote,
            last_term: last.term,
            last_index: last.index,
        };
        self.in_flight.push_back(InFlightBatch { number: batch.number, raft_ready, ack });
    }

    /// Attaches a `Ready` of the raft library that has nothing to write to the last batch in flight. Returns
    /// false when no batch is in flight.
    pub fn attach_to_last(&mut self, raft_ready: u64) -> bool {
        match self.in_flight.back_mut() {
            Some(batch) => {
                batch.raft_ready = raft_ready;
                true
            }
            None => false,
        }
    }

    /// Records that a batch and all batches before it are on disk. Returns the number of the raft library's
    /// newest `Ready` that this makes durable, or 0.
    pub fn batch_on_disk(&mut self, number: u64) -> u64 {
        let mut raft_ready = 0;
        while let Some(batch) = self.in_flight.front().filter(|batch| batch.number <= number) {
            raft_ready = raft_ready.max(batch.raft_ready);
            self.durable = batch.ack;
            self.in_flight.pop_front();
        }
        raft_ready
    }
}
