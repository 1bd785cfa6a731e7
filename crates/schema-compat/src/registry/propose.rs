//! Applies a proposal: checks the schema against history, readers and replayed records, and puts it in force.

use super::apply::{check_name, limit_reached};
use super::prepared::{decode_schema, SchemaResult};
use super::translations::direction;
use super::violation_set::ViolationSet;
use super::{CommandOutcome, CommandRejection, InvalidCommand, Publisher, Registry, SchemaVersion};
use crate::check::reader_findings;
use crate::declaration::MigrationDeclaration;
use crate::limits::{MAX_HISTORY_SYMBOLS, MAX_PUBLISHERS, MAX_VERSIONS};
use crate::rules::Direction;
use crate::schema::Schema;
use crate::symbol_history::SymbolHistory;
use crate::usage::ReaderUsage;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Registry {
    pub(super) fn propose(
        &mut self,
        name: String,
        set: &[u8],
        prepared: Option<SchemaResult>,
        declared: Vec<MigrationDeclaration>,
        replayed: bool,
    ) -> Result<CommandOutcome, CommandRejection> {
        check_name(&name)?;
        let known = self.publishers.get(&name);
        self.check_publisher(known.map(Arc::as_ref), replayed)?;
        let empty = Publisher::default();
        let publisher = known.map_or(&empty, Arc::as_ref);
        // Every process of a release proposes the same bytes: a schema of a known digest is not
        // decoded again.
        let known_version = publisher.version_of(Schema::digest_of(set));
        let schema = match known_version {
            Some(version) => publisher.versions[&version].schema.clone(),
            None => {
                prepared.unwrap_or_else(|| decode_schema(set, &declared)).map_err(InvalidCommand::from)?
            }
        };
        let same_version = publisher.version_of(schema.digest());
        if same_version.is_some_and(|version| publisher.versions[&version].declared != declared) {
            return Err(InvalidCommand::DeclarationsChanged.into());
        }
        if let Some(version) = same_version.filter(|version| publisher.versions[version].in_force) {
            return Ok(CommandOutcome::Accepted {
                version,
                translated: self.translated_from(&name, version),
            });
        }
        if same_version.is_none() && publisher.versions.len() >= MAX_VERSIONS {
            return Err(limit_reached("versions of a publisher (retire old ones)", MAX_VERSIONS));
        }
        let version = same_version.unwrap_or(publisher.newest + 1);
        let is_new = same_version.is_none();
        let violations = self.check_proposal(&name, publisher, version, is_new, &schema, replayed);
        if let Some(rejection) = violations.into_rejection() {
            return Err(rejection);
        }
        let symbol_history = extended_history(publisher, &schema)?;
        let publisher = Arc::make_mut(self.publishers.entry(name.clone()).or_default());
        publisher.symbol_history = symbol_history;
        publisher.replayed = replayed;
        publisher.newest = publisher.newest.max(version);
        publisher.versions.insert(version, SchemaVersion { schema, declared, in_force: true });
        self.refresh_translations(&name);
        Ok(CommandOutcome::Accepted { version, translated: self.translated_from(&name, version) })
    }

    /// Checks that the publisher may propose at all; `known` is `None` for a new publisher.
    fn check_publisher(&self, known: Option<&Publisher>, replayed: bool) -> Result<(), CommandRejection> {
        match known {
            None if self.publishers.len() >= MAX_PUBLISHERS => {
                Err(limit_reached("publishers", MAX_PUBLISHERS))
            }
            // A change of `replayed` would add or remove withdrawn versions for subscribers that were already
            // checked.
            Some(known) if known.replayed != replayed => Err(InvalidCommand::ReplayChanged.into()),
            _ => Ok(()),
        }
    }

    /// Checks a schema against history if it is new, against readers, and against replayed records.
    fn check_proposal(
        &self,
        name: &str,
        publisher: &Publisher,
        version: u32,
        is_new: bool,
        schema: &Schema,
        replayed: bool,
    ) -> ViolationSet {
        let mut violations = ViolationSet::default();
        if is_new {
            violations.add(&publisher.symbol_history.check(&schema.model), &["history"]);
        }
        self.check_readers(name, publisher, version, schema, &mut violations);
        if replayed {
            let usage = ReaderUsage::all().tolerant();
            for (&old, writer) in publisher.versions.iter().filter(|(&old, _)| old < version) {
                let findings = reader_findings(&writer.schema, schema, &usage, Direction::OldToNew);
                let readers = format!("readers of version {version} reading records of version {old}");
                violations.add(&findings, &[&readers]);
            }
        }
        violations
    }

    /// Checks a schema against every subscriber, grouped by version and usage.
    fn check_readers(
        &self,
        name: &str,
        publisher: &Publisher,
        version: u32,
        schema: &Schema,
        violations: &mut ViolationSet,
    ) {
        let mut groups: BTreeMap<(u32, &ReaderUsage), Vec<&str>> = BTreeMap::new();
        for (subscriber, subscription) in self.readers(name) {
            groups.entry((subscription.version, &subscription.usage)).or_default().push(subscriber);
        }
        for ((read_version, usage), subscribers) in groups {
            let Some(reader) = publisher.versions.get(&read_version).filter(|_| read_version != version)
            else {
                continue;
            };
            let findings = reader_findings(schema, &reader.schema, usage, direction(version, read_version));
            violations.add(&findings, &subscribers);
        }
    }
}

/// The publisher's symbol history with the schema's numbers and names added.
fn extended_history(publisher: &Publisher, schema: &Schema) -> Result<SymbolHistory, CommandRejection> {
    let mut symbol_history = publisher.symbol_history.clone();
    symbol_history.record(&schema.model);
    if symbol_history.size() > MAX_HISTORY_SYMBOLS {
        return Err(limit_reached("numbers and names of a publisher", MAX_HISTORY_SYMBOLS));
    }
    Ok(symbol_history)
}
