//! The input of the rules: descriptors and options in one flat form, within bounds.

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
    /// Explicit presence: an absent field differs from one that is set to the default.
    pub(crate) explicit: bool,
    pub(crate) required: bool,
    pub(crate) packed: bool,
    /// Index into the message's real oneofs.
    pub(crate) oneof: Option<usize>,
    /// The default in canonical text.
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
    /// Whether this field, by its name or a declared former one, is what an older version calls `name`.
    pub(crate) fn was(&self, name: &str) -> bool {
        self.name == name || self.former_names.iter().any(|former| former == name)
    }

    /// How it is encoded.
    pub(crate) fn encoding(&self) -> FieldEncoding {
        FieldEncoding {
            field_type: self.kind,
            is_repeated: self.cardinality != FieldCardinality::Singular,
            is_packed: self.packed,
        }
    }

    /// The lowest and highest integer that a writer of this field writes; `None` if it does not hold integers.
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
    /// By number.
    pub(crate) fields: BTreeMap<u32, Field>,
    pub(crate) oneofs: Vec<Oneof>,
    /// First and last number, both included.
    pub(crate) reserved: Vec<(u32, u32)>,
    pub(crate) reserved_names: BTreeSet<String>,
    pub(crate) meaning: u32,
    pub(crate) former_names: Vec<String>,
    /// Fields of earlier versions, and the text of the value that replaces them.
    pub(crate) removed: BTreeMap<String, String>,
    record: bool,
    /// Declared by the publisher: neither bundled with protobuf nor a map entry.
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
    /// First and last number, both included.
    pub(crate) reserved: Vec<(i32, i32)>,
    pub(crate) reserved_names: BTreeSet<String>,
    /// A reader treats numbers that it does not know as absent (proto2).
    pub(crate) closed: bool,
    pub(crate) unknown: UnknownValuePolicy,
    pub(crate) removed: BTreeMap<String, String>,
}

impl Enum {
    pub(crate) fn named(&self, name: &str) -> Option<&EnumValue> {
        self.values.iter().find(|value| value.name == name)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) messages: Vec<Message>,
    pub(crate) enums: Vec<Enum>,
    pub(crate) by_name: BTreeMap<String, usize>,
    /// Messages that are published themselves, not only as parts of others.
    pub(crate) roots: Vec<usize>,
}

impl Model {
    pub(crate) fn message_named(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Marked messages; without marks those that no other message refers to; where all are referred to, all.
    fn find_roots(&self) -> Vec<usize> {
        let own = || (0..self.messages.len()).filter(|&at| self.messages[at].own);
        let marked: Vec<usize> = own().filter(|&at| self.messages[at].record).collect();
        if !marked.is_empty() {
            return marked;
        }
        let referenced: BTreeSet<usize> = (0..self.messages.len())
            .flat_map(|holder| self.messages[holder].fields.values().map(move |field| (holder, field.kind)))
            .filter_map(|(holder, kind)| match kind {
                FieldType::Message(at) | FieldType::Group(at) if at != holder => Some(at),
                _ => None,
            })
            .collect();
        let unreferenced: Vec<usize> = own().filter(|at| !referenced.contains(at)).collect();
        if unreferenced.is_empty() {
            own().collect()
        } else {
            unreferenced
        }
    }
}
