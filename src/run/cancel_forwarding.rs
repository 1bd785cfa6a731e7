//! Exchanges CancelRequests between the processes of a hot restart, by their state files.
//!
//! Input: the CancelRequests of unknown sessions from the front, and those in other processes' files. Output:
//! calls of the front for the latter, and the requests for this process's own file.

use crate::front::{Front, UnknownCancel};
use sprucelink_hot_restart::{CancelInbox, CancelOutbox, FolderScan, ForwardedCancel, StateFile};
use sprucelink_policy::Timestamp;
use tracing::info;

/// The CancelRequests that this process passes on, and which of the others' were applied.
#[derive(Debug, Default)]
pub struct CancelForwarding {
    outbox: CancelOutbox,
    /// Whether the outbox holds requests that the state file does not.
    has_unwritten: bool,
    inbox: CancelInbox,
}

impl CancelForwarding {
    /// Applies the CancelRequests in the files that were read, and takes those of unknown sessions from the
    /// front.
    pub fn exchange(&mut self, now: Timestamp, front: &Front, scan: &FolderScan) {
        scan.files.iter().for_each(|file| self.apply(now, front, file));
        for cancel in front.take_unknown_cancels() {
            self.outbox.push(cancel.process_id, cancel.secret, cancel.received_at);
            self.has_unwritten = true;
        }
    }

    /// Whether there are requests that the state file does not hold.
    pub fn has_unwritten(&self) -> bool {
        self.has_unwritten
    }

    /// The requests for this process's own file.
    pub fn export(&mut self, now: Timestamp) -> Vec<ForwardedCancel> {
        self.outbox.export(now)
    }

    /// Records that the state file holds all requests.
    pub fn record_written(&mut self) {
        self.has_unwritten = false;
    }

    fn apply(&mut self, now: Timestamp, front: &Front, file: &StateFile) {
        let cancels = self.inbox.take_new(now, file.process, &file.snapshot.cancel_requests);
        let is_applied = |cancel: &&ForwardedCancel| {
            let ForwardedCancel { process_id, secret, received_at, .. } = **cancel;
            front.apply_forwarded_cancel(UnknownCancel { process_id, secret, received_at })
        };
        let applied = cancels.iter().filter(is_applied).count();
        if applied > 0 {
            info!(pid = file.process.pid, applied, "hot restart cancel requests applied");
        }
    }
}
