//! What is on disk, what is on its way there, and what has to be written next.

use crate::ids::LogPosition;
use crate::ready::Batch;
use crate::wire::AckState;
use sprucelink_time::Timestamp;
use std::collections::VecDeque;

/// A batch on its way to disk.
#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    /// The raft library's number of the newest ready that rests on it.
    raft_ready: u64,
    /// What is acknowledged once it is on disk.
    ack: AckState,
}

/// The batches of a member.
#[derive(Debug)]
pub(super) struct Persistence {
    /// What the disk held at the start.
    pub recovered: AckState,
    /// What is on disk now.
    pub durable: AckState,
    /// Number of the last batch handed out.
    pub last_batch: u64,
    in_flight: VecDeque<InFlightBatch>,
    /// The next batch carries the snapshot and all entries behind it.
    pub is_snapshot_due: bool,
    /// A batch is due, whether or not the raft library has anything to write.
    pub is_state_due: bool,
    /// From when on a batch is due if the peer table has changed.
    pub peers_due_at: Timestamp,
}

impl Persistence {
    /// Starts with what the disk held.
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

    /// The last batch in flight; 0 when there is none.
    pub fn last_in_flight(&self) -> u64 {
        self.in_flight.back().map_or(0, |batch| batch.number)
    }

    /// What is acknowledged once all batches in flight are on disk.
    pub fn pending_ack(&self) -> AckState {
        self.in_flight.back().map_or(self.durable, |batch| batch.ack)
    }

    /// A batch is handed out; a ready of the raft library rests on it if `raft_ready` is not 0.
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

    /// A ready of the raft library needs no batch of its own: it rests on the last one in flight. False when there is none.
    pub fn attach_to_last(&mut self, raft_ready: u64) -> bool {
        match self.in_flight.back_mut() {
            Some(batch) => {
                batch.raft_ready = raft_ready;
                true
            }
            None => false,
        }
    }

    /// A batch and all before it are on disk. Returns the newest ready of the raft library that rests on them, or 0.
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
