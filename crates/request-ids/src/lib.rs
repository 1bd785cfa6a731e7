//! The ids of open and recent requests, which must not be used for another request.
//!
//! An engine or a client could take the response to one of two requests with the same id for the response to the
//! other. During a hot restart two processes count as one workload manager, so each also knows the ids of the
//! others.
//!
//! Input: the id and statement of each request, the end of each request, and the records of other processes.
//! Output: whether an id may be used for a statement, and the records for other processes. State: a hash of the
//! statement of each id that is open or recent.

use sprucelink_stable_hash::stable_hash;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::btree_map::{BTreeMap, Entry};
use std::collections::BTreeSet;

/// Time after the start of a request for which its id and the hash of its statement are kept.
pub const RETENTION: TimeDelta = TimeDelta::from_secs(30);
/// Limit on the number of recent ids that are kept; the oldest are dropped first.
pub const MAX_IDS: usize = 20_000;
/// Limit on the number of records for other processes: 30 s of 136 requests a second.
pub const MAX_RECORDS: usize = 4_096;
/// Limit on the number of other processes whose open requests are known.
pub const MAX_PEERS: usize = 16;

/// The id of a request, for another process of the same workload manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdRecord {
    /// The request's id.
    pub id: u64,
    /// Stable hash of its statement.
    pub statement_hash: u64,
    /// Time at which the first request with this id was started.
    pub started_at: Timestamp,
    /// Whether the request is open in the process that wrote the record.
    pub is_open: bool,
}

/// Why an id may not be used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdConflict {
    /// A request with this id is open in this process.
    Open,
    /// A request with this id is open in another process of this workload manager.
    OpenInOtherProcess,
    /// The id was recently used for another statement.
    OtherStatement,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug)]
struct KnownRequest {
    statement_hash: u64,
    started_at: Timestamp,
}

/// The ids of open and recent requests of one workload manager, as one of its processes knows them.
#[derive(Debug, Default)]
pub struct RequestIds {
    /// The first recent request with each id.
    recent: BTreeMap<u64, KnownRequest>,
    /// Statement hashes of recent requests, by the start of the request and its id.
    by_age: BTreeMap<(Timestamp, u64), u64>,
    /// The requests that are open in this process, by id.
    open: BTreeMap<u64, KnownRequest>,
    /// Ids of the requests that are open in other processes, by process.
    open_elsewhere: BTreeMap<u32, BTreeSet<u64>>,
    /// Whether an id was reserved or released since the last export.
    has_changed: bool,
}

impl RequestIds {
    /// Reserves an id for a request that is open from now on. The same statement with the same id is a retry by the
    /// client, which does not restart the id's retention.
    ///
    /// # Errors
    /// The reason why the id may not be used for the statement.
    pub fn reserve(&mut self, id: u64, statement: &[u8], now: Timestamp) -> Result<(), IdConflict> {
        self.drop_old(now);
        if self.open.contains_key(&id) {
            return Err(IdConflict::Open);
        }
        if self.open_elsewhere.values().any(|open| open.contains(&id)) {
            return Err(IdConflict::OpenInOtherProcess);
        }
        let statement_hash = stable_hash(&[statement]);
        let recent = self.recent.get(&id).copied();
        if recent.is_some_and(|recent| recent.statement_hash != statement_hash) {
            return Err(IdConflict::OtherStatement);
        }
        let request = recent.unwrap_or(KnownRequest { statement_hash, started_at: now });
        self.insert_recent(id, request);
        self.open.insert(id, request);
        self.has_changed = true;
        Ok(())
    }

    /// Records the end of a request of this process.
    pub fn release(&mut self, id: u64) {
        self.has_changed |= self.open.remove(&id).is_some();
    }

    /// Merges the records of another process of this workload manager, which replace its earlier ones.
    pub fn merge(&mut self, peer: u32, records: &[RequestIdRecord], now: Timestamp) {
        for record in records {
            let RequestIdRecord { id, statement_hash, started_at, .. } = *record;
            // A time in the future comes from rounding, or from a clock that was set back.
            self.insert_recent(id, KnownRequest { statement_hash, started_at: started_at.min(now) });
        }
        self.drop_old(now);
        if self.open_elsewhere.len() < MAX_PEERS || self.open_elsewhere.contains_key(&peer) {
            let open = records.iter().filter(|record| record.is_open).map(|record| record.id);
            self.open_elsewhere.insert(peer, open.collect());
        }
    }

    /// Forgets which requests are open in the processes that are not alive; their ids stay known as recent.
    pub fn retain_peers(&mut self, is_alive: impl Fn(u32) -> bool) {
        self.open_elsewhere.retain(|peer, _| is_alive(*peer));
    }

    /// Number of ids that are reserved in this process.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether an id was reserved or released since the last export.
    pub fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// The records for other processes, at most [`MAX_RECORDS`]: first the open requests, then the others from the
    /// most recent to the oldest.
    pub fn export(&mut self, now: Timestamp) -> Vec<RequestIdRecord> {
        self.drop_old(now);
        self.has_changed = false;
        let open = self.open.iter().map(|(id, request)| RequestIdRecord {
            id: *id,
            statement_hash: request.statement_hash,
            started_at: request.started_at,
            is_open: true,
        });
        let recent = self.by_age.iter().rev().filter(|((_, id), _)| !self.open.contains_key(id));
        let recent = recent.map(|((started_at, id), statement_hash)| RequestIdRecord {
            id: *id,
            statement_hash: *statement_hash,
            started_at: *started_at,
            is_open: false,
        });
        open.chain(recent).take(MAX_RECORDS).collect()
    }

    /// Adds a request to the recent ones, unless its id is among them.
    fn insert_recent(&mut self, id: u64, request: KnownRequest) {
        if let Entry::Vacant(entry) = self.recent.entry(id) {
            entry.insert(request);
            self.by_age.insert((request.started_at, id), request.statement_hash);
        }
    }

    /// Drops the recent requests that are older than [`RETENTION`], and the oldest ones beyond [`MAX_IDS`].
    fn drop_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.by_age.first_entry() {
            let (started_at, id) = *oldest.key();
            if now - started_at <= RETENTION && self.recent.len() < MAX_IDS {
                return;
            }
            oldest.remove();
            self.recent.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
