//! The model that the rules evaluate: descriptors and options in one flat form, within the limits.

mod builder;

use crate::field_type::{FieldEncoding, FieldType, ValueDomain};
use crate::schema_options::UnknownValuePolicy;
use std::collections::{BTreeMap, BTreeSet};

/// Number of the key in a map's entry message.
pub(crate) const MAP_KEY_NUMBER: u32 = 1;
/// Number of the value in a map's entry message.
pub(crate) const MAP_VALUE_NUMBER: u32 = 2;

/// How many values a field holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum FieldCardinality {
    Singular,
    Repeated,
    Map,
}

impl FieldCardinality {
    pub(crate) fn name(self) -> &'static str {
        match self {
            FieldCardinality::Singular => "singular",
            FieldCardinality::Repeated => "repeated",
            FieldCardinality::Map => "map",
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Field {
    pub(crate) number: u32,
    pub(crate) name: String,
    pub(crate) kind: FieldType,
    pub(crate) cardinality: FieldCardinality,
    /// Whether the field has explicit presence: an absent field differs from one that is set to the default.
    pub(crate) explicit: bool,
    pub(crate) required: bool,
    pub(crate) packed: bool,
    /// Index into the message's real oneofs.
    pub(crate) oneof: Option<usize>,
    /// Canonical text of the default value.
    pub(crate) default: String,
    pub(crate) meaning: u32,
    pub(crate) min: Option<i64>,
    pub(crate) max: Option<i64>,
    pub(crate) min_length: Option<u64>,
    pub(crate) max_length: Option<u64>,
    pub(crate) needed: bool,
    pub(crate) former_names: Vec<String>,
    pub(crate) former_numbers: Vec<u32>,
    pub(crate) old_reads_as: Option<String>,
}

impl Field {
    /// Whether `name` is this field's name or a declared former one.
    pub(crate) fn has_or_had_name(&self, name: &str) -> bool {
        self.name == name || self.former_names.iter().any(|former| former == name)
    }

    /// The field's encoding on the wire.
    pub(crate) fn encoding(&self) -> FieldEncoding {
        FieldEncoding {
            field_type: self.kind,
            is_repeated: self.cardinality != FieldCardinality::Singular,
            is_packed: self.packed,
        }
    }

    /// The lowest and highest integer that a writer of this field writes; `None` if the field does not hold
    /// integers.
    pub(crate) fn integer_range(&self) -> Option<(i128, i128)> {
        match self.kind.domain() {
            ValueDomain::Integer(low, high) => Some((
                self.min.map_or(low, |min| i128::from(min).max(low)),
                self.max.map_or(high, |max| i128::from(max).min(high)),
            )),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Oneof {
    pub(crate) name: String,
    pub(crate) unknown: UnknownValuePolicy,
}

#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) name: String,
    /// Fields by number.
    pub(crate) fields: BTreeMap<u32, Field>,
    pub(crate) oneofs: Vec<Oneof>,
    /// Reserved ranges: first and last number, both included.
    pub(crate) reserved: Vec<(u32, u32)>,
    pub(crate) reserved_names: BTreeSet<String>,
    pub(crate) meaning: u32,
    pub(crate) former_names: Vec<String>,
    /// Names of fields of earlier versions, with the text of the value that replaces each.
    pub(crate) removed: BTreeMap<String, String>,
    /// Whether the schema's options mark the message as a published record.
    record: bool,
    /// Whether the publisher declares the message: it is neither bundled with protobuf nor a map entry.
    own: bool,
}

impl Message {
    pub(crate) fn field_named(&self, name: &str) -> Option<&Field> {
        self.fields.values().find(|field| field.name == name)
    }

    pub(crate) fn field_named_mut(&mut self, name: &str) -> Option<&mut Field> {
        self.fields.values_mut().find(|field| field.name == name)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct EnumValue {
    pub(crate) name: String,
    pub(crate) number: i32,
    pub(crate) meaning: u32,
    pub(crate) former_names: Vec<String>,
    pub(crate) reads_as: Option<String>,
}

#[derive(Clone, Debug)]
pub(crate) struct Enum {
    pub(crate) name: String,
    pub(crate) values: Vec<EnumValue>,
    /// Reserved ranges: first and last number, both included.
    pub(crate) reserved: Vec<(i32, i32)>,
    pub(crate) reserved_names: BTreeSet<String>,
    /// Whether a reader treats unknown numbers as absent (proto2).
    pub(crate) closed: bool,
    pub(crate) unknown: UnknownValuePolicy,
    pub(crate) removed: BTreeMap<String, String>,
}

impl Enum {
    pub(crate) fn value_named(&self, name: &str) -> Option<&EnumValue> {
        self.values.iter().find(|value| value.name == name)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) messages: Vec<Message>,
    pub(crate) enums: Vec<Enum>,
    /// Indexes of messages by full name.
    pub(crate) by_name: BTreeMap<String, usize>,
    /// Indexes of the messages that are published as records, not only as parts of other messages.
    pub(crate) roots: Vec<usize>,
}

impl Model {
    pub(crate) fn message_named(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The messages marked as records. If none is marked: the messages that no other message refers to, or
    /// all messages if each of them is referred to.
    fn find_roots(&self) -> Vec<usize> {
        let own = || (0..self.messages.len()).filter(|&index| self.messages[index].own);
        let marked: Vec<usize> = own().filter(|&index| self.messages[index].record).collect();
        if !marked.is_empty() {
            return marked;
        }
        let referenced: BTreeSet<usize> = (0..self.messages.len())
            .flat_map(|holder| self.messages[holder].fields.values().map(move |field| (holder, field.kind)))
            .filter_map(|(holder, kind)| match kind {
                FieldType::Message(index) | FieldType::Group(index) if index != holder => Some(index),
                _ => None,
            })
            .collect();
        let unreferenced: Vec<usize> = own().filter(|index| !referenced.contains(index)).collect();
        if unreferenced.is_empty() {
            own().collect()
        } else {
            unreferenced
        }
    }
}
