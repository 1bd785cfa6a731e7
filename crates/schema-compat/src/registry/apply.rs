//! Applies commands: checks each against the state and changes it in the same step.

use super::{
    CommandOutcome, CommandRejection, InvalidCommand, Publisher, Registry, RegistryCommand, Subscription,
    Version,
};
use crate::check::read_by;
use crate::declaration::MigrationDeclaration;
use crate::error::SchemaError;
use crate::limits::{
    LEASE_MARGIN_MS, MAX_HISTORY_SYMBOLS, MAX_LEASE_MS, MAX_NAMED_READERS, MAX_NAME_BYTES, MAX_PUBLISHERS,
    MAX_SUBSCRIBERS, MAX_VERSIONS, MAX_VIOLATIONS, MIN_LEASE_MS,
};
use crate::rules::{Direction, Finding, Rule, Severity, Violation};
use crate::schema::Schema;
use crate::translate::Translation;
use crate::usage::ReaderUsage;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// ViolationSet by rule, path and detail, with who would break.
#[derive(Default)]
struct ViolationSet {
    found: BTreeMap<(Rule, String, String), (BTreeSet<String>, usize)>,
}

impl ViolationSet {
    /// The findings that break, for these readers. Whether there were any.
    fn add(&mut self, findings: &[Finding], who: &[&str]) -> bool {
        let mut any = false;
        for finding in findings.iter().filter(|finding| finding.severity == Severity::Break) {
            any = true;
            let key = (finding.rule, finding.path.clone(), finding.detail.clone());
            let (names, count) = self.found.entry(key).or_default();
            *count += who.len();
            let room = MAX_NAMED_READERS.saturating_sub(names.len());
            names.extend(who.iter().take(room).map(|name| name.to_string()));
        }
        any
    }

    fn refusal(self) -> Option<CommandRejection> {
        let count = self.found.len();
        let reason =
            |((rule, path, detail), (who, count)): ((Rule, String, String), (BTreeSet<String>, usize))| {
                Violation { path, rule, affected: who.into_iter().collect(), affected_count: count, detail }
            };
        let violations: Vec<Violation> = self.found.into_iter().take(MAX_VIOLATIONS).map(reason).collect();
        (count > 0).then_some(CommandRejection::BreaksReaders { violations, count })
    }
}

/// A proposal's schema with its declarations, or why it is none.
type SchemaResult = Result<Arc<Schema>, SchemaError>;

fn read(set: &[u8], declared: &[MigrationDeclaration]) -> SchemaResult {
    let schema = Schema::from_set(set).and_then(|schema| schema.declare(declared));
    schema.map(Arc::new)
}

/// A command whose schema, if it has one, is read already: what takes longest of a proposal and needs no state, so that it
/// can be done elsewhere, and once where many registries are given one command.
#[derive(Clone, Debug)]
pub struct PreparedCommand {
    command: RegistryCommand,
    schema: Option<SchemaResult>,
}

impl RegistryCommand {
    /// Reads the command's schema.
    #[must_use]
    pub fn prepare(self) -> PreparedCommand {
        let schema = match &self {
            RegistryCommand::Propose { schema, translations, .. } => Some(read(schema, translations)),
            _ => None,
        };
        PreparedCommand { command: self, schema }
    }
}

fn check_name(name: &str) -> Result<(), CommandRejection> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(InvalidCommand::Name.into());
    }
    Ok(())
}

fn limit_reached(what: &'static str, limit: usize) -> CommandRejection {
    CommandRejection::LimitReached { what, limit }
}

impl Registry {
    /// An empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command at the journal's time `now_ms`, the time in the journal's entry. A time before one already
    /// seen counts as that one. What is refused leaves the state as it was.
    pub fn apply(&mut self, now_ms: u64, command: RegistryCommand) -> CommandOutcome {
        self.apply_prepared(now_ms, PreparedCommand { command, schema: None })
    }

