//! The replicated registry: schemas in force, the versions that subscribers read, and their leases.
//!
//! Every change is one [`RegistryCommand`] in the journal. [`Registry::apply`] checks and changes the state
//! in one step: a schema is checked against exactly the subscriptions at its position in the journal, and a
//! subscription against exactly the schemas in force there, whichever comes first. Invariant after every
//! command: no schema in force breaks a subscriber in the state.

mod apply;
pub mod codec;
mod prepared;
mod propose;
mod query;
mod snapshot;
mod translations;
mod violation_set;

use crate::declaration::MigrationDeclaration;
use crate::error::SchemaError;
use crate::limits::{MAX_LEASE_MS, MAX_NAME_BYTES, MIN_LEASE_MS};
use crate::rules::Violation;
use crate::schema::{Digest, Schema};
use crate::symbol_history::SymbolHistory;
use crate::translate::Translation;
use crate::usage::{ReaderUsage, UsageError};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

pub use prepared::PreparedCommand;
pub use query::{PublishError, SubscriberInfo, VersionInfo};
pub use snapshot::SnapshotError;

/// One change of the registry, as encoded in the journal ([`codec`]).
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RegistryCommand {
    /// A publisher proposes a schema. An accepted schema is in force beside earlier ones until it is
    /// withdrawn. Proposing the same schema and declarations again is idempotent while the schema is in
    /// force; after a withdrawal the schema is checked again.
    Propose {
        /// Name of the publisher.
        publisher: String,
        /// An encoded `FileDescriptorSet`, as [`Schema::to_set`] gives it.
        schema: Vec<u8>,
        /// Declarations in addition to the schema's own options.
        declarations: Vec<MigrationDeclaration>,
        /// Whether records of all versions are retained and replayed to later readers; fixed by the first
        /// proposal.
        replayed: bool,
    },
    /// A subscriber begins to read a version. An accepted subscription replaces the subscriber's earlier
    /// subscription to the publisher.
    Subscribe {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the publisher whose records the subscriber reads.
        publisher: String,
        /// Number of the version that the subscriber reads.
        version: u32,
        /// The parts of that version that the subscriber uses.
        usage: ReaderUsage,
        /// Duration of the lease, in ms: [`MIN_LEASE_MS`] to [`MAX_LEASE_MS`].
        lease_ms: u64,
    },
    /// Renews the lease of a subscriber.
    Renew {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the publisher.
        publisher: String,
    },
    /// The subscriber ends its subscription.
    Unsubscribe {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the publisher.
        publisher: String,
    },
    /// A leader considers a lease and its margin expired. The command is rejected while they have not expired
    /// by the journal's time.
    ExpireLease {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the publisher.
        publisher: String,
    },
    /// A version is no longer published; it may be proposed again.
    Withdraw {
        /// Name of the publisher.
        publisher: String,
        /// Number of the version.
        version: u32,
    },
    /// Removes a withdrawn version of which no records are retained. Its numbers and names stay in
    /// the symbol history.
    Retire {
        /// Name of the publisher.
        publisher: String,
        /// Number of the version.
        version: u32,
    },
}

/// The result of a command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CommandOutcome {
    /// The schema is in force.
    Accepted {
        /// Number of the version.
        version: u32,
        /// Subscribed versions whose readers receive translated records of the accepted version.
        translated: Vec<u32>,
    },
    /// The subscription is active.
    Subscribed {
        /// End of the lease without its margin, by the journal's time, in ms.
        until_ms: u64,
        /// Versions in force whose records the subscriber receives translated.
        translated: Vec<u32>,
    },
    /// The lease is renewed.
    Renewed {
        /// End of the renewed lease without its margin, by the journal's time, in ms.
        until_ms: u64,
    },
    /// The command unsubscribed, expired a lease, withdrew or retired as requested.
    Done,
    /// The command was rejected, and the state is unchanged.
    Rejected(CommandRejection),
}

