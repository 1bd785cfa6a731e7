//! Builds the model from descriptors and their options and checks the limits.

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
    /// A limit is exceeded, the type of a field is unknown, or there is no message to publish.
    pub(crate) fn from_pool(pool: &DescriptorPool, own: &[String]) -> Result<Self, SchemaError> {
        let options = OptionExtensions::from_pool(pool)?;
        let is_own = |file: &str| own.iter().any(|name| name == file);
        let (descriptors, message_indexes) = collect_messages(pool, &is_own)?;
        let enums: Vec<EnumDescriptor> =
            pool.all_enums().filter(|one| one.full_name().len() <= MAX_NAME_BYTES).collect();
        let enum_indexes: BTreeMap<&str, usize> =
            enums.iter().enumerate().map(|(index, one)| (one.full_name(), index)).collect();
        let own_enums = enums.iter().filter(|one| is_own(one.parent_file().name()));
        check_limit("enums", own_enums.clone().count(), MAX_ENUMS)?;
        check_limit("enum values", own_enums.map(|one| one.values().len()).sum(), MAX_ENUM_VALUES)?;
        check_limit("fields", descriptors.iter().map(|one| one.fields().len()).sum(), MAX_FIELDS)?;
        let types = TypeIndexes { messages: &message_indexes, enums: &enum_indexes };
        let mut messages = Vec::with_capacity(descriptors.len());
        for descriptor in &descriptors {
            check_limit("bytes in a name", descriptor.full_name().len(), MAX_NAME_BYTES)?;
            check_limit("messages within each other", depth(descriptor), MAX_NESTING)?;
            let own = is_own(descriptor.parent_file().name()) && !descriptor.is_map_entry();
            messages.push(build_message(descriptor, own, &options, &types)?);
        }
        let enums = enums.iter().map(|descriptor| build_enum(descriptor, &options)).collect();
        let mut model = Self { messages, enums, by_name: message_indexes, roots: Vec::new() };
        model.roots = model.find_roots();
        if model.roots.is_empty() {
            return Err(SchemaError::Empty);
        }
        Ok(model)
    }
}

/// The messages of own files and the messages of other files that their fields hold, with the messages'
/// indexes by full name.
fn collect_messages(
    pool: &DescriptorPool,
    is_own: &dyn Fn(&str) -> bool,
) -> Result<(Vec<MessageDescriptor>, BTreeMap<String, usize>), SchemaError> {
    let mut descriptors: Vec<MessageDescriptor> = Vec::new();
    let mut message_indexes: BTreeMap<String, usize> = BTreeMap::new();
    for message in pool.all_messages() {
        if is_own(message.parent_file().name()) {
            check_limit("messages", descriptors.len() + 1, MAX_MESSAGES)?;
            add_message(message, &mut descriptors, &mut message_indexes);
        }
    }
    // Fields may hold types of other files, whose fields may hold further types.
    let mut next = 0;
    while next < descriptors.len() {
        for field in descriptors[next].clone().fields() {
            if let prost_reflect::Kind::Message(referenced) = field.kind() {
                add_message(referenced, &mut descriptors, &mut message_indexes);
            }
        }
        next += 1;
        check_limit("messages", descriptors.len(), MAX_MESSAGES)?;
    }
    Ok((descriptors, message_indexes))
}

/// Adds a message unless it was already added.
fn add_message(
    message: MessageDescriptor,
    all: &mut Vec<MessageDescriptor>,
    message_indexes: &mut BTreeMap<String, usize>,
) {
    if !message_indexes.contains_key(message.full_name()) {
        message_indexes.insert(message.full_name().to_string(), all.len());
        all.push(message);
    }
}

