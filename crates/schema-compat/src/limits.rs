//! The limits of this crate. Exceeding one is an error or a rejection that names the limit.

/// Maximum bytes of `.proto` text, or of a descriptor set, that one schema may have. The fleet's own records
/// need some 10 KB.
pub const MAX_SCHEMA_BYTES: usize = 256 * 1024;
/// Maximum files of one schema, not counting the files bundled with protobuf and this crate.
pub const MAX_FILES: usize = 32;
/// Maximum messages of one schema, including map entries and well-known types.
pub const MAX_MESSAGES: usize = 512;
/// Maximum enums of one schema.
pub const MAX_ENUMS: usize = 256;
/// Maximum fields of all messages of one schema.
pub const MAX_FIELDS: usize = 4_096;
/// Maximum values of all enums of one schema.
pub const MAX_ENUM_VALUES: usize = 4_096;
/// Maximum brackets open at once in `.proto` text, and messages declared within each other: the compiler
/// recurses on both.
pub const MAX_NESTING: usize = 16;
/// Maximum bytes of a full name.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum pairs of messages that one comparison visits: recursive types terminate on their own, the
/// limit bounds the number of distinct pairs.
pub const MAX_MESSAGE_PAIRS: usize = 4_096;
/// Maximum pairs of messages, each as one reader uses it, that one evaluation visits.
pub const MAX_VISITED_PLACES: usize = 16_384;
/// Maximum paths of one usage declaration.
pub const MAX_USAGE_PATHS: usize = 1_024;
/// Maximum field steps of one path.
pub const MAX_PATH_STEPS: usize = 16;
/// Maximum violations listed in a rejection, which also gives their total count.
pub const MAX_VIOLATIONS: usize = 64;
/// Maximum readers named in one violation, which also gives their total count.
pub const MAX_NAMED_READERS: usize = 16;
/// Maximum declarations of one proposal.
pub const MAX_DECLARATIONS: usize = 1_024;
/// Maximum bytes of each string in a declaration.
pub const MAX_DECLARATION_BYTES: usize = 1_024;
/// Number of sample records of each record type on which a translation is run before it is accepted.
pub const SAMPLES_PER_RECORD_TYPE: u64 = 8;
/// Maximum levels of nested messages in a sample: enough to visit a recursive type twice.
pub const MAX_SAMPLE_DEPTH: usize = 4;
/// Maximum bytes of a text in a sample beyond the minimum length that its field declares.
pub const MAX_SAMPLE_TEXT_BYTES: u64 = 24;

/// Maximum publishers of one registry; further publishers are rejected.
pub const MAX_PUBLISHERS: usize = 64;
/// Maximum versions retained of one publisher. At the limit a proposal is rejected until an old version is
/// retired.
pub const MAX_VERSIONS: usize = 64;
/// Maximum subscriptions of one registry, over all publishers. Further subscriptions are rejected; renewals
/// still succeed.
pub const MAX_SUBSCRIBERS: usize = 4_096;
/// Maximum numbers and names in the symbol history of one publisher; a proposal that would exceed this limit
/// is rejected.
pub const MAX_HISTORY_SYMBOLS: usize = 16_384;
/// Shortest lease, in ms: long enough to renew across one change of leader (2 s).
pub const MIN_LEASE_MS: u64 = 5_000;
/// Longest lease, in ms: an unreachable subscriber of an old version blocks a change for at most this long.
pub const MAX_LEASE_MS: u64 = 3_600_000;
/// Grace period after a lease's end before the lease may be expired, in ms: covers the clock drift between
/// two managers over the longest lease (500 ppm is 1.8 s) and a renewal that is still in flight.
pub const LEASE_MARGIN_MS: u64 = 5_000;
/// The edition of the rules, which every change of a rule increments. Replicas with different rules would
/// derive different states from one journal, so a snapshot of another edition is rejected.
pub const RULES_EDITION: u32 = 1;
