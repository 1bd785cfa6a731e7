//! A cache of analysed statements: each normal form is analysed once and then found by its fingerprint.

use crate::cache::{Bounds, Cache, Counters};
use crate::facts::{read_statement, StatementFacts};
use crate::normal::{Fingerprint, Normaliser};
use serde::Serialize;
use std::rc::Rc;

/// Maximum length of a stored normal form, in bytes. Longer normal forms are truncated, since they are only
/// displayed.
const MAX_STORED_TEXT_BYTES: usize = 1_024;
/// Approximate size of an entry in slots, queues, ghosts and vectors without its strings, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;
/// Approximate size of a name without its characters, in bytes.
const NAME_OVERHEAD_BYTES: usize = 32;

/// An analysed statement: its fingerprint, its normal form and its facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FingerprintedStatement {
    /// XXH3-64 of the normal form, written as 16 hexadecimal digits.
    #[serde(serialize_with = "hex")]
    pub fingerprint: Fingerprint,
    /// Normal form, truncated to at most 1,024 bytes.
    pub text: String,
    /// Facts of the statement. Data sets and tables are part of the normal form, so all statements with one
    /// fingerprint share them.
    pub facts: StatementFacts,
}

fn hex<S: serde::Serializer>(fingerprint: &Fingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(fingerprint)
}

impl FingerprintedStatement {
    /// Approximate size in the cache, in bytes.
    fn bytes(&self) -> usize {
        let facts = &self.facts;
        let names = facts.reads.iter().chain(&facts.writes).chain(&facts.calls);
        let name_bytes: usize = names.map(|name| name.len() + NAME_OVERHEAD_BYTES).sum();
        let data_set_bytes = size_of::<u64>() * facts.data_sets.len();
        ENTRY_OVERHEAD_BYTES + self.text.len() + name_bytes + data_set_bytes
    }
}

/// A bounded cache of analysed statements.
#[derive(Debug)]
pub struct StatementCache {
    normaliser: Normaliser,
    cache: Cache<Fingerprint, Rc<FingerprintedStatement>>,
}

impl StatementCache {
    /// An empty cache with these bounds.
    pub fn new(bounds: Bounds) -> StatementCache {
        StatementCache { normaliser: Normaliser::default(), cache: Cache::new(bounds) }
    }

    /// The fingerprint and facts of a statement. If they are cached, the call takes only one pass over the
    /// bytes of the statement; otherwise the statement is analysed.
    pub fn get_or_read(&mut self, statement: &str) -> Rc<FingerprintedStatement> {
        let fingerprint = self.normaliser.fingerprint(statement);
        let is_complete = self.normaliser.is_complete();
        if let Some(entry) = self.cache.get(fingerprint) {
            return Rc::clone(entry);
        }
        let mut text = self.normaliser.text();
        if text.len() > MAX_STORED_TEXT_BYTES {
            let end = (0..=MAX_STORED_TEXT_BYTES).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
            text = &text[..end];
        }
        let entry = Rc::new(FingerprintedStatement {
            fingerprint,
            text: text.to_owned(),
            facts: read_statement(statement),
        });
        // A statement that is too long shares its fingerprint with others that have the same beginning, so it
        // is not stored.
        if is_complete {
            self.cache.put(fingerprint, Rc::clone(&entry), entry.bytes());
        }
        entry
    }

    /// Counters of the cache since its creation, and its current size.
    pub fn counters(&self) -> Counters {
        self.cache.counters()
    }
}