/// Why a command was rejected and changed nothing.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum CommandRejection {
    /// Readers would break.
    #[error("{}", format_violations(.violations, *.count))]
    BreaksReaders {
        /// Up to [`crate::limits::MAX_VIOLATIONS`] of the violations.
        violations: Vec<Violation>,
        /// Total number of violations.
        count: usize,
    },
    /// The command itself is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidCommand),
    /// The registry has no publisher of this name.
    #[error("no such publisher")]
    UnknownPublisher,
    /// The publisher has no such version, or the version was retired.
    #[error("no such version")]
    UnknownVersion,
    /// The publisher has no subscriber of this name. A subscriber whose lease has expired must subscribe
    /// again.
    #[error("no such subscriber, or its lease has expired")]
    UnknownSubscriber,
    /// The lease and its margin have not expired.
    #[error("the lease and its margin run until {until_ms} ms")]
    LeaseNotExpired {
        /// End of the lease and its margin by the journal's time, in ms.
        until_ms: u64,
    },
    /// A version in force, or with subscribers, cannot be retired.
    #[error("the version is in use")]
    InUse,
    /// A limit of the registry is reached.
    #[error("limit reached: at most {limit} {what}")]
    LimitReached {
        /// The counted items, in the plural.
        what: &'static str,
        /// The largest number allowed.
        limit: usize,
    },
}

/// Why a command is invalid, apart from breaking readers.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum InvalidCommand {
    /// The name of a publisher or subscriber is empty, too long, or has control characters.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    Name,
    /// The lease is shorter than [`MIN_LEASE_MS`] or longer than [`MAX_LEASE_MS`].
    #[error("a lease must last {MIN_LEASE_MS} to {MAX_LEASE_MS} ms")]
    LeaseOutOfRange,
    /// The proposal's `replayed` differs from that of the publisher's first proposal.
    #[error("the first proposal determines whether records are replayed, and it cannot be changed")]
    ReplayChanged,
    /// The same schema was accepted with other declarations.
    #[error("this schema was accepted with other declarations")]
    DeclarationsChanged,
    /// The schema or one of its declarations is invalid.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// The usage declaration exceeds a limit.
    #[error(transparent)]
    Usage(#[from] UsageError),
}

fn format_violations(violations: &[Violation], count: usize) -> String {
    let mut text = format!("{count} violations");
    for violation in violations {
        text.push_str("; ");
        text.push_str(&violation.to_string());
    }
    text
}

/// One version of a publisher.
#[derive(Clone, Debug)]
pub(crate) struct SchemaVersion {
    /// The schema, with its declarations applied.
    pub(crate) schema: Arc<Schema>,
    pub(crate) declared: Vec<MigrationDeclaration>,
    /// Whether records of the version may be published.
    pub(crate) in_force: bool,
}

/// The state of one publisher.
#[derive(Clone, Debug, Default)]
pub(crate) struct Publisher {
    pub(crate) replayed: bool,
    /// The version accepted last, whether in force or not.
    pub(crate) newest: u32,
    pub(crate) versions: BTreeMap<u32, SchemaVersion>,
    pub(crate) symbol_history: SymbolHistory,
}

impl Publisher {
    /// Versions whose records a reader may receive.
    pub(crate) fn written_versions(&self) -> impl Iterator<Item = (u32, &SchemaVersion)> {
        let replayed = self.replayed;
        self.versions
            .iter()
            .filter(move |(_, one)| one.in_force || replayed)
            .map(|(&number, one)| (number, one))
    }

    pub(crate) fn version_of(&self, digest: Digest) -> Option<u32> {
        self.versions.iter().find(|(_, one)| one.schema.digest() == digest).map(|(&number, _)| number)
    }
}

/// A subscriber's subscription to a publisher.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Subscription {
    pub(crate) version: u32,
    pub(crate) usage: ReaderUsage,
    pub(crate) lease_ms: u64,
    pub(crate) until_ms: u64,
}

/// The registry's state. Equal journals give equal registries, on every machine and in every process of the
/// same [`crate::limits::RULES_EDITION`].
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Shared copy-on-write between clones, so that a snapshot can be written from a clone.
    pub(crate) publishers: BTreeMap<String, Arc<Publisher>>,
    /// Subscriptions by publisher and subscriber.
    pub(crate) subscriptions: BTreeMap<(String, String), Subscription>,
    /// The latest time of an applied command, in ms; it never decreases.
    pub(crate) now_ms: u64,
    /// Derived state: translations by publisher, writer's version and reader's version; `None` if records
    /// need no translation.
    pub(crate) translations: BTreeMap<(String, u32, u32), Option<Arc<Translation>>>,
}
