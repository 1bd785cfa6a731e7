//! The ids of open and recent requests in a state file.

use super::check_count;
use crate::error::InvalidState;
use crate::{TimeDelta, Timestamp};
use sprucelink_request_ids::{RequestIdRecord, MAX_RECORDS};

/// Maximum length of the elements of a request: id, hash, and age.
const REQUEST_BYTES: usize = 2 * size_of::<u64>() + 5;
/// Maximum length of the tags and lengths of the lists.
const HEADER_BYTES: usize = 24;

/// Ids of open and recent requests, the open ones first; the elements at the same position belong to one request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RequestIdsMessage {
    #[prost(fixed64, repeated, tag = "1")]
    ids: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    statement_hashes: Vec<u64>,
    /// Time from the start of the request to the write of the file, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    ages_ms: Vec<u32>,
    /// Number of requests that are open; they are the first ones.
    #[prost(uint32, tag = "4")]
    open_count: u32,
}

impl RequestIdsMessage {
    pub(super) fn new(records: &[RequestIdRecord], written_at: Timestamp) -> Option<RequestIdsMessage> {
        let age_ms = |record: &RequestIdRecord| (written_at - record.started_at).as_millis();
        (!records.is_empty()).then(|| RequestIdsMessage {
            ids: records.iter().map(|record| record.id).collect(),
            statement_hashes: records.iter().map(|record| record.statement_hash).collect(),
            ages_ms: records.iter().map(|record| age_ms(record).clamp(0, u32::MAX.into()) as u32).collect(),
            open_count: records.iter().take_while(|record| record.is_open).count() as u32,
        })
    }

    pub(super) fn into_records(self, written_at: Timestamp) -> Result<Vec<RequestIdRecord>, InvalidState> {
        check_count("request_ids", self.ids.len(), MAX_RECORDS, "requests")?;
        if self.ids.len() != self.statement_hashes.len() || self.ids.len() != self.ages_ms.len() {
            return Err(InvalidState::RequestIdCountsDiffer);
        }
        let fields = self.ids.iter().zip(&self.statement_hashes).zip(&self.ages_ms).enumerate();
        let records = fields.map(|(index, ((id, statement_hash), age_ms))| RequestIdRecord {
            id: *id,
            statement_hash: *statement_hash,
            started_at: written_at - TimeDelta::from_millis((*age_ms).into()),
            is_open: index < self.open_count as usize,
        });
        Ok(records.collect())
    }

    /// Drops the last requests so that `bytes` suffice for the others; returns the number of those dropped.
    pub(crate) fn truncate_to(&mut self, bytes: usize) -> usize {
        let fitting = bytes.saturating_sub(HEADER_BYTES) / REQUEST_BYTES;
        let left_out = self.ids.len().saturating_sub(fitting);
        self.ids.truncate(fitting);
        self.statement_hashes.truncate(fitting);
        self.ages_ms.truncate(fitting);
        self.open_count = self.open_count.min(self.ids.len() as u32);
        left_out
    }

    /// Whether there is no request.
    pub(crate) fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
