//! The address of the control feed, which SIGHUP changes. During a hot restart the change concerns both
//! processes, whichever of them gets the signal.

use sprucelink_hot_restart::FeedChange;
use sprucelink_policy::Timestamp;
use std::cell::{Cell, RefCell};
use tokio::sync::watch;

/// The address that is in use, and its last change.
pub struct FeedAddress {
    address: watch::Sender<Option<String>>,
    /// Time since which the address is in use: the start of this process, or its last change.
    since: Cell<Timestamp>,
    /// The last change; `None` if the address is that of the start.
    last_change: RefCell<Option<FeedChange>>,
}

impl FeedAddress {
    /// Creates the address of a process that starts at `now`.
    pub fn new(address: Option<String>, now: Timestamp) -> FeedAddress {
        FeedAddress {
            address: watch::Sender::new(address),
            since: Cell::new(now),
            last_change: RefCell::default(),
        }
    }

    /// A receiver of the address and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Option<String>> {
        self.address.subscribe()
    }

    /// Applies a change, unless the address in use is more recent; returns whether it was applied.
    pub fn apply(&self, change: FeedChange) -> bool {
        if change.changed_at <= self.since.get() {
            return false;
        }
        self.since.set(change.changed_at);
        self.address.send_if_modified(|current| replace_address(current, &change.address));
        self.last_change.replace(Some(change));
        true
    }

    /// The last change, for the other processes of this manager.
    pub fn last_change(&self) -> Option<FeedChange> {
        self.last_change.borrow().clone()
    }
}

/// Stores the new address; returns whether it differs from the previous one.
fn replace_address(current: &mut Option<String>, address: &str) -> bool {
    let changed = current.as_deref() != Some(address);
    *current = Some(address.to_owned());
    changed
}
