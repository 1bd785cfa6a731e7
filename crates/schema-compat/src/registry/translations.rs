//! The translations that a publisher's subscribers need, derived from the state.

use super::{Registry, Subscription};
use crate::rules::Direction;
use crate::translate::Translation;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Registry {
    /// The subscribers of a publisher, with their subscriptions.
    pub(crate) fn readers<'a>(
        &'a self,
        publisher: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Subscription)> {
        let subscriptions = self.subscriptions.range((publisher.to_string(), String::new())..);
        let publisher_subscriptions = subscriptions.take_while(move |((name, _), _)| name == publisher);
        publisher_subscriptions.map(|((_, subscriber), subscription)| (subscriber.as_str(), subscription))
    }

    /// Updates the translations of one publisher to those that its subscribers need; existing translations
    /// are reused.
    pub(crate) fn refresh_translations(&mut self, name: &str) {
        let Some(publisher) = self.publishers.get(name) else { return };
        let read_versions: BTreeSet<u32> =
            self.readers(name).map(|(_, subscription)| subscription.version).collect();
        let mut wanted = BTreeSet::new();
        for (from, _) in publisher.written_versions() {
            wanted.extend(read_versions.iter().filter(|&&to| to != from).map(|&to| (from, to)));
        }
        let mut existing: BTreeMap<(u32, u32), Option<Arc<Translation>>> = BTreeMap::new();
        let from_publisher = self.translations.range((name.to_string(), 0, 0)..).map(|(key, _)| key.clone());
        let existing_keys: Vec<(String, u32, u32)> =
            from_publisher.take_while(|(publisher, _, _)| publisher == name).collect();
        for key in existing_keys {
            if let Some(translation) = self.translations.remove(&key) {
                let (_, from, to) = key;
                existing.insert((from, to), translation);
            }
        }
        for (from, to) in wanted {
            let translation = existing.remove(&(from, to)).unwrap_or_else(|| {
                let writer = publisher.versions.get(&from)?;
                let reader = publisher.versions.get(&to)?;
                let translation = Translation::between(&writer.schema, &reader.schema, direction(from, to));
                translation.changes().then(|| Arc::new(translation))
            });
            self.translations.insert((name.to_string(), from, to), translation);
        }
    }

    /// The versions whose readers receive translated records of `version`.
    pub(super) fn translated_from(&self, name: &str, version: u32) -> Vec<u32> {
        let reader_version = |((publisher, from, to), translation): (&(String, u32, u32), &Option<_>)| {
            (publisher == name && *from == version && translation.is_some()).then_some(*to)
        };
        self.translations.iter().filter_map(reader_version).collect()
    }
}

/// The direction between a writer's and a reader's version: which of them is newer.
pub(crate) fn direction(writer: u32, reader: u32) -> Direction {
    if writer >= reader {
        Direction::NewToOld
    } else {
        Direction::OldToNew
    }
}