/// The number of messages within which a message is declared, itself included.
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
        use prost_reflect::Kind;
        let unknown = || SchemaError::Descriptor(format!("unknown type of field {}", field.full_name()));
        Ok(match field.kind() {
            Kind::Double => FieldType::Double,
            Kind::Float => FieldType::Float,
            Kind::Int32 => FieldType::Int32,
            Kind::Int64 => FieldType::Int64,
            Kind::Uint32 => FieldType::Uint32,
            Kind::Uint64 => FieldType::Uint64,
            Kind::Sint32 => FieldType::Sint32,
            Kind::Sint64 => FieldType::Sint64,
            Kind::Fixed32 => FieldType::Fixed32,
            Kind::Fixed64 => FieldType::Fixed64,
            Kind::Sfixed32 => FieldType::Sfixed32,
            Kind::Sfixed64 => FieldType::Sfixed64,
            Kind::Bool => FieldType::Bool,
            Kind::String => FieldType::String,
            Kind::Bytes => FieldType::Bytes,
            Kind::Enum(descriptor) => {
                FieldType::Enum(*self.enums.get(descriptor.full_name()).ok_or_else(unknown)?)
            }
            Kind::Message(descriptor) => {
                let index = *self.messages.get(descriptor.full_name()).ok_or_else(unknown)?;
                if field.is_group() {
                    FieldType::Group(index)
                } else {
                    FieldType::Message(index)
                }
            }
        })
    }
}

fn build_field(
    from: &FieldDescriptor,
    oneofs: &[OneofDescriptor],
    options: &OptionExtensions,
    types: &TypeIndexes,
) -> Result<Field, SchemaError> {
    let values = OptionValues::from_options(&from.options(), &options.field);
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
        former_names: values.strings("former_names"),
        former_numbers: values.numbers("former_numbers"),
        old_reads_as: values.string("old_reads_as"),
    })
}

fn build_message(
    from: &MessageDescriptor,
    own: bool,
    options: &OptionExtensions,
    types: &TypeIndexes,
) -> Result<Message, SchemaError> {
    let values = OptionValues::from_options(&from.options(), &options.message);
    let declared_oneofs: Vec<_> = from.oneofs().filter(|oneof| !oneof.is_synthetic()).collect();
    let mut fields = BTreeMap::new();
    for descriptor in from.fields() {
        check_limit("bytes in a name", descriptor.name().len(), MAX_NAME_BYTES)?;
        let built = build_field(&descriptor, &declared_oneofs, options, types)?;
        fields.insert(built.number, built);
    }
    Ok(Message {
        name: from.full_name().to_string(),
        fields,
        oneofs: declared_oneofs
            .iter()
            .map(|one| Oneof {
                name: one.name().to_string(),
                unknown: OptionValues::from_options(&one.options(), &options.oneof).unknown_value_policy(),
            })
            .collect(),
        reserved: from
            .reserved_ranges()
            .filter(|range| range.end > range.start)
            .map(|range| (range.start, range.end - 1))
            .collect(),
        reserved_names: from.reserved_names().map(str::to_string).collect(),
        meaning: values.number("meaning"),
        former_names: values.strings("former_names"),
        removed: values.removed().into_iter().collect(),
        record: values.flag("record"),
        own,
    })
}

fn build_enum(from: &EnumDescriptor, options: &OptionExtensions) -> Enum {
    let values = OptionValues::from_options(&from.options(), &options.enumeration);
    Enum {
        name: from.full_name().to_string(),
        values: from
            .values()
            .map(|value| {
                let values = OptionValues::from_options(&value.options(), &options.value);
                EnumValue {
                    name: value.name().to_string(),
                    number: value.number(),
                    meaning: values.number("meaning"),
                    former_names: values.strings("former_names"),
                    reads_as: values.string("reads_as"),
                }
            })
            .collect(),
        reserved: from.reserved_ranges().map(|range| (*range.start(), *range.end())).collect(),
        reserved_names: from.reserved_names().map(str::to_string).collect(),
        closed: from.parent_file().syntax() == prost_reflect::Syntax::Proto2,
        unknown: values.unknown_value_policy(),
        removed: values.removed().into_iter().collect(),
    }
}
