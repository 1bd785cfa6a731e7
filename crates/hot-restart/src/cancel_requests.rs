//! CancelRequests that a process received and that concern a session of another process.
//!
//! During a hot restart both processes accept from one listening socket, so a client's CancelRequest may reach
//! the process that does not serve its session. Input: the CancelRequests of unknown sessions
//! ([`CancelOutbox`]), and those in other processes' files ([`CancelInbox`]). Output: the requests for this
//! process's own file, and those that it has not seen yet. A request is identified by the writer and its
//! sequence number, so that each is applied once however often its file is read.

use crate::state::Process;
use crate::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Time for which a CancelRequest is kept in the file: several scans by a process that gets little CPU time.
pub const CANCEL_RETENTION: TimeDelta = TimeDelta::from_secs(2);
/// Maximum number of CancelRequests in a file; beyond it the oldest are dropped.
pub const MAX_CANCEL_REQUESTS: usize = 256;

/// A CancelRequest for a session that the process which received it does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCancel {
    /// Number of this request, counted by the process that received it from 1.
    pub sequence: u64,
    /// The session's process id, from its BackendKeyData.
    pub process_id: u32,
    /// The session's secret key, from its BackendKeyData.
    pub secret: u32,
    /// Time at which the request was received.
    pub received_at: Timestamp,
}

/// The CancelRequests that this process has to pass on.
#[derive(Debug, Default)]
pub struct CancelOutbox {
    requests: VecDeque<ForwardedCancel>,
    last_sequence: u64,
}

impl CancelOutbox {
    /// Adds a CancelRequest that was received at `received_at`.
    pub fn push(&mut self, process_id: u32, secret: u32, received_at: Timestamp) {
        self.last_sequence += 1;
        if self.requests.len() >= MAX_CANCEL_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(ForwardedCancel {
            sequence: self.last_sequence,
            process_id,
            secret,
            received_at,
        });
    }

    /// The requests for this process's file, oldest first; those older than [`CANCEL_RETENTION`] are dropped.
    pub fn export(&mut self, now: Timestamp) -> Vec<ForwardedCancel> {
        while self.requests.front().is_some_and(|request| now - request.received_at > CANCEL_RETENTION) {
            self.requests.pop_front();
        }
        self.requests.iter().copied().collect()
    }
}

/// The CancelRequests of one other process that were applied.
#[derive(Clone, Copy, Debug)]
struct AppliedCancels {
    /// The highest sequence number.
    last_sequence: u64,
    /// Time at which a file of that process was last read.
    read_at: Timestamp,
}

/// Which CancelRequests of other processes were applied.
#[derive(Debug, Default)]
pub struct CancelInbox {
    /// By the process that received the requests.
    applied: BTreeMap<Process, AppliedCancels>,
}

impl CancelInbox {
    /// The requests in the file of `writer` that were not returned before, without outdated ones.
    pub fn take_new(
        &mut self,
        now: Timestamp,
        writer: Process,
        requests: &[ForwardedCancel],
    ) -> Vec<ForwardedCancel> {
        // What a process wrote longer ago is outdated and not taken again.
        self.applied.retain(|_, applied| now - applied.read_at <= CANCEL_RETENTION);
        let Some(newest) = requests.iter().map(|request| request.sequence).max() else { return Vec::new() };
        let last_sequence = self.applied.get(&writer).map_or(0, |applied| applied.last_sequence);
        let is_new = |request: &&ForwardedCancel| {
            request.sequence > last_sequence && now - request.received_at <= CANCEL_RETENTION
        };
        let new = requests.iter().filter(is_new).copied().collect();
        let applied = AppliedCancels { last_sequence: newest.max(last_sequence), read_at: now };
        self.applied.insert(writer, applied);
        new
    }
}
