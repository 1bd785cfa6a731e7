//! What others ask of the registry: the rollout before it releases, the fan-out before it sends, a leader for leases
//! that are over, an operator.

use super::Registry;
use crate::limits::LEASE_MARGIN_MS;
use crate::schema::{Digest, Schema};
use crate::translate::Translation;
use thiserror::Error;

/// Why binaries that publish by a schema must not be released.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum PublishError {
    /// The publisher never proposed anything.
    #[error("no schema of this publisher was accepted")]
    UnknownPublisher,
    /// This schema was never accepted, or is retired.
    #[error("this schema was not accepted")]
    NeverAccepted,
    /// It was accepted and withdrawn since: under this number.
    #[error("this schema was withdrawn (version {0})")]
    Withdrawn(u32),
}

/// A version, as an operator sees it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct VersionInfo {
    /// The publisher.
    pub publisher: String,
    /// The version.
    pub version: u32,
    /// Its schema.
    pub digest: Digest,
    /// Whether it may be published.
    pub in_force: bool,
    /// How many subscribers speak it.
    pub subscribers: usize,
}

/// A subscriber, as an operator sees it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SubscriberInfo {
    /// The subscriber.
    pub subscriber: String,
    /// The publisher.
    pub publisher: String,
    /// The version that it speaks.
    pub version: u32,
    /// The lease's end by the journal's time, in ms; it counts as there until the margin is over too.
    pub until_ms: u64,
}

impl Registry {
    /// Whether a release whose binaries publish by this schema may go out.
    ///
    /// # Errors
    /// Why not.
    pub fn may_publish(&self, publisher: &str, schema: Digest) -> Result<(), PublishError> {
        let known = self.publishers.get(publisher).ok_or(PublishError::UnknownPublisher)?;
        let version = known.version_of(schema).ok_or(PublishError::NeverAccepted)?;
        if known.versions.get(&version).is_some_and(|one| one.in_force) {
            Ok(())
        } else {
            Err(PublishError::Withdrawn(version))
        }
    }

    /// The number of a schema in force or withdrawn, for a subscriber that knows only what it was built with.
    #[must_use]
    pub fn version_of(&self, publisher: &str, schema: Digest) -> Option<u32> {
        self.publishers.get(publisher)?.version_of(schema)
    }

    /// The schema of a version, to decode its records with.
    #[must_use]
    pub fn schema(&self, publisher: &str, version: u32) -> Option<&Schema> {
        Some(&self.publishers.get(publisher)?.versions.get(&version)?.schema)
    }

    /// What records written by `from_version` go through on their way to subscribers of `to_version`. None: they go as
    /// they are, or nobody who speaks that version is subscribed.
    #[must_use]
    pub fn translation(&self, publisher: &str, from_version: u32, to_version: u32) -> Option<&Translation> {
        self.translations.get(&(publisher.to_string(), from_version, to_version))?.as_deref()
    }

    /// Whether the subscriber stands, and with which version.
    #[must_use]
    pub fn subscribed(&self, publisher: &str, subscriber: &str) -> Option<u32> {
        self.subscriptions.get(&(publisher.to_string(), subscriber.to_string())).map(|held| held.version)
    }

    /// Subscribers whose lease and margin are over at `now_ms`: for each a leader proposes [`super::RegistryCommand::ExpireLease`].
    pub fn expired_leases(&self, now_ms: u64) -> impl Iterator<Item = SubscriberInfo> + '_ {
        self.subscribers().filter(move |one| now_ms >= one.until_ms.saturating_add(LEASE_MARGIN_MS))
    }

    /// All subscribers, by publisher and name.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberInfo> + '_ {
        self.subscriptions.iter().map(|((publisher, subscriber), held)| SubscriberInfo {
            subscriber: subscriber.clone(),
            publisher: publisher.clone(),
            version: held.version,
            until_ms: held.until_ms,
        })
    }

    /// All versions, by publisher and number.
    pub fn versions(&self) -> impl Iterator<Item = VersionInfo> + '_ {
        self.publishers.iter().flat_map(move |(name, publisher)| {
            publisher.versions.iter().map(move |(&version, one)| VersionInfo {
                publisher: name.clone(),
                version,
                digest: one.schema.digest(),
                in_force: one.in_force,
                subscribers: self.readers(name).filter(|(_, held)| held.version == version).count(),
            })
        })
    }
}
