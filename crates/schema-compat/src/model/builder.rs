//! Builds the model from descriptors and their options, within the limits.

use super::{Enum, EnumValue, Field, FieldCardinality, Message, Model, Oneof};
use crate::convert::canonical;
use crate::error::{check_limit, SchemaError};
use crate::field_type::FieldType;
use crate::limits::{MAX_ENUMS, MAX_ENUM_VALUES, MAX_FIELDS, MAX_MESSAGES, MAX_NAME_BYTES, MAX_NESTING};
use crate::schema_options::{OptionExtensions, OptionValues};
use prost_reflect::{
    Cardinality, DescriptorPool, EnumDescriptor, FieldDescriptor, MessageDescriptor, OneofDescriptor,
};
use std::collections::BTreeMap;

impl Model {
    /// The model of the files named `own` and of the imported types that their fields hold.
    ///
    /// # Errors
    /// A limit that is exceeded, a type that is not known, or no message to publish.
    pub(crate) fn of(pool: &DescriptorPool, own: &[String]) -> Result<Self, SchemaError> {
        let options = OptionExtensions::of(pool)?;
        let is_own = |file: &str| own.iter().any(|name| name == file);
        let (descriptors, place) = collect_messages(pool, &is_own)?;
        let enums: Vec<EnumDescriptor> =
            pool.all_enums().filter(|one| one.full_name().len() <= MAX_NAME_BYTES).collect();
        let enum_place: BTreeMap<&str, usize> =
            enums.iter().enumerate().map(|(at, one)| (one.full_name(), at)).collect();
        let own_enums = enums.iter().filter(|one| is_own(one.parent_file().name()));
        check_limit("enums", own_enums.clone().count(), MAX_ENUMS)?;
        check_limit("enum values", own_enums.map(|one| one.values().len()).sum(), MAX_ENUM_VALUES)?;
        check_limit("fields", descriptors.iter().map(|one| one.fields().len()).sum(), MAX_FIELDS)?;
        let types = TypeIndexes { messages: &place, enums: &enum_place };
        let mut messages = Vec::with_capacity(descriptors.len());
        for descriptor in &descriptors {
            check_limit("bytes in a name", descriptor.full_name().len(), MAX_NAME_BYTES)?;
            check_limit("messages within each other", depth(descriptor), MAX_NESTING)?;
            let own = is_own(descriptor.parent_file().name()) && !descriptor.is_map_entry();
            messages.push(message(descriptor, own, &options, &types)?);
        }
        let enums = enums.iter().map(|descriptor| enumeration(descriptor, &options)).collect();
        let mut model = Self { messages, enums, by_name: place, roots: Vec::new() };
        model.roots = model.find_roots();
        if model.roots.is_empty() {
            return Err(SchemaError::Empty);
        }
        Ok(model)
    }
}

/// The messages of own files and those of other files that their fields hold, with their indexes by full
/// name.
fn collect_messages(
    pool: &DescriptorPool,
    is_own: &dyn Fn(&str) -> bool,
) -> Result<(Vec<MessageDescriptor>, BTreeMap<String, usize>), SchemaError> {
    let mut descriptors: Vec<MessageDescriptor> = Vec::new();
    let mut place: BTreeMap<String, usize> = BTreeMap::new();
    for message in pool.all_messages() {
        if is_own(message.parent_file().name()) {
            check_limit("messages", descriptors.len() + 1, MAX_MESSAGES)?;
            add_message(message, &mut descriptors, &mut place);
        }
    }
    // Fields may hold types of other files, which hold further ones.
    let mut next = 0;
    while next < descriptors.len() {
        for field in descriptors[next].clone().fields() {
            if let prost_reflect::Kind::Message(referenced) = field.kind() {
                add_message(referenced, &mut descriptors, &mut place);
            }
        }
        next += 1;
        check_limit("messages", descriptors.len(), MAX_MESSAGES)?;
    }
    Ok((descriptors, place))
}

