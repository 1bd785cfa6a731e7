//! Payloads that members publish about themselves and about engines. Payloads are versioned: for each member
//! the one with the latest generation, and within a generation the one with the highest version, is stored;
//! late and duplicate payloads change nothing.

use sprucelink_stable_hash::stable_hash;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of engines in each list of a payload.
pub const MAX_ENGINES: usize = 16;

/// The key of an engine in payloads: a stable hash of the engine's id, because managers assign different
/// numbers to the same engine.
pub fn engine_hash(engine_id: &str) -> u64 {
    stable_hash(&[engine_id.as_bytes()])
}

/// Work that a member sent to a warming engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupWork {
    /// The engine, by [`engine_hash`].
    pub engine: u64,
    /// Work sent within the warm-up budget's window, in milliseconds.
    pub work_ms: u32,
}

/// The payload that a member publishes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipPayload {
    /// Version, which the member increments with each new payload of a generation.
    pub version: u32,
    /// Requests that the member admitted within the retry budget's window.
    pub admitted_requests: u32,
    /// Retries that the member made within the retry budget's window.
    pub retries: u32,
    /// Engines that the member cannot reach, by [`engine_hash`]; at most [`MAX_ENGINES`].
    pub unreachable_engines: Vec<u64>,
    /// Work that the member sent to warming engines; at most [`MAX_ENGINES`] entries.
    pub warmup_work: Vec<WarmupWork>,
}

impl GossipPayload {
    /// Truncates the lists to [`MAX_ENGINES`] entries; of the warming engines, those with the most work are
    /// retained.
    pub fn truncate(&mut self) {
        self.unreachable_engines.truncate(MAX_ENGINES);
        self.warmup_work.sort_by_key(|work| (Reverse(work.work_ms), work.engine));
        self.warmup_work.truncate(MAX_ENGINES);
    }

    fn warmup_work_ms(&self, engine: u64) -> u64 {
        let engine_work = self.warmup_work.iter().filter(|work| work.engine == engine);
        engine_work.map(|work| u64::from(work.work_ms)).sum()
    }
}

/// A payload and the generation of the process that published it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedPayload {
    /// Start time of the process, in Unix milliseconds.
    pub generation: u64,
    /// The published payload.
    pub payload: GossipPayload,
}

/// The newest payload of each member, by the member's name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PayloadTable {
    payloads: BTreeMap<String, VersionedPayload>,
}

impl PayloadTable {
    /// Stores a payload if it is newer than the stored one; returns whether it was stored.
    pub fn merge(&mut self, member: &str, generation: u64, payload: &GossipPayload) -> bool {
        let is_newer = self
            .payloads
            .get(member)
            .is_none_or(|stored| (generation, payload.version) > (stored.generation, stored.payload.version));
        if is_newer {
            let mut payload = payload.clone();
            payload.truncate();
            self.payloads.insert(member.to_owned(), VersionedPayload { generation, payload });
        }
        is_newer
    }

    /// The newest payload of a member; `None` if none is stored.
    pub fn get(&self, member: &str) -> Option<&VersionedPayload> {
        self.payloads.get(member)
    }

    /// Removes the payload of a member.
    pub fn remove(&mut self, member: &str) {
        self.payloads.remove(member);
    }

    /// Number of members with a payload.
    pub fn len(&self) -> usize {
        self.payloads.len()
    }

    /// Whether no member has a payload.
    pub fn is_empty(&self) -> bool {
        self.payloads.is_empty()
    }

    /// Number of `members` that report that they cannot reach an engine.
    pub fn unreachable_count<'a>(&self, engine: u64, members: impl Iterator<Item = &'a str>) -> usize {
        let payloads = members.filter_map(|member| self.get(member)).map(|stored| &stored.payload);
        payloads.filter(|payload| payload.unreachable_engines.contains(&engine)).count()
    }

    /// Work that `members` sent to a warming engine, in milliseconds.
    pub fn warmup_work_ms<'a>(&self, engine: u64, members: impl Iterator<Item = &'a str>) -> u64 {
        let payloads = members.filter_map(|member| self.get(member)).map(|stored| &stored.payload);
        payloads.map(|payload| payload.warmup_work_ms(engine)).sum()
    }
}