    /// As [`Registry::apply`], with the schema read before.
    pub fn apply_prepared(&mut self, now_ms: u64, prepared: PreparedCommand) -> CommandOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        let done = match prepared.command {
            RegistryCommand::Propose { publisher, schema, translations, replayed } => {
                self.propose(publisher, &schema, prepared.schema, translations, replayed)
            }
            RegistryCommand::Subscribe { subscriber, publisher, version, usage, lease_ms } => {
                self.subscribe(subscriber, publisher, version, usage, lease_ms)
            }
            RegistryCommand::Renew { subscriber, publisher } => self.renew(subscriber, publisher),
            RegistryCommand::Unsubscribe { subscriber, publisher } => self.leave(publisher, subscriber),
            RegistryCommand::ExpireLease { subscriber, publisher } => {
                self.expire_lease(publisher, subscriber)
            }
            RegistryCommand::Withdraw { publisher, version } => self.withdraw(&publisher, version),
            RegistryCommand::Retire { publisher, version } => self.retire(&publisher, version),
        };
        done.unwrap_or_else(CommandOutcome::Rejected)
    }

    fn propose(
        &mut self,
        name: String,
        set: &[u8],
        read: Option<SchemaResult>,
        declared: Vec<MigrationDeclaration>,
        replayed: bool,
    ) -> Result<CommandOutcome, CommandRejection> {
        check_name(&name)?;
        let known = self.publishers.get(&name);
        if known.is_none() && self.publishers.len() >= MAX_PUBLISHERS {
            return Err(limit_reached("publishers", MAX_PUBLISHERS));
        }
        if known.is_some_and(|known| known.replayed != replayed) {
            // Withdrawn versions would come to count, or cease to, for subscribers that were judged without.
            return Err(InvalidCommand::ReplayChanged.into());
        }
        let empty = Publisher::default();
        let publisher = known.map_or(&empty, Arc::as_ref);
        // Every process of a release proposes the same bytes: what is known by its digest is not read again.
        let told = publisher.version_of(Schema::digest_of(set));
        let schema = match told {
            Some(version) => publisher.versions[&version].schema.clone(),
            None => read.unwrap_or_else(|| self::read(set, &declared)).map_err(InvalidCommand::from)?,
        };
        let same = publisher.version_of(schema.digest());
        if same.is_some_and(|version| publisher.versions[&version].declared != declared) {
            return Err(InvalidCommand::DeclarationsChanged.into());
        }
        if let Some(version) = same.filter(|version| publisher.versions[version].in_force) {
            return Ok(CommandOutcome::Accepted {
                version,
                translated: self.translated_from(&name, version),
            });
        }
        if same.is_none() && publisher.versions.len() >= MAX_VERSIONS {
            return Err(limit_reached("versions of a publisher: retire old ones", MAX_VERSIONS));
        }
        let version = same.unwrap_or(publisher.newest + 1);
        let mut violations = ViolationSet::default();
        if same.is_none() {
            violations.add(&publisher.symbol_history.check(&schema.model), &["history"]);
        }
        self.judge_readers(&name, publisher, version, &schema, &mut violations);
        if replayed {
            for (&old, one) in publisher.versions.iter().filter(|(&old, _)| old < version) {
                let found = read_by(&one.schema, &schema, &ReaderUsage::all().tolerant(), Direction::Up);
                violations
                    .add(&found, &[&format!("readers of version {version} at records of version {old}")]);
            }
        }
        if let Some(refusal) = violations.refusal() {
            return Err(refusal);
        }
        let mut symbol_history = publisher.symbol_history.clone();
        symbol_history.absorb(&schema.model);
        if symbol_history.size() > MAX_HISTORY_SYMBOLS {
            return Err(limit_reached("numbers and names of a publisher", MAX_HISTORY_SYMBOLS));
        }
        let publisher = Arc::make_mut(self.publishers.entry(name.clone()).or_default());
        publisher.symbol_history = symbol_history;
        publisher.replayed = replayed;
        publisher.newest = publisher.newest.max(version);
        publisher.versions.insert(version, Version { schema, declared, in_force: true });
        self.derive(&name);
        Ok(CommandOutcome::Accepted { version, translated: self.translated_from(&name, version) })
    }

    /// The schema against every subscriber in the state, grouped by what they speak and use.
    fn judge_readers(
        &self,
        name: &str,
        publisher: &Publisher,
        version: u32,
        schema: &Schema,
        to: &mut ViolationSet,
    ) {
        let mut groups: BTreeMap<(u32, &ReaderUsage), Vec<&str>> = BTreeMap::new();
        for (subscriber, held) in self.readers(name) {
            groups.entry((held.version, &held.usage)).or_default().push(subscriber);
        }
        for ((spoken, usage), who) in groups {
            let Some(reader) = publisher.versions.get(&spoken).filter(|_| spoken != version) else {
                continue;
            };
            to.add(&read_by(schema, &reader.schema, usage, direction(version, spoken)), &who);
        }
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
        // Whoever stands is broken by nothing in force, so that another like it need not be judged: hundreds come back at
        // once when a manager dies.
        if !self.readers(&name).any(|(_, held)| held.version == version && held.usage == usage) {
            let mut violations = ViolationSet::default();
            // Its own version too: what it says that it uses must be there.
            violations.add(&read_by(reader, reader, &usage, Direction::Down), &[&subscriber]);
            for (written, one) in publisher.written().filter(|(written, _)| *written != version) {
                let found = read_by(&one.schema, reader, &usage, direction(written, version));
                violations.add(&found, &[&format!("{subscriber} at records of version {written}")]);
            }
            if let Some(refusal) = violations.refusal() {
                return Err(refusal);
            }
        }
        let until_ms = self.now_ms.saturating_add(lease_ms);
        let spoken = self.readers(&name).any(|(_, held)| held.version == version);
        let before = self.subscriptions.insert(key, Subscription { version, usage, lease_ms, until_ms });
        if !spoken || before.is_some_and(|held| held.version != version) {
            self.derive(&name);
        }
        let to = |((publisher, from, to), one): (&(String, u32, u32), &Option<_>)| {
            (*publisher == name && *to == version && one.is_some()).then_some(*from)
        };
        Ok(CommandOutcome::Subscribed {
            until_ms,
            translated: self.translations.iter().filter_map(to).collect(),
        })
    }

    fn renew(&mut self, subscriber: String, publisher: String) -> Result<CommandOutcome, CommandRejection> {
        let now = self.now_ms;
        let held = self
            .subscriptions
            .get_mut(&(publisher, subscriber))
            .ok_or(CommandRejection::UnknownSubscriber)?;
        held.until_ms = held.until_ms.max(now.saturating_add(held.lease_ms));
        Ok(CommandOutcome::Renewed { until_ms: held.until_ms })
    }

    fn leave(&mut self, publisher: String, subscriber: String) -> Result<CommandOutcome, CommandRejection> {
        let key = (publisher, subscriber);
        let held = self.subscriptions.remove(&key).ok_or(CommandRejection::UnknownSubscriber)?;
        if !self.readers(&key.0).any(|(_, other)| other.version == held.version) {
            self.derive(&key.0);
        }
        Ok(CommandOutcome::Done)
    }

    fn expire_lease(
        &mut self,
        publisher: String,
        subscriber: String,
    ) -> Result<CommandOutcome, CommandRejection> {
        let key = (publisher, subscriber);
        let held = self.subscriptions.get(&key).ok_or(CommandRejection::UnknownSubscriber)?;
        // A renewal that came before this command in the journal, or a leader whose clock runs ahead.
        let until_ms = held.until_ms.saturating_add(LEASE_MARGIN_MS);
        if self.now_ms < until_ms {
            return Err(CommandRejection::LeaseNotExpired { until_ms });
        }
        self.leave(key.0, key.1)
    }

    fn withdraw(&mut self, name: &str, version: u32) -> Result<CommandOutcome, CommandRejection> {
        let publisher =
            Arc::make_mut(self.publishers.get_mut(name).ok_or(CommandRejection::UnknownPublisher)?);
        publisher.versions.get_mut(&version).ok_or(CommandRejection::UnknownVersion)?.in_force = false;
        self.derive(name);
        Ok(CommandOutcome::Done)
    }

    fn retire(&mut self, name: &str, version: u32) -> Result<CommandOutcome, CommandRejection> {
        let spoken = self.readers(name).any(|(_, held)| held.version == version);
        let publisher =
            Arc::make_mut(self.publishers.get_mut(name).ok_or(CommandRejection::UnknownPublisher)?);
        let in_force = publisher.versions.get(&version).ok_or(CommandRejection::UnknownVersion)?.in_force;
        if in_force || spoken {
            return Err(CommandRejection::InUse);
        }
        publisher.versions.remove(&version);
        self.derive(name);
        Ok(CommandOutcome::Done)
    }

    pub(crate) fn readers<'a>(
        &'a self,
        publisher: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Subscription)> {
        let all = self.subscriptions.range((publisher.to_string(), String::new())..);
        all.take_while(move |((name, _), _)| name == publisher).map(|((_, who), held)| (who.as_str(), held))
    }

    /// Brings the translations of one publisher in line with what its subscribers meet.
    pub(crate) fn derive(&mut self, name: &str) {
        let Some(publisher) = self.publishers.get(name) else { return };
        let spoken: BTreeSet<u32> = self.readers(name).map(|(_, held)| held.version).collect();
        let mut wanted = BTreeSet::new();
        for (from, _) in publisher.written() {
            wanted.extend(spoken.iter().filter(|&&to| to != from).map(|&to| (from, to)));
        }
        let mut kept: BTreeMap<(u32, u32), Option<Arc<Translation>>> = BTreeMap::new();
        let held: Vec<(String, u32, u32)> =
            self.translations.range((name.to_string(), 0, 0)..).map(|(key, _)| key.clone()).collect();
        for key in held.into_iter().take_while(|key| key.0 == name) {
            if let Some(translation) = self.translations.remove(&key) {
                kept.insert((key.1, key.2), translation);
            }
        }
        for (from, to) in wanted {
            let translation = kept.remove(&(from, to)).unwrap_or_else(|| {
                let (writer, reader) = (publisher.versions.get(&from)?, publisher.versions.get(&to)?);
                let made = Translation::between(&writer.schema, &reader.schema, direction(from, to));
                made.changes().then(|| Arc::new(made))
            });
            self.translations.insert((name.to_string(), from, to), translation);
        }
    }

    fn translated_from(&self, name: &str, version: u32) -> Vec<u32> {
        let from = |((publisher, from, to), one): (&(String, u32, u32), &Option<_>)| {
            (publisher == name && *from == version && one.is_some()).then_some(*to)
        };
        self.translations.iter().filter_map(from).collect()
    }
}

/// Who is the newer of a writer's and a reader's version.
pub(crate) fn direction(writer: u32, reader: u32) -> Direction {
    if writer >= reader {
        Direction::Down
    } else {
        Direction::Up
    }
}