/// Adds a message once.
fn add_message(
    message: MessageDescriptor,
    all: &mut Vec<MessageDescriptor>,
    place: &mut BTreeMap<String, usize>,
) {
    if !place.contains_key(message.full_name()) {
        place.insert(message.full_name().to_string(), all.len());
        all.push(message);
    }
}

/// The number of messages that a message is declared within, itself included.
fn depth(message: &MessageDescriptor) -> usize {
    let mut depth = 1;
    let mut current = message.clone();
    while let Some(parent) = current.parent_message() {
        depth += 1;
        current = parent;
    }
    depth
}

/// Indexes of messages and enums by full name.
struct TypeIndexes<'a> {
    messages: &'a BTreeMap<String, usize>,
    enums: &'a BTreeMap<&'a str, usize>,
}

impl TypeIndexes<'_> {
    fn field_type(&self, field: &FieldDescriptor) -> Result<FieldType, SchemaError> {
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

fn field(
    from: &FieldDescriptor,
    oneofs: &[OneofDescriptor],
    options: &OptionExtensions,
    types: &TypeIndexes,
) -> Result<Field, SchemaError> {
    let values = OptionValues::of(&from.options(), &options.field);
    let oneof =
        from.containing_oneof().and_then(|containing| oneofs.iter().position(|one| *one == containing));
    let cardinality = match from.cardinality() {
        _ if from.is_map() => FieldCardinality::Map,
        Cardinality::Repeated => FieldCardinality::Repeated,
        _ => FieldCardinality::Singular,
    };
    let scalar =
        cardinality == FieldCardinality::Singular && !matches!(from.kind(), prost_reflect::Kind::Message(_));
    Ok(Field {
        number: from.number(),
        name: from.name().to_string(),
        kind: types.field_type(from)?,
        cardinality,
        explicit: from.supports_presence(),
        required: from.is_required(),
        packed: from.is_packed(),
        oneof,
        default: if scalar { canonical(&from.default_value()) } else { String::new() },
        meaning: values.number("meaning"),
        min: values.signed("min"),
        max: values.signed("max"),
        min_length: values.length("min_length"),
        max_length: values.length("max_length"),
        needed: values.flag("needed"),
        former_names: values.texts("former_names"),
        former_numbers: values.numbers("former_numbers"),
        old_reads_as: values.text("old_reads_as"),
    })
}

fn message(
    from: &MessageDescriptor,
    own: bool,
    options: &OptionExtensions,
    types: &TypeIndexes,
) -> Result<Message, SchemaError> {
    let values = OptionValues::of(&from.options(), &options.message);
    let real: Vec<_> = from.oneofs().filter(|oneof| !oneof.is_synthetic()).collect();
    let mut fields = BTreeMap::new();
    for descriptor in from.fields() {
        check_limit("bytes in a name", descriptor.name().len(), MAX_NAME_BYTES)?;
        let made = field(&descriptor, &real, options, types)?;
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
        meaning: values.number("meaning"),
        former_names: values.texts("former_names"),
        removed: values.removed().into_iter().collect(),
        record: values.flag("record"),
        own,
    })
}

fn enumeration(from: &EnumDescriptor, options: &OptionExtensions) -> Enum {
    let values = OptionValues::of(&from.options(), &options.enumeration);
    Enum {
        name: from.full_name().to_string(),
        values: from
            .values()
            .map(|value| {
                let values = OptionValues::of(&value.options(), &options.value);
                EnumValue {
                    name: value.name().to_string(),
                    number: value.number(),
                    meaning: values.number("meaning"),
                    former_names: values.texts("former_names"),
                    reads_as: values.text("reads_as"),
                }
            })
            .collect(),
        reserved: from.reserved_ranges().map(|range| (*range.start(), *range.end())).collect(),
        reserved_names: from.reserved_names().map(str::to_string).collect(),
        closed: from.parent_file().syntax() == prost_reflect::Syntax::Proto2,
        unknown: values.unknown(),
        removed: values.removed().into_iter().collect(),
    }
}
