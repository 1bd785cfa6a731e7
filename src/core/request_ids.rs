//! Reservations of request ids, and their exchange with the other processes of this workload manager.
//!
//! A request's id is reserved when the request has arrived, which may be before it is submitted, and stays reserved
//! until it has ended.

use super::request::format_request_id;
use super::{now, Core};
use sprucelink_request_ids::RequestIdRecord;
use std::rc::Rc;
use tracing::debug;

/// Maximum number of reserved ids whose requests are not submitted. Ids that other clients need are still exchanged
/// beside so many.
const MAX_WAITING_IDS: usize = 2_048;

/// The reservation of a request's id. Dropping it releases the id.
pub struct IdReservation {
    /// `None` once the request is submitted: its id is released when it ends.
    core: Option<Rc<Core>>,
    id: u64,
}

impl IdReservation {
    /// The reserved id.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Hands the id over to the request, which is submitted now.
    pub(super) fn into_submitted(mut self) {
        self.core = None;
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        if let Some(core) = self.core.take() {
            core.coordinator.borrow_mut().requests.ids.release(self.id);
        }
    }
}

impl Core {
    /// Reserves an id for a request that is about to be submitted; `None` if a request with this id is open in any
    /// process of this workload manager, or the id was recently used for another statement.
    pub fn reserve_id(self: &Rc<Self>, id: u64, statement: &[u8]) -> Option<IdReservation> {
        let result = self.coordinator.borrow_mut().requests.ids.reserve(id, statement, now());
        if let Err(conflict) = result {
            debug!(request = format_request_id(id), ?conflict, "request id rejected");
            return None;
        }
        Some(IdReservation { core: Some(Rc::clone(self)), id })
    }

    /// Reserves the id of a request that waits for its turn. `None` if it is in use, or too many wait: then it is
    /// reserved in its turn.
    pub fn reserve_waiting_id(self: &Rc<Self>, id: u64, statement: &[u8]) -> Option<IdReservation> {
        let mut coordinator = self.coordinator.borrow_mut();
        let requests = &mut coordinator.requests;
        let waiting = requests.ids.open_count().saturating_sub(requests.len());
        if waiting >= MAX_WAITING_IDS {
            return None;
        }
        requests.ids.reserve(id, statement, now()).ok()?;
        Some(IdReservation { core: Some(Rc::clone(self)), id })
    }

    /// Whether a request was started or has ended since the last [`Core::export_request_ids`].
    pub fn has_new_request_ids(&self) -> bool {
        self.coordinator.borrow().requests.ids.has_changed()
    }

    /// The ids of open and recent requests, for the other processes of this workload manager.
    pub fn export_request_ids(&self) -> Vec<RequestIdRecord> {
        self.coordinator.borrow_mut().requests.ids.export(now())
    }

    /// Merges the ids of requests that the process with this process id knows.
    pub fn merge_request_ids(&self, pid: u32, records: &[RequestIdRecord]) {
        self.coordinator.borrow_mut().requests.ids.merge(pid, records, now());
    }

    /// Forgets which requests are open in processes that are not alive.
    pub fn retain_request_ids(&self, is_alive: impl Fn(u32) -> bool) {
        self.coordinator.borrow_mut().requests.ids.retain_peers(is_alive);
    }
}
