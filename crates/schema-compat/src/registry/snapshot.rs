//! The registry's state as bytes, and back; its digest.

use super::wire::{declared, DeclaredRecord, UsesRecord};
use super::{Publisher, Registry, Subscription, Version};
use crate::bounds::{EDITION, MAX_LEDGER, MAX_PUBLISHERS, MAX_SUBSCRIBERS, MAX_VERSIONS};
use crate::ledger::{Entry, Ledger};
use crate::schema::{Digest, Schema};
use prost::Message as _;
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::sync::Arc;

/// Why bytes are no snapshot of this registry.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SnapshotError {
    /// Made by managers that judge by other rules.
    Edition {
        /// Theirs.
        theirs: u32,
        /// [`EDITION`].
        ours: u32,
    },
    /// Damaged, or over a bound.
    Invalid(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edition { theirs, ours } => write!(f, "snapshot by rules of edition {theirs}, here {ours}"),
            Self::Invalid(why) => write!(f, "snapshot: {why}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

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
    ledger: Vec<EntryRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct VersionRecord {
    #[prost(uint32, tag = "1")]
    number: u32,
    #[prost(bytes = "vec", tag = "2")]
    schema: Vec<u8>,
    #[prost(message, repeated, tag = "3")]
    declared: Vec<DeclaredRecord>,
    #[prost(bool, tag = "4")]
    in_force: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntryRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(message, repeated, tag = "2")]
    numbers: Vec<NumberRecord>,
    /// First and last, in turns.
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
    uses: Option<UsesRecord>,
    #[prost(uint64, tag = "5")]
    lease_ms: u64,
    #[prost(uint64, tag = "6")]
    until_ms: u64,
}

impl EntryRecord {
    fn of(name: &str, entry: &Entry) -> Self {
        Self {
            name: name.to_string(),
            numbers: (entry.names.iter())
                .map(|(&number, names)| NumberRecord { number, names: names.iter().cloned().collect() })
                .collect(),
            reserved: entry.reserved.iter().flat_map(|&(least, most)| [least, most]).collect(),
            reserved_names: entry.reserved_names.iter().cloned().collect(),
            present: entry.present.iter().cloned().collect(),
        }
    }

    fn entry(self) -> (String, Entry) {
        let entry = Entry {
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
    fn publisher(self) -> Result<(String, Publisher), String> {
        let mut made = Publisher { replayed: self.replayed, newest: self.newest, ..Publisher::default() };
        made.ledger = Ledger { entries: self.ledger.into_iter().map(EntryRecord::entry).collect() };
        if self.versions.len() > MAX_VERSIONS || made.ledger.size() > MAX_LEDGER {
            return Err(format!("publisher {} is over its bounds", self.name));
        }
        for record in self.versions {
            let declared = record.declared.into_iter().map(declared).collect::<Result<Vec<_>, _>>()?;
            let schema = Schema::from_set(&record.schema)
                .and_then(|schema| schema.declare(&declared))
                .map_err(|error| format!("publisher {}, version {}: {error}", self.name, record.number))?;
            made.versions.insert(
                record.number,
                Version { schema: Arc::new(schema), declared, in_force: record.in_force },
            );
        }
        Ok((self.name, made))
    }
}

impl Registry {
    /// The state as bytes; equal states give equal bytes.
    #[must_use]
    pub fn export(&self) -> Vec<u8> {
        let publisher = |(name, one): (&String, &Arc<Publisher>)| PublisherRecord {
            name: name.clone(),
            replayed: one.replayed,
            newest: one.newest,
            versions: (one.versions.iter())
                .map(|(&number, version)| VersionRecord {
                    number,
                    schema: version.schema.to_set().to_vec(),
                    declared: version.declared.iter().map(DeclaredRecord::from).collect(),
                    in_force: version.in_force,
                })
                .collect(),
            ledger: one.ledger.entries.iter().map(|(name, entry)| EntryRecord::of(name, entry)).collect(),
        };
        let subscription =
            |((publisher, subscriber), held): (&(String, String), &Subscription)| SubscriptionRecord {
                publisher: publisher.clone(),
                subscriber: subscriber.clone(),
                version: held.version,
                uses: Some((&held.uses).into()),
                lease_ms: held.lease_ms,
                until_ms: held.until_ms,
            };
        let state = StateRecord {
            edition: EDITION,
            now_ms: self.now_ms,
            publishers: self.publishers.iter().map(publisher).collect(),
            subscriptions: self.subscriptions.iter().map(subscription).collect(),
        };
        state.encode_to_vec()
    }

    /// A state from [`Registry::export`]'s bytes, on this machine or another.
    ///
    /// # Errors
    /// Another edition of the rules; damage; more than the bounds allow.
    pub fn import(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let invalid = SnapshotError::Invalid;
        let state = StateRecord::decode(bytes).map_err(|error| invalid(error.to_string()))?;
        if state.edition != EDITION {
            return Err(SnapshotError::Edition { theirs: state.edition, ours: EDITION });
        }
        if state.publishers.len() > MAX_PUBLISHERS || state.subscriptions.len() > MAX_SUBSCRIBERS {
            return Err(invalid("more publishers or subscribers than there may be".into()));
        }
        let mut made = Self { now_ms: state.now_ms, ..Self::default() };
        for record in state.publishers {
            let (name, publisher) = record.publisher().map_err(invalid)?;
            made.publishers.insert(name, Arc::new(publisher));
        }
        for record in state.subscriptions {
            let known =
                made.publishers.get(&record.publisher).and_then(|one| one.versions.get(&record.version));
            if known.is_none() {
                let why = format!(
                    "{} speaks a version of {} that is not there",
                    record.subscriber, record.publisher
                );
                return Err(invalid(why));
            }
            let uses = record.uses.ok_or_else(|| invalid("subscription without uses".into()))?.into();
            let SubscriptionRecord { publisher, subscriber, version, lease_ms, until_ms, .. } = record;
            let held = Subscription { version, uses, lease_ms, until_ms };
            made.subscriptions.insert((publisher, subscriber), held);
        }
        let names: Vec<String> = made.publishers.keys().cloned().collect();
        names.iter().for_each(|name| made.derive(name));
        Ok(made)
    }

    /// Names the state: SHA-256 over [`Registry::export`].
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.export()).into())
    }
}
