//! The replicated registry: schemas in force, versions that subscribers speak, leases.
//!
//! Every change is one [`RegistryCommand`] of the journal. [`Registry::apply`] judges and changes in one step, so that a schema is
//! judged against exactly the subscribers that stand at its position, and a subscriber against exactly the schemas
//! that do: whichever of the two comes first, the other meets it. Invariant after every command: no subscriber in the state is
//! broken by any schema in force.

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

/// One change of the registry, as the journal carries it ([`codec`]).
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RegistryCommand {
    /// A publisher asks to publish by a schema. Accepted, it is in force beside those before it until withdrawn. Asked
    /// again with the same schema and declarations, it gets the same answer as long as it is in force; after a
    /// withdrawal it is judged anew.
    Propose {
        /// The publisher.
        publisher: String,
        /// An encoded `FileDescriptorSet`, as [`Schema::to_set`] gives it.
        schema: Vec<u8>,
        /// What is declared beside the schema's own options.
        translations: Vec<MigrationDeclaration>,
        /// Whether records of all its versions are kept and read again by later readers: as the first proposal says.
        replayed: bool,
    },
    /// A subscriber speaks a version. Its earlier subscription to the publisher is replaced if this one is accepted,
    /// and stays otherwise.
    Subscribe {
        /// The subscriber.
        subscriber: String,
        /// Whose records it reads.
        publisher: String,
        /// The version that it speaks, as the registry numbered it.
        version: u32,
        /// What it uses of it.
        usage: ReaderUsage,
        /// Lease, in ms.
        lease_ms: u64,
    },
    /// The subscriber is still there: its lease begins anew.
    Renew {
        /// The subscriber.
        subscriber: String,
        /// The publisher.
        publisher: String,
    },
    /// The subscriber goes.
    Unsubscribe {
        /// The subscriber.
        subscriber: String,
        /// The publisher.
        publisher: String,
    },
    /// A leader holds that a lease and its margin are over. Refused while they are not, by the journal's time.
    ExpireLease {
        /// The subscriber.
        subscriber: String,
        /// The publisher.
        publisher: String,
    },
    /// Nobody publishes by this version any more.
    Withdraw {
        /// The publisher.
        publisher: String,
        /// The version.
        version: u32,
    },
    /// A withdrawn version is forgotten, but for what its numbers and names stood for: no record of it is kept anywhere.
    Retire {
        /// The publisher.
        publisher: String,
        /// The version.
        version: u32,
    },
}

/// The result of a command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CommandOutcome {
    /// The schema is in force.
    Accepted {
        /// Under this number.
        version: u32,
        /// Subscribers' versions whose readers get translated records of it.
        translated: Vec<u32>,
    },
    /// The subscriber stands.
    Subscribed {
        /// Until this time of the journal, in ms, and the margin beyond.
        until_ms: u64,
        /// Versions in force whose records it gets translated.
        translated: Vec<u32>,
    },
    /// The lease runs until this time of the journal, in ms.
    Renewed {
        /// In ms.
        until_ms: u64,
    },
    /// Done: unsubscribed, lease ended, withdrawn, retired.
    Done,
    /// Nothing changed.
    Rejected(CommandRejection),
}

/// Why a command was rejected and changed nothing.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum CommandRejection {
    /// Readers would break. ViolationSet, [`crate::limits::MAX_VIOLATIONS`] at most, and how many there were.
    #[error("{}", format_violations(.violations, *.count))]
    BreaksReaders {
        /// The reasons.
        violations: Vec<Violation>,
        /// How many there were.
        count: usize,
    },
    /// The schema, a declaration or a name is no good.
    #[error(transparent)]
    Invalid(#[from] InvalidCommand),
    /// No such publisher.
    #[error("no such publisher")]
    UnknownPublisher,
    /// The publisher has no such version, or it was retired.
    #[error("no such version")]
    UnknownVersion,
    /// No such subscriber: its lease has ended, it subscribes anew.
    #[error("no such subscriber, its lease has ended")]
    UnknownSubscriber,
    /// The lease and its margin run until this time of the journal, in ms.
    #[error("the lease runs until {until_ms}")]
    LeaseNotExpired {
        /// In ms.
        until_ms: u64,
    },
    /// A version in force, or one that somebody speaks, cannot be retired.
    #[error("the version is in use")]
    InUse,
    /// A bound of the registry, by name and size.
    #[error("no room for more {what}, {limit} is the bound")]
    LimitReached {
        /// What there are too many of.
        what: &'static str,
        /// How many there may be.
        limit: usize,
    },
}

/// Why a command is invalid whatever the registry's state.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum InvalidCommand {
    /// The name of a publisher or subscriber is empty, too long, or has control characters.
    #[error("a name needs 1 to {MAX_NAME_BYTES} bytes without control characters")]
    Name,
    /// The lease is shorter than [`MIN_LEASE_MS`] or longer than [`MAX_LEASE_MS`].
    #[error("a lease is {MIN_LEASE_MS} to {MAX_LEASE_MS} ms")]
    LeaseOutOfRange,
    /// The publisher's first proposal said otherwise whether records are replayed.
    #[error("whether records are replayed is said once, by the first proposal")]
    ReplayChanged,
    /// The same schema was accepted with other declarations.
    #[error("this schema was accepted with other declarations")]
    DeclarationsChanged,
    /// The schema or one of its declarations is invalid.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// The declaration of use exceeds a limit.
    #[error(transparent)]
    Usage(#[from] UsageError),
}

fn format_violations(violations: &[Violation], count: usize) -> String {
    let mut text = format!("{count} reasons");
    for violation in violations {
        text.push_str("; ");
        text.push_str(&violation.to_string());
    }
    text
}

/// One version of a publisher.
#[derive(Clone, Debug)]
pub(crate) struct SchemaVersion {
    /// With its declarations.
    pub(crate) schema: Arc<Schema>,
    pub(crate) declared: Vec<MigrationDeclaration>,
    /// Publishers may write it.
    pub(crate) in_force: bool,
}

/// One publisher.
#[derive(Clone, Debug, Default)]
pub(crate) struct Publisher {
    pub(crate) replayed: bool,
    /// Accepted last, whether in force or not.
    pub(crate) newest: u32,
    pub(crate) versions: BTreeMap<u32, SchemaVersion>,
    pub(crate) symbol_history: SymbolHistory,
}

impl Publisher {
    /// Versions whose records a reader may meet.
    pub(crate) fn written(&self) -> impl Iterator<Item = (u32, &SchemaVersion)> {
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

/// One subscription.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Subscription {
    pub(crate) version: u32,
    pub(crate) usage: ReaderUsage,
    pub(crate) lease_ms: u64,
    pub(crate) until_ms: u64,
}

/// The registry's state. Equal journals give equal registries, on every machine and in every process of the same
/// [`crate::limits::RULES_EDITION`].
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Shared between copies of a registry until one of them changes: a copy is what a snapshot is written from.
    pub(crate) publishers: BTreeMap<String, Arc<Publisher>>,
    /// By publisher and subscriber.
    pub(crate) subscriptions: BTreeMap<(String, String), Subscription>,
    /// The journal's time never runs back: the latest that was seen.
    pub(crate) now_ms: u64,
    /// Derived: by publisher, writer's and reader's version, for what subscribers meet. None: records go as they are.
    pub(crate) translations: BTreeMap<(String, u32, u32), Option<Arc<Translation>>>,
}
