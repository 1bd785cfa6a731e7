//! Sample records, generated from a seed within the declared ranges of a schema and mostly near the ends of
//! the ranges.

use crate::limits::{MAX_SAMPLE_DEPTH, MAX_SAMPLE_TEXT_BYTES};
use crate::model::{Field, FieldCardinality, Model, MAP_KEY_NUMBER, MAP_VALUE_NUMBER};
use crate::schema::Schema;
use prost_reflect::{DynamicMessage, FieldDescriptor, Kind, MessageDescriptor, Value};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};

/// A record of the message `name`; the same seed gives the same record. `None` if the schema has no such
/// message. Messages are nested up to [`MAX_SAMPLE_DEPTH`] levels; deeper messages stay absent, even where a
/// reader needs them.
#[must_use]
pub fn sample(schema: &Schema, name: &str, seed: u64) -> Option<DynamicMessage> {
    let descriptor = schema.message(name)?;
    let message_index = schema.model.message_named(name)?;
    let mut generator = RecordGenerator { model: &schema.model, random: ChaCha8Rng::seed_from_u64(seed) };
    Some(generator.message(&descriptor, message_index, MAX_SAMPLE_DEPTH))
}

struct RecordGenerator<'a> {
    model: &'a Model,
    random: ChaCha8Rng,
}

impl RecordGenerator<'_> {
    fn message(
        &mut self,
        descriptor: &MessageDescriptor,
        message_index: usize,
        depth: usize,
    ) -> DynamicMessage {
        let mut record = DynamicMessage::new(descriptor.clone());
        let mut set_oneofs: BTreeSet<usize> = BTreeSet::new();
        for field in self.model.messages[message_index].fields.values() {
            let Some(to) = descriptor.get_field(field.number) else { continue };
            let present = field.required || self.random.gen_bool(0.8);
            let too_deep = depth == 0 && field.kind.message_index().is_some();
            if !present || too_deep || field.oneof.is_some_and(|oneof| !set_oneofs.insert(oneof)) {
                continue;
            }
            let count = self.between(field.min_length.unwrap_or(0), field.max_length.unwrap_or(3), 3);
            let value = match field.cardinality {
                FieldCardinality::Singular => self.value(&to, field, depth),
                FieldCardinality::Repeated => {
                    Some(Value::List((0..count).filter_map(|_| self.value(&to, field, depth)).collect()))
                }
                FieldCardinality::Map => self.map(&to, field, count, depth),
            };
            if let Some(value) = value {
                // A value that does not fit its field would be a defect of this generator; the field stays
                // absent.
                let _ = record.try_set_field(&to, value);
            }
        }
        record
    }

    fn map(&mut self, to: &FieldDescriptor, field: &Field, count: u64, depth: usize) -> Option<Value> {
        let Kind::Message(entry) = to.kind() else { return None };
        let fields = &self.model.messages[field.kind.message_index()?].fields;
        let key_field = fields.get(&MAP_KEY_NUMBER)?;
        let value_field = fields.get(&MAP_VALUE_NUMBER)?;
        let mut map = HashMap::new();
        for _ in 0..count {
            let key = self.value(&entry.map_entry_key_field(), key_field, depth)?.into_map_key()?;
            let value = self.value(&entry.map_entry_value_field(), value_field, depth)?;
            map.insert(key, value);
        }
        Some(Value::Map(map))
    }

    fn value(&mut self, to: &FieldDescriptor, field: &Field, depth: usize) -> Option<Value> {
        if let Some((low, high)) = field.integer_range() {
            if let Kind::Enum(descriptor) = to.kind() {
                let values: Vec<i32> = descriptor.values().map(|value| value.number()).collect();
                return Some(Value::EnumNumber(values[self.random.gen_range(0..values.len())]));
            }
            let number = self.integer(low, high);
            return crate::convert::convert(&Value::I64(number as i64), &to.kind())
                .or_else(|_| crate::convert::convert(&Value::U64(number as u64), &to.kind()))
                .ok();
        }
        Some(match to.kind() {
            Kind::Float => Value::F32(self.float(field) as f32),
            Kind::Double => Value::F64(self.float(field)),
            Kind::String => {
                let length = self.length(field);
                Value::String((0..length).map(|_| char::from(self.random.gen_range(b' '..=b'~'))).collect())
            }
            Kind::Bytes => {
                let mut bytes = vec![0; usize::try_from(self.length(field)).ok()?];
                self.random.fill_bytes(&mut bytes);
                Value::Bytes(bytes.into())
            }
            Kind::Message(nested) => {
                Value::Message(self.message(&nested, field.kind.message_index()?, depth.checked_sub(1)?))
            }
            _ => return None,
        })
    }

    fn length(&mut self, field: &Field) -> u64 {
        // The declared lengths of a repeated field apply to its list, not to its elements.
        let is_singular = field.cardinality == FieldCardinality::Singular;
        let low = field.min_length.filter(|_| is_singular).unwrap_or(0);
        self.between(
            low,
            field.max_length.filter(|_| is_singular).unwrap_or(MAX_SAMPLE_TEXT_BYTES),
            MAX_SAMPLE_TEXT_BYTES,
        )
    }

    /// A random number from `low` to `high`, but at most `low + span`.
    fn between(&mut self, low: u64, high: u64, span: u64) -> u64 {
        let high = high.min(low.saturating_add(span)).max(low);
        self.random.gen_range(low..=high)
    }

    fn integer(&mut self, low: i128, high: i128) -> i128 {
        let high = high.max(low);
        match self.random.gen_range(0..5) {
            0 => low,
            1 => high,
            2 => 0i128.clamp(low, high),
            3 => self.random.gen_range(-9i128..=9).clamp(low, high),
            _ => self.random.gen_range(low..=high),
        }
    }

    fn float(&mut self, field: &Field) -> f64 {
        let low = field.min.map_or(-1.0e30, |min| min as f64);
        let high = field.max.map_or(1.0e30, |max| max as f64).max(low);
        match self.random.gen_range(0..4) {
            0 => low,
            1 => high,
            2 => 0f64.clamp(low, high),
            _ => self.random.gen_range(low..=high),
        }
    }
}
