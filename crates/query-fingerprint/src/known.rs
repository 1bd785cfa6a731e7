//! Shapes as they are known: each read once, then told by its fingerprint; and what a shape forbids.

use crate::cache::{Bounds, Cache, Counters};
use crate::facts::{read, Facts};
use crate::normal::{Fingerprint, Normaliser};
use serde::Serialize;
use std::rc::Rc;

/// Bytes of a normal form that are kept, to be shown: longer ones are cut.
const MOST_SHOWN: usize = 1_024;
/// What an entry costs besides its texts, about: slots, queues, ghosts, vectors.
const OVERHEAD: usize = 512;

/// A shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shape {
    /// How it is known.
    #[serde(serialize_with = "hex")]
    pub fingerprint: Fingerprint,
    /// Its normal form, as far as it is kept.
    pub text: String,
    /// What is known of it. Data sets and tables are part of the normal form, so they are the same for all.
    pub facts: Facts,
}

fn hex<S: serde::Serializer>(f: &Fingerprint, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(f)
}

impl Shape {
    fn bytes(&self) -> usize {
        let f = &self.facts;
        let names = f.reads.iter().chain(&f.writes).chain(&f.calls).map(|n| n.len() + 32).sum::<usize>();
        OVERHEAD + self.text.len() + names + 8 * f.data_sets.len()
    }
}

/// Shapes by fingerprint.
#[derive(Debug)]
pub struct Shapes {
    normaliser: Normaliser,
    cache: Cache<Fingerprint, Rc<Shape>>,
}

impl Shapes {
    /// Nothing is known yet; so much is kept.
    pub fn new(bounds: Bounds) -> Shapes {
        Shapes { normaliser: Normaliser::default(), cache: Cache::new(bounds) }
    }

    /// The shape of a statement. One that was seen costs a pass over its bytes; a new one is read.
    pub fn shape(&mut self, statement: &str) -> Rc<Shape> {
        let fingerprint = self.normaliser.fingerprint(statement);
        let whole = self.normaliser.whole();
        if let Some(shape) = self.cache.get(fingerprint) {
            return Rc::clone(shape);
        }
        let mut text = self.normaliser.text();
        if text.len() > MOST_SHOWN {
            let end = (0..=MOST_SHOWN).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
            text = &text[..end];
        }
        let shape = Rc::new(Shape { fingerprint, text: text.to_owned(), facts: read(statement) });
        // What was not taken whole shares its fingerprint with others that begin alike: it is not kept.
        if whole {
            self.cache.put(fingerprint, Rc::clone(&shape), shape.bytes());
        }
        shape
    }

    /// What the cache has done.
    pub fn counters(&self) -> Counters {
        self.cache.counters()
    }
}

/// What a class declares of its requests' repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Declared {
    /// Safe to repeat.
    Safe,
    /// Repeats with the same key are dropped by engines.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// What is done with a statement that may write under a class declared safe to repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnMismatch {
    /// It is sent as its class says: what the platform's protocol asks for.
    #[default]
    Trust,
    /// It is sent once at most.
    Once,
    /// It is refused before it is sent.
    Refuse,
}

/// What a guard says of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// As its class says.
    AsDeclared,
    /// Once at most.
    Once,
    /// Not at all.
    Refuse,
}

/// The stricter of what a class declares and what a statement is. An unknown statement may write; under `once` and
/// `refuse` it is treated as one that does.
pub fn guard(facts: &Facts, declared: Declared, on: OnMismatch) -> Verdict {
    match (declared, facts.may_write, on) {
        (Declared::Safe, true, OnMismatch::Once) => Verdict::Once,
        // A refusal needs certainty: what merely could not be read is sent once instead.
        (Declared::Safe, true, OnMismatch::Refuse) if facts.whole => Verdict::Refuse,
        (Declared::Safe, true, OnMismatch::Refuse) => Verdict::Once,
        _ => Verdict::AsDeclared,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_statement_that_writes_under_a_safe_class_is_sent_once_or_not_at_all() {
        let facts = |sql: &str| read(sql);
        let (reads, writes) = (
            facts("SELECT a FROM x_1.t"),
            facts("WITH d AS (DELETE FROM x_1.t RETURNING a) SELECT a FROM d"),
        );
        let unknown = facts("SELECT a FROM x_1.t ((");
        use OnMismatch::{Once, Refuse, Trust};
        for (f, on, verdict) in [
            (&reads, Refuse, Verdict::AsDeclared),
            (&writes, Trust, Verdict::AsDeclared),
            (&writes, Once, Verdict::Once),
            (&writes, Refuse, Verdict::Refuse),
            (&unknown, Refuse, Verdict::Once),
            (&unknown, Trust, Verdict::AsDeclared),
        ] {
            assert_eq!(guard(f, Declared::Safe, on), verdict, "{f:?} {on:?}");
            assert_eq!(guard(f, Declared::Keyed, on), Verdict::AsDeclared);
        }
    }

    /// A client that sends a million shapes, each once, stays within the bounds and flushes nothing that is used.
    #[test]
    fn a_client_with_shapes_without_end_stays_within_the_bounds() {
        let bounds = Bounds { entries: 512, bytes: 512 * 1024 };
        let mut shapes = Shapes::new(bounds);
        let used: Vec<String> = (0..40).map(|n| format!("SELECT a{n} FROM x_{n}.t WHERE b = 1")).collect();
        for round in 0..3 {
            for sql in &used {
                assert_eq!(shapes.shape(sql).facts.data_sets.len(), 1, "{round}");
            }
        }
        let before = shapes.counters();
        for n in 0..20_000 {
            shapes.shape(&format!("SELECT c{n} FROM y_{n}.t"));
            if n % 10 == 0 {
                shapes.shape(&used[n / 10 % used.len()]);
            }
        }
        let after = shapes.counters();
        assert!(after.entries <= bounds.entries && after.bytes <= bounds.bytes);
        assert!(after.hits - before.hits >= 1_990, "{} of 2,000", after.hits - before.hits);
    }

    /// A skewed stream of 100,000 with a fifth of one-off statements: of the repeatable ones over 99% are hits, but
    /// for each one's first.
    #[test]
    fn a_skewed_stream_with_a_fifth_of_one_off_statements_hits() {
        let mut shapes = Shapes::new(Bounds { entries: 1_024, bytes: 4 << 20 });
        let (mut dice, mut repeatable, mut hits, mut seen) =
            (7_u64, 0_u32, 0_u32, std::collections::BTreeSet::new());
        for n in 0..100_000_u32 {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let unit = (dice >> 11) as f64 / (1_u64 << 53) as f64;
            if n % 5 == 0 {
                shapes.shape(&format!("SELECT once{n} FROM x_1.t"));
                continue;
            }
            // Five hundred forms, the first of them asked for most: Zipf's law, about.
            let form = (500.0_f64.powf(unit) - 1.0) as u32;
            let before = shapes.counters().hits;
            shapes.shape(&format!("SELECT a{form} FROM x_1.t WHERE b = {n}"));
            if seen.insert(form) {
                continue;
            }
            repeatable += 1;
            hits += u32::from(shapes.counters().hits > before);
        }
        let rate = f64::from(hits) / f64::from(repeatable);
        assert!(rate > 0.99, "{rate}");
    }
}
