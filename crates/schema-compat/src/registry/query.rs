//! Read-only queries: for releases, for the fan-out of records, for lease expiry and for operators.

use super::Registry;
use crate::limits::LEASE_MARGIN_MS;
use crate::schema::{Digest, Schema};
use crate::translate::Translation;
use thiserror::Error;

/// Why a schema must not be published.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum PublishError {
    /// No schema of this publisher was ever accepted.
    #[error("no schema of this publisher was accepted")]
    UnknownPublisher,
    /// This schema was never accepted, or is retired.
    #[error("this schema was not accepted")]
    NeverAccepted,
    /// The schema was withdrawn; the value is its version number.
    #[error("this schema was withdrawn (version {0})")]
    Withdrawn(u32),
}

/// A schema version, as reported to operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct VersionInfo {
    /// Name of the publisher.
    pub publisher: String,
    /// Number of the version.
    pub version: u32,
    /// Digest of the version's schema.
    pub digest: Digest,
    /// Whether records of the version may be published.
    pub in_force: bool,
    /// Number of subscribers that read the version.
    pub subscribers: usize,
}

/// A subscription, as reported to operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SubscriberInfo {
    /// Name of the subscriber.
    pub subscriber: String,
    /// Name of the publisher.
    pub publisher: String,
    /// Number of the version that the subscriber reads.
    pub version: u32,
    /// End of the lease by the journal's time, in ms; the subscription stays at least until the margin has
    /// expired as well.
    pub until_ms: u64,
}

impl Registry {
    /// Checks that binaries which publish by this schema may be released.
    ///
    /// # Errors
    /// The schema is not in force.
    pub fn may_publish(&self, publisher: &str, schema: Digest) -> Result<(), PublishError> {
        let known = self.publishers.get(publisher).ok_or(PublishError::UnknownPublisher)?;
        let version = known.version_of(schema).ok_or(PublishError::NeverAccepted)?;
        if known.versions.get(&version).is_some_and(|one| one.in_force) {
            Ok(())
        } else {
            Err(PublishError::Withdrawn(version))
        }
    }

    /// The version number of a schema, in force or withdrawn.
    #[must_use]
    pub fn version_of(&self, publisher: &str, schema: Digest) -> Option<u32> {
        self.publishers.get(publisher)?.version_of(schema)
    }

    /// The schema of a version, to decode its records with.
    #[must_use]
    pub fn schema(&self, publisher: &str, version: u32) -> Option<&Schema> {
        Some(&self.publishers.get(publisher)?.versions.get(&version)?.schema)
    }

    /// The translation of records written by `from_version` for subscribers of `to_version`. `None` if no
    /// translation is needed, or no subscriber reads `to_version`.
    #[must_use]
    pub fn translation(&self, publisher: &str, from_version: u32, to_version: u32) -> Option<&Translation> {
        self.translations.get(&(publisher.to_string(), from_version, to_version))?.as_deref()
    }

    /// The version that a subscriber reads, if it is subscribed.
    #[must_use]
    pub fn subscribed(&self, publisher: &str, subscriber: &str) -> Option<u32> {
        self.subscriptions
            .get(&(publisher.to_string(), subscriber.to_string()))
            .map(|subscription| subscription.version)
    }

    /// Subscribers whose lease and margin have expired at `now_ms`. A leader proposes
    /// [`super::RegistryCommand::ExpireLease`] for each of them.
    pub fn expired_leases(&self, now_ms: u64) -> impl Iterator<Item = SubscriberInfo> + '_ {
        self.subscribers().filter(move |one| now_ms >= one.until_ms.saturating_add(LEASE_MARGIN_MS))
    }

    /// All subscribers, by publisher and name.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberInfo> + '_ {
        self.subscriptions.iter().map(|((publisher, subscriber), subscription)| SubscriberInfo {
            subscriber: subscriber.clone(),
            publisher: publisher.clone(),
            version: subscription.version,
            until_ms: subscription.until_ms,
        })
    }

    /// All versions, by publisher and number.
    pub fn versions(&self) -> impl Iterator<Item = VersionInfo> + '_ {
        self.publishers.iter().flat_map(move |(name, publisher)| {
            publisher.versions.iter().map(move |(&version, stored)| VersionInfo {
                publisher: name.clone(),
                version,
                digest: stored.schema.digest(),
                in_force: stored.in_force,
                subscribers: self
                    .readers(name)
                    .filter(|(_, subscription)| subscription.version == version)
                    .count(),
            })
        })
    }
}
