//! Translates records of one schema version into another.
//!
//! Guarantees, which the tests check: (1) a field that neither a rule nor a declaration touches is unchanged,
//! at every depth; (2) data that the reader's version does not know is kept as unknown fields, so that
//! translating back restores it; (3) a value is converted exactly or the translation fails; it is never
//! rounded or truncated; (4) dropped fields, mapped enum values and filled-in defaults are not restored by
//! translating back.

use crate::comparison::compare;
use crate::comparison::conversion::{FieldConversion, FieldStep, ValueConversion};
use crate::comparison::difference::SchemaComparison;
use crate::convert::{convert, convert_key, parse};
use crate::rules::Direction;
use crate::schema::Schema;
use prost::Message as _;
use prost_reflect::{
    DynamicMessage, FieldDescriptor, Kind, MapKey, MessageDescriptor, ReflectMessage, Value,
};
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// Why a record could not be translated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {detail}")]
pub struct TranslateError {
    /// Path of the reader's field.
    pub path: String,
    /// Cause of the failure.
    pub detail: String,
}

/// Translates records of a writer's version into a reader's version. A translation is the same for all
/// readers of that version, regardless of the fields that they use: fields that cannot be converted are left
/// out, and readers that use such fields were rejected.
#[derive(Clone, Debug)]
pub struct Translation {
    /// The reader's descriptor and the index in `steps_by_pair`, by the writer's message name.
    roots: BTreeMap<String, (MessageDescriptor, usize)>,
    /// Steps by index of the pair of messages.
    steps_by_pair: Vec<Vec<FieldStep>>,
    /// Whether a pair of messages has steps that change records, or a message has another name.
    changes: bool,
}

impl Translation {
    /// The translation from `writer` to `reader`; `direction` says which of the two versions is newer.
    #[must_use]
    pub fn between(writer: &Schema, reader: &Schema, direction: Direction) -> Self {
        Self::from_comparison(&compare(&writer.model, &reader.model, direction), reader)
    }

    pub(crate) fn from_comparison(comparison: &SchemaComparison, reader: &Schema) -> Self {
        let mut steps_by_pair: Vec<Vec<FieldStep>> =
            comparison.message_comparisons.iter().map(|message| message.steps.clone()).collect();
        // A field whose message needs no translation at any depth needs no step. Repeats until nothing
        // changes, because types may be recursive.
        let mut has_work: Vec<bool> =
            steps_by_pair.iter().map(|steps| steps.iter().any(|step| child_pair(step).is_none())).collect();
        loop {
            let next: Vec<bool> = (0..steps_by_pair.len())
                .map(|index| {
                    has_work[index]
                        || steps_by_pair[index]
                            .iter()
                            .any(|step| child_pair(step).is_some_and(|child| has_work[child]))
                })
                .collect();
            if next == has_work {
                break;
            }
            has_work = next;
        }
        for steps in &mut steps_by_pair {
            steps.retain(|step| child_pair(step).is_none_or(|child| has_work[child]));
        }
        let mut roots = BTreeMap::new();
        let mut changes = false;
        for root in &comparison.roots {
            let (Some(written), Some(pair), Some(descriptor)) =
                (&root.writer, root.pair, reader.message(&root.reader))
            else {
                continue;
            };
            changes |= has_work[pair] || *written != root.reader;
            roots.insert(written.clone(), (descriptor, pair));
        }
        Self { roots, steps_by_pair, changes }
    }

    /// Whether the translation may change any record's bytes or message name.
    #[must_use]
    pub fn changes(&self) -> bool {
        self.changes
    }

    /// The record in the reader's version; `None` if that version does not have the record's message.
    ///
    /// # Errors
    /// A value cannot be represented in the reader's type, or the record's descriptors are not the writer's.
    pub fn run(&self, record: &DynamicMessage) -> Result<Option<DynamicMessage>, TranslateError> {
        let Some((descriptor, pair)) = self.roots.get(record.descriptor().full_name()) else {
            return Ok(None);
        };
        self.message(*pair, record.clone(), descriptor).map(Some)
    }

