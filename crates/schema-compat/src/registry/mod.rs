//! The replicated registry: schemas in force, versions that subscribers speak, leases.
//!
//! Every change is one [`Op`] of the journal. [`Registry::apply`] judges and changes in one step, so that a schema is
//! judged against exactly the subscribers that stand at its position, and a subscriber against exactly the schemas
//! that do: whichever of the two comes first, the other meets it. What holds after every op: no subscriber in the state is
//! broken by any schema in force.

mod apply;
mod query;
mod snapshot;
pub mod wire;

use crate::declared::Declared;
use crate::ledger::Ledger;
use crate::rules::Reason;
use crate::schema::{Digest, Schema};
use crate::translate::Translation;
use crate::uses::Uses;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

pub use apply::Prepared;
pub use query::{NotAccepted, Standing, Subscriber};
pub use snapshot::SnapshotError;

/// One change of the registry, as the journal carries it ([`wire`]).
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Op {
    /// A publisher asks to publish by a schema. Accepted, it is in force beside those before it until withdrawn. Asked
    /// again with the same schema and declarations, it gets the same answer as long as it is in force; after a
    /// withdrawal it is judged anew.
    Propose {
        /// The publisher.
        publisher: String,
        /// An encoded `FileDescriptorSet`, as [`Schema::to_set`] gives it.
        schema: Vec<u8>,
        /// What is declared beside the schema's own options.
        translations: Vec<Declared>,
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
        uses: Uses,
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
    LeaseEnded {
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

/// What became of an op.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
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
    Refused(Refusal),
}

/// Why an op changed nothing.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// Readers would break. Reasons, [`crate::bounds::MAX_REASONS`] at most, and how many there were.
    Breaks {
        /// The reasons.
        reasons: Vec<Reason>,
        /// How many there were.
        count: usize,
    },
    /// The schema, a declaration or a name is no good.
    Invalid(String),
    /// No such publisher.
    UnknownPublisher,
    /// The publisher has no such version, or it was retired.
    UnknownVersion,
    /// No such subscriber: its lease has ended, it subscribes anew.
    UnknownSubscriber,
    /// The lease and its margin run until this time of the journal, in ms.
    LeaseRuns {
        /// In ms.
        until_ms: u64,
    },
    /// A version in force, or one that somebody speaks, cannot be retired.
    InUse,
    /// A bound of the registry, by name and size.
    Full {
        /// What there are too many of.
        what: &'static str,
        /// How many there may be.
        bound: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Breaks { reasons, count } => {
                write!(f, "{count} reasons")?;
                reasons.iter().try_for_each(|reason| write!(f, "; {reason}"))
            }
            Self::Invalid(why) => write!(f, "{why}"),
            Self::UnknownPublisher => write!(f, "no such publisher"),
            Self::UnknownVersion => write!(f, "no such version"),
            Self::UnknownSubscriber => write!(f, "no such subscriber, its lease has ended"),
            Self::LeaseRuns { until_ms } => write!(f, "the lease runs until {until_ms}"),
            Self::InUse => write!(f, "the version is in use"),
            Self::Full { what, bound } => write!(f, "no room for more {what}, {bound} is the bound"),
        }
    }
}

/// One version of a publisher.
#[derive(Clone, Debug)]
pub(crate) struct Version {
    /// With its declarations.
    pub(crate) schema: Arc<Schema>,
    pub(crate) declared: Vec<Declared>,
    /// Publishers may write it.
    pub(crate) in_force: bool,
}

/// One publisher.
#[derive(Clone, Debug, Default)]
pub(crate) struct Publisher {
    pub(crate) replayed: bool,
    /// Accepted last, whether in force or not.
    pub(crate) newest: u32,
    pub(crate) versions: BTreeMap<u32, Version>,
    pub(crate) ledger: Ledger,
}

impl Publisher {
    /// Versions whose records a reader may meet.
    pub(crate) fn written(&self) -> impl Iterator<Item = (u32, &Version)> {
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
    pub(crate) uses: Uses,
    pub(crate) lease_ms: u64,
    pub(crate) until_ms: u64,
}

/// The registry's state. Equal journals give equal registries, on every machine and in every process of the same
/// [`crate::bounds::EDITION`].
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
