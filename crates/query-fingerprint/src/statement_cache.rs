//! Fingerprinted statements: each form is read once and then found by its fingerprint.

use crate::cache::{Bounds, Cache, Counters};
use crate::facts::{read, StatementFacts};
use crate::normal::{Fingerprint, Normaliser};
use serde::Serialize;
use std::rc::Rc;

/// Bytes of a normal form that are kept, to be shown: longer ones are cut.
const MAX_STORED_TEXT_BYTES: usize = 1_024;
/// What an entry costs besides its texts, about: slots, queues, ghosts, vectors.
const OVERHEAD: usize = 512;

/// A statement read once: its fingerprint, its normal form and its facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FingerprintedStatement {
    /// XXH3-64 of the normal form, written as 16 hexadecimal digits.
    #[serde(serialize_with = "hex")]
    pub fingerprint: Fingerprint,
    /// Its normal form, as far as it is kept.
    pub text: String,
    /// What is known of it. Data sets and tables are part of the normal form, so they are the same for all.
    pub facts: StatementFacts,
}

fn hex<S: serde::Serializer>(f: &Fingerprint, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(f)
}

impl FingerprintedStatement {
    fn bytes(&self) -> usize {
        let f = &self.facts;
        let names = f.reads.iter().chain(&f.writes).chain(&f.calls).map(|n| n.len() + 32).sum::<usize>();
        OVERHEAD + self.text.len() + names + 8 * f.data_sets.len()
    }
}

/// Fingerprinted statements, bounded, by fingerprint.
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

    /// The fingerprint and facts of a statement. One that was seen costs a pass over its bytes; a new one is read.
    pub fn get_or_read(&mut self, statement: &str) -> Rc<FingerprintedStatement> {
        let fingerprint = self.normaliser.fingerprint(statement);
        let whole = self.normaliser.whole();
        if let Some(entry) = self.cache.get(fingerprint) {
            return Rc::clone(entry);
        }
        let mut text = self.normaliser.text();
        if text.len() > MAX_STORED_TEXT_BYTES {
            let end = (0..=MAX_STORED_TEXT_BYTES).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
            text = &text[..end];
        }
        let entry =
            Rc::new(FingerprintedStatement { fingerprint, text: text.to_owned(), facts: read(statement) });
        // What was not taken whole shares its fingerprint with others that begin alike: it is not kept.
        if whole {
            self.cache.put(fingerprint, Rc::clone(&entry), entry.bytes());
        }
        entry
    }

    /// What the cache has done.
    pub fn counters(&self) -> Counters {
        self.cache.counters()
    }
}
