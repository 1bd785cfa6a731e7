//! Every bound of this crate, with what happens at it. A bound that is hit is an error or a refusal with the bound's
//! name in it, never a guess.

/// Bytes of `.proto` text, or of a descriptor set, that one schema may have. The fleet's own records need some 10 KB.
pub const MAX_SCHEMA_BYTES: usize = 256 * 1024;
/// Files of one schema, without those that protobuf and this crate bring.
pub const MAX_FILES: usize = 32;
/// Messages of one schema, map entries and well-known types among them.
pub const MAX_MESSAGES: usize = 512;
/// Enums of one schema.
pub const MAX_ENUMS: usize = 256;
/// Fields of all messages of one schema.
pub const MAX_FIELDS: usize = 4_096;
/// Values of all enums of one schema.
pub const MAX_ENUM_VALUES: usize = 4_096;
/// Brackets open at once in `.proto` text, and messages declared within each other: the compiler recurses on both.
pub const MAX_NESTING: usize = 16;
/// Bytes of a full name.
pub const MAX_NAME_BYTES: usize = 256;
/// Pairs of messages that one comparison visits: recursive types end by being met again, this ends the rest.
pub const MAX_MESSAGE_PAIRS: usize = 4_096;
/// Places (a pair of messages in one reader's use) that one judgement visits.
pub const MAX_VISITED_PLACES: usize = 16_384;
/// Paths of one declaration of use.
pub const MAX_USAGE_PATHS: usize = 1_024;
/// Steps of one path.
pub const MAX_PATH_STEPS: usize = 16;
/// ViolationSet kept of a refusal; how many there were is told besides.
pub const MAX_VIOLATIONS: usize = 64;
/// Subscribers named in one reason; how many there are is told besides.
pub const MAX_NAMED_READERS: usize = 16;
/// Declarations that come with a proposal.
pub const MAX_DECLARATIONS: usize = 1_024;
/// Bytes of a declared value's text.
pub const MAX_DECLARATION_BYTES: usize = 1_024;
/// Sample records of each kind that a translation is run on before it is accepted.
pub const SAMPLES_PER_RECORD: u64 = 8;
/// Levels of messages that a sample has: enough to go round a recursive type twice.
pub const MAX_SAMPLE_DEPTH: usize = 4;
/// Bytes of a sample's longest text, unless its field declares more.
pub const MAX_SAMPLE_TEXT_BYTES: u64 = 24;

/// Publishers of one registry: the list service, engines' kinds, the fleet's own records. One more is refused.
pub const MAX_PUBLISHERS: usize = 64;
/// Versions kept of one publisher. At the bound a proposal is refused until an old version is retired.
pub const MAX_VERSIONS: usize = 64;
/// Subscriptions of one registry, over all publishers. One more is refused; renewals go on.
pub const MAX_SUBSCRIBERS: usize = 4_096;
/// Numbers and names that the ledger of one publisher remembers. A proposal that would exceed it is refused.
pub const MAX_HISTORY_SYMBOLS: usize = 16_384;
/// Shortest lease, in ms: under it a subscriber could not renew in time through one change of leader (2 s).
pub const MIN_LEASE_MS: u64 = 5_000;
/// Longest lease, in ms: a dead subscriber of an old version blocks a change for so long.
pub const MAX_LEASE_MS: u64 = 3_600_000;
/// What is waited beyond a lease's end before its holder counts as gone, in ms: covers how far clocks of two managers
/// may run apart within the longest lease (500 ppm is 1.8 s) and a word of renewal that is still under way.
pub const LEASE_MARGIN_MS: u64 = 5_000;
/// The rules' edition. Managers that judge by other rules would come to other states from one journal: whoever changes
/// a rule raises it, and a snapshot of another edition is refused.
pub const RULES_EDITION: u32 = 1;
