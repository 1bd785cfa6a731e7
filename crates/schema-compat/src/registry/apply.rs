//! Applies commands: checks each against the state and changes it in the same step.

use super::prepared::PreparedCommand;
use super::translations::direction;
use super::violation_set::ViolationSet;
use super::{CommandOutcome, CommandRejection, InvalidCommand, Registry, RegistryCommand, Subscription};
use crate::check::reader_findings;
use crate::limits::{LEASE_MARGIN_MS, MAX_LEASE_MS, MAX_NAME_BYTES, MAX_SUBSCRIBERS, MIN_LEASE_MS};
use crate::rules::Direction;
use crate::usage::ReaderUsage;
use std::sync::Arc;

pub(super) fn check_name(name: &str) -> Result<(), CommandRejection> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(InvalidCommand::Name.into());
    }
    Ok(())
}

pub(super) fn limit_reached(what: &'static str, limit: usize) -> CommandRejection {
    CommandRejection::LimitReached { what, limit }
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command at `now_ms`, the time of its journal entry. A time earlier than that of an applied
    /// command counts as the latest time applied. A rejected command leaves the state unchanged.
    pub fn apply(&mut self, now_ms: u64, command: RegistryCommand) -> CommandOutcome {
        self.apply_prepared(now_ms, PreparedCommand { command, schema: None })
    }

    /// Applies a command as [`Registry::apply`] does, with the schema already decoded.
    pub fn apply_prepared(&mut self, now_ms: u64, prepared: PreparedCommand) -> CommandOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        let result = match prepared.command {
            RegistryCommand::Propose { publisher, schema, declarations, replayed } => {
                self.propose(publisher, &schema, prepared.schema, declarations, replayed)
            }
            RegistryCommand::Subscribe { subscriber, publisher, version, usage, lease_ms } => {
                self.subscribe(subscriber, publisher, version, usage, lease_ms)
            }
            RegistryCommand::Renew { subscriber, publisher } => self.renew(subscriber, publisher),
            RegistryCommand::Unsubscribe { subscriber, publisher } => self.unsubscribe(publisher, subscriber),
            RegistryCommand::ExpireLease { subscriber, publisher } => {
                self.expire_lease(publisher, subscriber)
            }
            RegistryCommand::Withdraw { publisher, version } => self.withdraw(&publisher, version),
            RegistryCommand::Retire { publisher, version } => self.retire(&publisher, version),
        };
        result.unwrap_or_else(CommandOutcome::Rejected)
    }

    fn subscribe(
        &mut self,
        subscriber: String,
        name: String,
        version: u32,
        usage: ReaderUsage,
        lease_ms: u64,
    ) -> Result<CommandOutcome, CommandRejection> {
        check_name(&subscriber)?;
        usage.check_limits().map_err(InvalidCommand::from)?;
        if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms) {
            return Err(InvalidCommand::LeaseOutOfRange.into());
        }
        let publisher = self.publishers.get(&name).ok_or(CommandRejection::UnknownPublisher)?;
        let reader = &publisher.versions.get(&version).ok_or(CommandRejection::UnknownVersion)?.schema;
        let key = (name.clone(), subscriber.clone());
        if !self.subscriptions.contains_key(&key) && self.subscriptions.len() >= MAX_SUBSCRIBERS {
            return Err(limit_reached("subscribers", MAX_SUBSCRIBERS));
        }
        // No schema in force breaks an existing subscription, so a subscription equal to an existing one
        // needs no check: hundreds of subscribers reconnect at once when a manager fails.
        if !self.readers(&name).any(|(_, other)| other.version == version && other.usage == usage) {
            let mut violations = ViolationSet::default();
            // The subscriber's own version is checked as well: the declared paths must exist in it.
            violations.add(&reader_findings(reader, reader, &usage, Direction::NewToOld), &[&subscriber]);
            for (written, writer) in publisher.written_versions().filter(|(written, _)| *written != version) {
                let findings = reader_findings(&writer.schema, reader, &usage, direction(written, version));
                violations.add(&findings, &[&format!("{subscriber} reading records of version {written}")]);
            }
            if let Some(rejection) = violations.into_rejection() {
                return Err(rejection);
            }
        }
        let until_ms = self.now_ms.saturating_add(lease_ms);
        let was_read = self.readers(&name).any(|(_, other)| other.version == version);
        let previous = self.subscriptions.insert(key, Subscription { version, usage, lease_ms, until_ms });
        if !was_read || previous.is_some_and(|previous| previous.version != version) {
            self.refresh_translations(&name);
        }
        let writer_version = |((publisher, from, to), translation): (&(String, u32, u32), &Option<_>)| {
            (*publisher == name && *to == version && translation.is_some()).then_some(*from)
        };
        Ok(CommandOutcome::Subscribed {
            until_ms,
            translated: self.translations.iter().filter_map(writer_version).collect(),
        })
    }

    fn renew(&mut self, subscriber: String, publisher: String) -> Result<CommandOutcome, CommandRejection> {
        let now = self.now_ms;
        let subscription = self
            .subscriptions
            .get_mut(&(publisher, subscriber))
            .ok_or(CommandRejection::UnknownSubscriber)?;
        subscription.until_ms = subscription.until_ms.max(now.saturating_add(subscription.lease_ms));
        Ok(CommandOutcome::Renewed { until_ms: subscription.until_ms })
    }

    fn unsubscribe(
        &mut self,
        publisher: String,
        subscriber: String,
    ) -> Result<CommandOutcome, CommandRejection> {
        let key = (publisher, subscriber);
        let removed = self.subscriptions.remove(&key).ok_or(CommandRejection::UnknownSubscriber)?;
        if !self.readers(&key.0).any(|(_, other)| other.version == removed.version) {
            self.refresh_translations(&key.0);
        }
        Ok(CommandOutcome::Done)
    }

    fn expire_lease(
        &mut self,
        publisher: String,
        subscriber: String,
    ) -> Result<CommandOutcome, CommandRejection> {
        let key = (publisher, subscriber);
        let subscription = self.subscriptions.get(&key).ok_or(CommandRejection::UnknownSubscriber)?;
        // The lease has not expired if a renewal precedes this command in the journal, or if the leader's
        // clock runs ahead.
        let until_ms = subscription.until_ms.saturating_add(LEASE_MARGIN_MS);
        if self.now_ms < until_ms {
            return Err(CommandRejection::LeaseNotExpired { until_ms });
        }
        self.unsubscribe(key.0, key.1)
    }

    fn withdraw(&mut self, name: &str, version: u32) -> Result<CommandOutcome, CommandRejection> {
        let publisher =
            Arc::make_mut(self.publishers.get_mut(name).ok_or(CommandRejection::UnknownPublisher)?);
        publisher.versions.get_mut(&version).ok_or(CommandRejection::UnknownVersion)?.in_force = false;
        self.refresh_translations(name);
        Ok(CommandOutcome::Done)
    }

    fn retire(&mut self, name: &str, version: u32) -> Result<CommandOutcome, CommandRejection> {
        let is_read = self.readers(name).any(|(_, subscription)| subscription.version == version);
        let publisher =
            Arc::make_mut(self.publishers.get_mut(name).ok_or(CommandRejection::UnknownPublisher)?);
        let in_force = publisher.versions.get(&version).ok_or(CommandRejection::UnknownVersion)?.in_force;
        if in_force || is_read {
            return Err(CommandRejection::InUse);
        }
        publisher.versions.remove(&version);
        self.refresh_translations(name);
        Ok(CommandOutcome::Done)
    }
}