    fn message(
        &self,
        pair: usize,
        mut from: DynamicMessage,
        to: &MessageDescriptor,
    ) -> Result<DynamicMessage, TranslateError> {
        let translate_error = |field: &str, detail: String| TranslateError {
            path: format!("{}/{field}", to.full_name()),
            detail,
        };
        let mut converted_fields: Vec<(FieldDescriptor, Value)> = Vec::new();
        for step in &self.steps_by_pair[pair] {
            let field =
                to.get_field(step.to).ok_or_else(|| translate_error("", format!("no field {}", step.to)))?;
            let not_representable =
                || translate_error(field.name(), "no such value in the reader's type".into());
            if let FieldConversion::Default(text) = &step.conversion {
                converted_fields
                    .push((field.clone(), parse(text, &field.kind()).map_err(|_| not_representable())?));
                continue;
            }
            let Some(written) = step.from.and_then(|number| from.descriptor().get_field(number)) else {
                continue;
            };
            if step.conversion == FieldConversion::Drop {
                from.clear_field(&written);
                continue;
            }
            let value = if from.has_field(&written) {
                from.take_field(&written)
            } else {
                (step.fill && can_fill(&from, &written)).then(|| written.default_value())
            };
            let Some(value) = value else { continue };
            let value = self.field_value(&step.conversion, value, &field.kind())?;
            let value = value.ok_or_else(not_representable)?;
            converted_fields.push((field, value));
        }
        // The remaining fields are copied as bytes: fields that the reader has are decoded, all others are
        // kept as unknown fields.
        let mut out = DynamicMessage::decode(to.clone(), from.encode_to_vec().as_slice())
            .map_err(|error| translate_error("", error.to_string()))?;
        for (field, value) in converted_fields {
            let name = field.name().to_string();
            out.try_set_field(&field, value).map_err(|error| translate_error(&name, error.to_string()))?;
        }
        Ok(out)
    }

    /// The value of a complete field in the reader's type; `None` if that type cannot represent it.
    fn field_value(
        &self,
        conversion: &FieldConversion,
        value: Value,
        kind: &Kind,
    ) -> Result<Option<Value>, TranslateError> {
        match (conversion, value) {
            (FieldConversion::Wrap(conversion), value) => {
                Ok(self.value(conversion, value, kind)?.map(|one| Value::List(vec![one])))
            }
            (FieldConversion::Value(conversion), Value::List(list)) => {
                let values = list.into_iter().map(|one| self.value(conversion, one, kind));
                Ok(values.collect::<Result<Option<Vec<_>>, _>>()?.map(Value::List))
            }
            (FieldConversion::Value(conversion), one) => self.value(conversion, one, kind),
            (FieldConversion::Map(_, conversion), Value::Map(map)) => self.map_value(conversion, map, kind),
            (FieldConversion::Map(..), _) => Ok(None),
            (_, value @ (Value::List(_) | Value::Map(_))) => Ok(Some(value)),
            (_, one) => self.value(&ValueConversion::Keep, one, kind),
        }
    }

    /// A map whose keys and values have the reader's types; `None` if these types cannot represent some key
    /// or value.
    fn map_value(
        &self,
        conversion: &ValueConversion,
        map: HashMap<MapKey, Value>,
        kind: &Kind,
    ) -> Result<Option<Value>, TranslateError> {
        let Kind::Message(entry) = kind else { return Ok(None) };
        let key_kind = entry.map_entry_key_field().kind();
        let value_kind = entry.map_entry_value_field().kind();
        let mut converted = HashMap::with_capacity(map.len());
        for (key, one) in map {
            let Ok(key) = convert_key(key, &key_kind) else { return Ok(None) };
            let Some(value) = self.value(conversion, one, &value_kind)? else { return Ok(None) };
            converted.insert(key, value);
        }
        Ok(Some(Value::Map(converted)))
    }

    /// A single value in the reader's type; `None` if that type cannot represent it.
    fn value(
        &self,
        conversion: &ValueConversion,
        value: Value,
        kind: &Kind,
    ) -> Result<Option<Value>, TranslateError> {
        Ok(match (conversion, value) {
            (ValueConversion::Keep, Value::Message(message)) => Some(Value::Message(message)),
            // Types of the same wire class may differ in their width in memory.
            (ValueConversion::Keep | ValueConversion::Convert, value) => convert(&value, kind).ok(),
            (ValueConversion::Enum(map), Value::EnumNumber(number)) => {
                let known = map.iter().find(|(from, _)| *from == number).map_or(number, |(_, to)| *to);
                Some(Value::EnumNumber(known))
            }
            (ValueConversion::Child(pair), Value::Message(message)) => match kind {
                Kind::Message(to) => Some(Value::Message(self.message(*pair, message, to)?)),
                _ => None,
            },
            _ => None,
        })
    }
}

/// Whether an absent field may be filled in: no member of its oneof is set.
fn can_fill(from: &DynamicMessage, field: &FieldDescriptor) -> bool {
    match field.containing_oneof() {
        Some(oneof) if !oneof.is_synthetic() => !oneof.fields().any(|member| from.has_field(&member)),
        _ => true,
    }
}

/// The index of the pair of messages that the field holds, if the step only translates that message.
fn child_pair(step: &FieldStep) -> Option<usize> {
    match &step.conversion {
        FieldConversion::Value(ValueConversion::Child(index))
        | FieldConversion::Map(ValueConversion::Keep, ValueConversion::Child(index))
            if !step.fill && step.from == Some(step.to) =>
        {
            Some(*index)
        }
        _ => None,
    }
}
