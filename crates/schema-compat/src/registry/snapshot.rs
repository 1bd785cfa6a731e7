//! Encodes the registry's state as a snapshot, decodes it, and computes its digest.

use super::codec::{decode_declaration, CommandDecodeError, DeclarationRecord, UsageRecord};
use super::{Publisher, Registry, SchemaVersion, Subscription};
use crate::error::SchemaError;
use crate::limits::{MAX_HISTORY_SYMBOLS, MAX_PUBLISHERS, MAX_SUBSCRIBERS, MAX_VERSIONS, RULES_EDITION};
use crate::schema::{Digest, Schema};
use crate::symbol_history::{SymbolHistory, TypeHistory};
use prost::Message as _;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;
use thiserror::Error;

/// Why bytes cannot be decoded as a snapshot of the registry.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum SnapshotError {
    /// The snapshot was written by a manager with another edition of the rules.
    #[error("snapshot has rules edition {theirs}, expected edition {ours}")]
    Edition {
        /// The snapshot's edition.
        theirs: u32,
        /// This program's edition, [`RULES_EDITION`].
        ours: u32,
    },
    /// The bytes are not a protobuf message of a snapshot.
    #[error("snapshot: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// There are more publishers or subscribers than the registry's limits allow.
    #[error("snapshot: more publishers or subscribers than the limits allow")]
    TooManyEntries,
    /// A publisher has more versions, or more numbers and names, than its limits allow.
    #[error("snapshot: publisher {publisher} exceeds its limits")]
    PublisherTooLarge {
        /// Name of the publisher.
        publisher: String,
    },
    /// A declaration of a version is invalid.
    #[error("snapshot: {0}")]
    Declaration(#[from] CommandDecodeError),
    /// The schema of a version is invalid.
    #[error("snapshot: publisher {publisher}, version {version}: {source}")]
    Schema {
        /// Name of the publisher.
        publisher: String,
        /// Number of the version.
        version: u32,
        /// Cause of the failure.
        source: SchemaError,
    },
    /// A subscription names a version that the snapshot does not have.
    #[error("snapshot: {subscriber} reads a version of {publisher} that the snapshot does not have")]
    UnknownVersion {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the publisher.
        publisher: String,
    },
    /// A subscription has no usage declaration.
    #[error("snapshot: subscription without a usage declaration")]
    MissingUsage,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StateRecord {
    #[prost(uint32, tag = "1")]
    edition: u32,
    #[prost(uint64, tag = "2")]
    now_ms: u64,
    #[prost(message, repeated, tag = "3")]
    publishers: Vec<PublisherRecord>,
    #[prost(message, repeated, tag = "4")]
    subscriptions: Vec<SubscriptionRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct PublisherRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bool, tag = "2")]
    replayed: bool,
    #[prost(uint32, tag = "3")]
    newest: u32,
    #[prost(message, repeated, tag = "4")]
    versions: Vec<VersionRecord>,
    #[prost(message, repeated, tag = "5")]
    symbol_history: Vec<TypeHistoryRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct VersionRecord {
    #[prost(uint32, tag = "1")]
    number: u32,
    #[prost(bytes = "vec", tag = "2")]
    schema: Vec<u8>,
    #[prost(message, repeated, tag = "3")]
    declared: Vec<DeclarationRecord>,
    #[prost(bool, tag = "4")]
    in_force: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct TypeHistoryRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(message, repeated, tag = "2")]
    numbers: Vec<NumberRecord>,
    /// First and last number of each range, alternating.
    #[prost(sint64, repeated, tag = "3")]
    reserved: Vec<i64>,
    #[prost(string, repeated, tag = "4")]
    reserved_names: Vec<String>,
    #[prost(string, repeated, tag = "5")]
    present: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct NumberRecord {
    #[prost(sint64, tag = "1")]
    number: i64,
    #[prost(string, repeated, tag = "2")]
    names: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SubscriptionRecord {
    #[prost(string, tag = "1")]
    publisher: String,
    #[prost(string, tag = "2")]
    subscriber: String,
    #[prost(uint32, tag = "3")]
    version: u32,
    #[prost(message, optional, tag = "4")]
    usage: Option<UsageRecord>,
    #[prost(uint64, tag = "5")]
    lease_ms: u64,
    #[prost(uint64, tag = "6")]
    until_ms: u64,
}

impl TypeHistoryRecord {
    fn from_entry(name: &str, entry: &TypeHistory) -> Self {
        Self {
            name: name.to_string(),
            numbers: (entry.names.iter())
                .map(|(&number, names)| NumberRecord { number, names: names.iter().cloned().collect() })
                .collect(),
            reserved: entry.reserved.iter().flat_map(|&(low, high)| [low, high]).collect(),
            reserved_names: entry.reserved_names.iter().cloned().collect(),
            present: entry.present.iter().cloned().collect(),
        }
    }

    fn into_entry(self) -> (String, TypeHistory) {
        let entry = TypeHistory {
            names: self
                .numbers
                .into_iter()
                .map(|one| (one.number, one.names.into_iter().collect()))
                .collect(),
            reserved: self.reserved.chunks_exact(2).map(|pair| (pair[0], pair[1])).collect(),
            reserved_names: self.reserved_names.into_iter().collect(),
            present: self.present.into_iter().collect(),
        };
        (self.name, entry)
    }
}

impl PublisherRecord {
    fn into_publisher(self) -> Result<(String, Publisher), SnapshotError> {
        let mut publisher =
            Publisher { replayed: self.replayed, newest: self.newest, ..Publisher::default() };
        publisher.symbol_history = SymbolHistory {
            entries: self.symbol_history.into_iter().map(TypeHistoryRecord::into_entry).collect(),
        };
        if self.versions.len() > MAX_VERSIONS || publisher.symbol_history.size() > MAX_HISTORY_SYMBOLS {
            return Err(SnapshotError::PublisherTooLarge { publisher: self.name });
        }
        for record in self.versions {
            let declared =
                record.declared.into_iter().map(decode_declaration).collect::<Result<Vec<_>, _>>()?;
            let schema = Schema::from_set(&record.schema)
                .and_then(|schema| schema.declare(&declared))
                .map_err(|source| SnapshotError::Schema {
                    publisher: self.name.clone(),
                    version: record.number,
                    source,
                })?;
            publisher.versions.insert(
                record.number,
                SchemaVersion { schema: Arc::new(schema), declared, in_force: record.in_force },
            );
        }
        Ok((self.name, publisher))
    }
}

impl Registry {
    /// Encodes the state; equal states give equal bytes.
    #[must_use]
    pub fn export(&self) -> Vec<u8> {
        let publisher = |(name, stored): (&String, &Arc<Publisher>)| PublisherRecord {
            name: name.clone(),
            replayed: stored.replayed,
            newest: stored.newest,
            versions: (stored.versions.iter())
                .map(|(&number, version)| VersionRecord {
                    number,
                    schema: version.schema.to_set().to_vec(),
                    declared: version.declared.iter().map(DeclarationRecord::from).collect(),
                    in_force: version.in_force,
                })
                .collect(),
            symbol_history: stored
                .symbol_history
                .entries
                .iter()
                .map(|(name, entry)| TypeHistoryRecord::from_entry(name, entry))
                .collect(),
        };
        let subscription =
            |((publisher, subscriber), stored): (&(String, String), &Subscription)| SubscriptionRecord {
                publisher: publisher.clone(),
                subscriber: subscriber.clone(),
                version: stored.version,
                usage: Some((&stored.usage).into()),
                lease_ms: stored.lease_ms,
                until_ms: stored.until_ms,
            };
        let state = StateRecord {
            edition: RULES_EDITION,
            now_ms: self.now_ms,
            publishers: self.publishers.iter().map(publisher).collect(),
            subscriptions: self.subscriptions.iter().map(subscription).collect(),
        };
        state.encode_to_vec()
    }

    /// Decodes a state from the bytes of [`Registry::export`].
    ///
    /// # Errors
    /// The snapshot has another edition of the rules, is invalid, or exceeds a limit.
    pub fn import(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let state = StateRecord::decode(bytes)?;
        if state.edition != RULES_EDITION {
            return Err(SnapshotError::Edition { theirs: state.edition, ours: RULES_EDITION });
        }
        if state.publishers.len() > MAX_PUBLISHERS || state.subscriptions.len() > MAX_SUBSCRIBERS {
            return Err(SnapshotError::TooManyEntries);
        }
        let mut registry = Self { now_ms: state.now_ms, ..Self::default() };
        for record in state.publishers {
            let (name, publisher) = record.into_publisher()?;
            registry.publishers.insert(name, Arc::new(publisher));
        }
        for record in state.subscriptions {
            let known =
                registry.publishers.get(&record.publisher).and_then(|one| one.versions.get(&record.version));
            if known.is_none() {
                return Err(SnapshotError::UnknownVersion {
                    subscriber: record.subscriber,
                    publisher: record.publisher,
                });
            }
            let usage = record.usage.ok_or(SnapshotError::MissingUsage)?.into();
            let SubscriptionRecord { publisher, subscriber, version, lease_ms, until_ms, .. } = record;
            let subscription = Subscription { version, usage, lease_ms, until_ms };
            registry.subscriptions.insert((publisher, subscriber), subscription);
        }
        let names: Vec<String> = registry.publishers.keys().cloned().collect();
        names.iter().for_each(|name| registry.refresh_translations(name));
        Ok(registry)
    }

    /// The digest of the state: SHA-256 over [`Registry::export`].
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.export()).into())
    }
}
