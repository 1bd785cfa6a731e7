//! The translations that a publisher's subscribers need, derived from the state.

use super::{Registry, Subscription};
use crate::rules::Direction;
use crate::translate::Translation;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Registry {
    pub(crate) fn readers<'a>(
        &'a self,
        publisher: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Subscription)> {
        let all = self.subscriptions.range((publisher.to_string(), String::new())..);
        all.take_while(move |((name, _), _)| name == publisher).map(|((_, who), held)| (who.as_str(), held))
    }

    /// Updates the translations of one publisher to those that its subscribers need.
    pub(crate) fn refresh_translations(&mut self, name: &str) {
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

    pub(super) fn translated_from(&self, name: &str, version: u32) -> Vec<u32> {
        let from = |((publisher, from, to), one): (&(String, u32, u32), &Option<_>)| {
            (publisher == name && *from == version && one.is_some()).then_some(*to)
        };
        self.translations.iter().filter_map(from).collect()
    }
}

/// The direction between a writer's and a reader's version: which of them is newer.
pub(crate) fn direction(writer: u32, reader: u32) -> Direction {
    if writer >= reader {
        Direction::Down
    } else {
        Direction::Up
    }
}
