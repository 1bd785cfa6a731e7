//! What members publish of themselves and of engines: a small payload with a version. Of two payloads of one member the
//! one of its later generation, and within a generation the one of the higher version, counts; late and repeated ones
//! change nothing.

use sprucelink_stable_hash::stable_hash;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of engines in one list of a payload.
pub const MAX_ENGINES: usize = 16;

/// The key of an engine in payloads: a stable hash of its id, because managers number engines differently.
pub fn engine_hash(engine_id: &str) -> u64 {
    stable_hash(&[engine_id.as_bytes()])
}

/// Work sent to a warming engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupWork {
    /// The engine, by [`engine_hash`].
    pub engine: u64,
    /// The work within the warm-up budget's window, in milliseconds.
    pub work_ms: u32,
}

/// A member's payload.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipPayload {
    /// Counted up by its member with each new payload of one generation.
    pub version: u32,
    /// Requests admitted within the retry budget's window.
    pub admitted_requests: u32,
    /// Retries within it.
    pub retries: u32,
    /// Engines that it cannot reach, by [`engine_hash`]; at most [`MAX_ENGINES`].
    pub unreachable_engines: Vec<u64>,
    /// Work sent to warming engines; at most [`MAX_ENGINES`].
    pub warmup_work: Vec<WarmupWork>,
}

impl GossipPayload {
    /// Truncates its lists to their bounds: of warming engines those with the most work stay.
    pub fn truncate(&mut self) {
        self.unreachable_engines.truncate(MAX_ENGINES);
        self.warmup_work.sort_by_key(|work| (Reverse(work.work_ms), work.engine));
        self.warmup_work.truncate(MAX_ENGINES);
    }

    fn warmup_work_ms(&self, engine: u64) -> u64 {
        let of_engine = self.warmup_work.iter().filter(|work| work.engine == engine);
        of_engine.map(|work| u64::from(work.work_ms)).sum()
    }
}

/// A payload and the generation of the process that published it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedPayload {
    /// The start of the process, in Unix milliseconds.
    pub generation: u64,
    /// The payload.
    pub payload: GossipPayload,
}

/// The newest payload of each member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PayloadTable {
    payloads: BTreeMap<String, VersionedPayload>,
}

impl PayloadTable {
    /// Merges a payload; returns whether it is newer than the stored one, and so was stored.
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

    /// A member's payload.
    pub fn get(&self, member: &str) -> Option<&VersionedPayload> {
        self.payloads.get(member)
    }

    /// Removes a member's payload.
    pub fn remove(&mut self, member: &str) {
        self.payloads.remove(member);
    }

    /// The number of members with a payload.
    pub fn len(&self) -> usize {
        self.payloads.len()
    }

    /// Whether no member has one.
    pub fn is_empty(&self) -> bool {
        self.payloads.is_empty()
    }

    /// How many of `members` report that they cannot reach an engine.
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
