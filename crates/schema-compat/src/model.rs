//! What the rules look at: descriptors and options in one flat form, within bounds.

use crate::convert::canonical;
use crate::error::{check_limit, SchemaError};
use crate::field_type::{FieldType, ValueDomain};
use crate::limits::{MAX_ENUMS, MAX_ENUM_VALUES, MAX_FIELDS, MAX_MESSAGES, MAX_NAME_BYTES, MAX_NESTING};
use crate::schema_options::{OptionExtensions, OptionValues, UnknownValuePolicy};
use prost_reflect::{Cardinality, DescriptorPool, EnumDescriptor, FieldDescriptor, MessageDescriptor};
use std::collections::{BTreeMap, BTreeSet};

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
    /// Absent and default are told apart.
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
    /// Whether this field is, by its own word, what an older version calls `name`.
    pub(crate) fn was(&self, name: &str) -> bool {
        self.name == name || self.former_names.iter().any(|former| former == name)
    }

    /// Whole numbers that a writer of this field writes.
    pub(crate) fn whole(&self) -> Option<(i128, i128)> {
        match self.kind.domain() {
            ValueDomain::Whole(least, most) => Some((
                self.min.map_or(least, |min| i128::from(min).max(least)),
                self.max.map_or(most, |max| i128::from(max).min(most)),
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
    /// Fields of earlier versions and the text of what stands for them.
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
    /// A reader takes numbers that it does not know for absent (proto2).
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
    /// Messages that are published as they stand.
    pub(crate) roots: Vec<usize>,
}

impl Model {
    /// The model of the files named `own`, with what they import.
    pub(crate) fn of(pool: &DescriptorPool, own: &[String]) -> Result<Self, SchemaError> {
        let options = OptionExtensions::of(pool)?;
        let mut descriptors: Vec<MessageDescriptor> = Vec::new();
        let mut place: BTreeMap<String, usize> = BTreeMap::new();
        let is_own = |file: &str| own.iter().any(|name| name == file);
        for message in pool.all_messages() {
            if is_own(message.parent_file().name()) {
                check_limit("messages", descriptors.len() + 1, MAX_MESSAGES)?;
                reach(message, &mut descriptors, &mut place);
            }
        }
        // Types of other files that own fields hold, until there are no more.
        let mut next = 0;
        while next < descriptors.len() {
            for field in descriptors[next].clone().fields() {
                if let prost_reflect::Kind::Message(held) = field.kind() {
                    reach(held, &mut descriptors, &mut place);
                }
            }
            next += 1;
            check_limit("messages", descriptors.len(), MAX_MESSAGES)?;
        }
        let enums: Vec<EnumDescriptor> =
            pool.all_enums().filter(|one| one.full_name().len() <= MAX_NAME_BYTES).collect();
        let enum_place: BTreeMap<&str, usize> =
            enums.iter().enumerate().map(|(at, one)| (one.full_name(), at)).collect();
        let own_enums = enums.iter().filter(|one| is_own(one.parent_file().name()));
        check_limit("enums", own_enums.clone().count(), MAX_ENUMS)?;
        check_limit("enum values", own_enums.map(|one| one.values().len()).sum(), MAX_ENUM_VALUES)?;
        check_limit("fields", descriptors.iter().map(|one| one.fields().len()).sum(), MAX_FIELDS)?;
        let kinds = Kinds { messages: &place, enums: &enum_place };
        let mut messages = Vec::with_capacity(descriptors.len());
        for descriptor in &descriptors {
            check_limit("bytes in a name", descriptor.full_name().len(), MAX_NAME_BYTES)?;
            check_limit("messages within each other", depth(descriptor), MAX_NESTING)?;
            let own = is_own(descriptor.parent_file().name()) && !descriptor.is_map_entry();
            messages.push(message(descriptor, own, &options, &kinds)?);
        }
        let enums = enums.iter().map(|descriptor| enumeration(descriptor, &options)).collect();
        let mut model = Self { messages, enums, by_name: place, roots: Vec::new() };
        model.roots = model.find_roots();
        if model.roots.is_empty() {
            return Err(SchemaError::Empty);
        }
        Ok(model)
    }

    pub(crate) fn message_named(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Marked messages; without marks those that no other message holds; where all are held, all.
    fn find_roots(&self) -> Vec<usize> {
        let own = || (0..self.messages.len()).filter(|&at| self.messages[at].own);
        let marked: Vec<usize> = own().filter(|&at| self.messages[at].record).collect();
        if !marked.is_empty() {
            return marked;
        }
        let held: BTreeSet<usize> = (0..self.messages.len())
            .flat_map(|holder| self.messages[holder].fields.values().map(move |field| (holder, field.kind)))
            .filter_map(|(holder, kind)| match kind {
                FieldType::Message(at) | FieldType::Group(at) if at != holder => Some(at),
                _ => None,
            })
            .collect();
        let free: Vec<usize> = own().filter(|at| !held.contains(at)).collect();
        if free.is_empty() {
            own().collect()
        } else {
            free
        }
    }
}

fn reach(message: MessageDescriptor, all: &mut Vec<MessageDescriptor>, place: &mut BTreeMap<String, usize>) {
    if !place.contains_key(message.full_name()) {
        place.insert(message.full_name().to_string(), all.len());
        all.push(message);
    }
}

fn depth(message: &MessageDescriptor) -> usize {
    let (mut depth, mut at) = (1, message.clone());
    while let Some(parent) = at.parent_message() {
        depth += 1;
        at = parent;
    }
    depth
}

struct Kinds<'a> {
    messages: &'a BTreeMap<String, usize>,
    enums: &'a BTreeMap<&'a str, usize>,
}

impl Kinds<'_> {
    fn of(&self, field: &FieldDescriptor) -> Result<FieldType, SchemaError> {
        use prost_reflect::Kind as K;
        let unknown = || SchemaError::Descriptor(format!("type of {} is not known", field.full_name()));
        Ok(match field.kind() {
            K::Double => FieldType::Double,
            K::Float => FieldType::Float,
            K::Int32 => FieldType::Int32,
            K::Int64 => FieldType::Int64,
            K::Uint32 => FieldType::Uint32,
            K::Uint64 => FieldType::Uint64,
            K::Sint32 => FieldType::Sint32,
            K::Sint64 => FieldType::Sint64,
            K::Fixed32 => FieldType::Fixed32,
            K::Fixed64 => FieldType::Fixed64,
            K::Sfixed32 => FieldType::Sfixed32,
            K::Sfixed64 => FieldType::Sfixed64,
            K::Bool => FieldType::Bool,
            K::String => FieldType::String,
            K::Bytes => FieldType::Bytes,
            K::Enum(one) => FieldType::Enum(*self.enums.get(one.full_name()).ok_or_else(unknown)?),
            K::Message(one) => {
                let at = *self.messages.get(one.full_name()).ok_or_else(unknown)?;
                if field.is_group() {
                    FieldType::Group(at)
                } else {
                    FieldType::Message(at)
                }
            }
        })
    }
}

fn message(
    from: &MessageDescriptor,
    own: bool,
    options: &OptionExtensions,
    kinds: &Kinds,
) -> Result<Message, SchemaError> {
    let said = OptionValues::of(&from.options(), &options.message);
    let real: Vec<_> = from.oneofs().filter(|oneof| !oneof.is_synthetic()).collect();
    let mut fields = BTreeMap::new();
    for field in from.fields() {
        check_limit("bytes in a name", field.name().len(), MAX_NAME_BYTES)?;
        let told = OptionValues::of(&field.options(), &options.field);
        let oneof = field.containing_oneof().and_then(|held| real.iter().position(|one| *one == held));
        let cardinality = match field.cardinality() {
            _ if field.is_map() => FieldCardinality::Map,
            Cardinality::Repeated => FieldCardinality::Repeated,
            _ => FieldCardinality::Singular,
        };
        let scalar = cardinality == FieldCardinality::Singular
            && !matches!(field.kind(), prost_reflect::Kind::Message(_));
        let made = Field {
            number: field.number(),
            name: field.name().to_string(),
            kind: kinds.of(&field)?,
            cardinality,
            explicit: field.supports_presence(),
            required: field.is_required(),
            packed: field.is_packed(),
            oneof,
            default: if scalar { canonical(&field.default_value()) } else { String::new() },
            meaning: told.number("meaning"),
            min: told.signed("min"),
            max: told.signed("max"),
            min_length: told.length("min_length"),
            max_length: told.length("max_length"),
            needed: told.flag("needed"),
            former_names: told.texts("former_names"),
            former_numbers: told.numbers("former_numbers"),
            old_reads_as: told.text("old_reads_as"),
        };
        fields.insert(made.number, made);
    }
    Ok(Message {
        name: from.full_name().to_string(),
        fields,
        oneofs: real
            .iter()
            .map(|one| Oneof {
                name: one.name().to_string(),
                unknown: OptionValues::of(&one.options(), &options.oneof).unknown(),
            })
            .collect(),
        reserved: from
            .reserved_ranges()
            .filter(|range| range.end > range.start)
            .map(|range| (range.start, range.end - 1))
            .collect(),
        reserved_names: from.reserved_names().map(str::to_string).collect(),
        meaning: said.number("meaning"),
        former_names: said.texts("former_names"),
        removed: said.removed().into_iter().collect(),
        record: said.flag("record"),
        own,
    })
}

fn enumeration(from: &EnumDescriptor, options: &OptionExtensions) -> Enum {
    let said = OptionValues::of(&from.options(), &options.enumeration);
    Enum {
        name: from.full_name().to_string(),
        values: from
            .values()
            .map(|value| {
                let told = OptionValues::of(&value.options(), &options.value);
                EnumValue {
                    name: value.name().to_string(),
                    number: value.number(),
                    meaning: told.number("meaning"),
                    former_names: told.texts("former_names"),
                    reads_as: told.text("reads_as"),
                }
            })
            .collect(),
        reserved: from.reserved_ranges().map(|range| (*range.start(), *range.end())).collect(),
        reserved_names: from.reserved_names().map(str::to_string).collect(),
        closed: from.parent_file().syntax() == prost_reflect::Syntax::Proto2,
        unknown: said.unknown(),
        removed: said.removed().into_iter().collect(),
    }
}
