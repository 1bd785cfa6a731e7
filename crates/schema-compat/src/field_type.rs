//! Field types: which of them share a wire encoding, and which values they can hold.
//!
//! The wire classes follow protobuf's encoding page. Two types that share a class decode each other's
//! bytes; whether the value is preserved depends on the domains: `int32`, `uint32`, `int64`, `uint64`, `bool`
//! and enums are all plain varints (a negative `int32` is written as ten bytes, so that it reads as the same
//! `int64`), `sint32` and `sint64` are zigzag varints that a plain reader decodes as other numbers, `float`
//! and `fixed32` share only the width of four bytes, `string` and `bytes` differ only in the guarantee of
//! UTF-8.

/// A field's type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum FieldType {
    Double,
    Float,
    Int32,
    Int64,
    Uint32,
    Uint64,
    Sint32,
    Sint64,
    Fixed32,
    Fixed64,
    Sfixed32,
    Sfixed64,
    Bool,
    String,
    Bytes,
    /// Index into the model's messages.
    Message(usize),
    /// A proto2 group: a message between two tags.
    Group(usize),
    /// Index into the model's enums.
    Enum(usize),
}

/// A class of types that encode equal values as equal bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum WireClass {
    Varint,
    Zigzag,
    Fixed32,
    Fixed64,
    Float,
    Double,
    Text,
    Message,
    Group,
}

/// The wire type, held in the low three bits of a tag.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum WireType {
    Varint,
    I64,
    Len,
    Group,
    I32,
}

/// The set of values that a type can hold.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum ValueDomain {
    /// Integers from the first to the last, both included.
    Integer(i128, i128),
    Float,
    Double,
    Utf8,
    Bytes,
    Other,
}

impl FieldType {
    pub(crate) fn name(self) -> &'static str {
        match self {
            FieldType::Double => "double",
            FieldType::Float => "float",
            FieldType::Int32 => "int32",
            FieldType::Int64 => "int64",
            FieldType::Uint32 => "uint32",
            FieldType::Uint64 => "uint64",
            FieldType::Sint32 => "sint32",
            FieldType::Sint64 => "sint64",
            FieldType::Fixed32 => "fixed32",
            FieldType::Fixed64 => "fixed64",
            FieldType::Sfixed32 => "sfixed32",
            FieldType::Sfixed64 => "sfixed64",
            FieldType::Bool => "bool",
            FieldType::String => "string",
            FieldType::Bytes => "bytes",
            FieldType::Message(_) => "message",
            FieldType::Group(_) => "group",
            FieldType::Enum(_) => "enum",
        }
    }

    pub(crate) fn class(self) -> WireClass {
        match self {
            FieldType::Int32
            | FieldType::Int64
            | FieldType::Uint32
            | FieldType::Uint64
            | FieldType::Bool
            | FieldType::Enum(_) => WireClass::Varint,
            FieldType::Sint32 | FieldType::Sint64 => WireClass::Zigzag,
            FieldType::Fixed32 | FieldType::Sfixed32 => WireClass::Fixed32,
            FieldType::Fixed64 | FieldType::Sfixed64 => WireClass::Fixed64,
            FieldType::Float => WireClass::Float,
            FieldType::Double => WireClass::Double,
            FieldType::String | FieldType::Bytes => WireClass::Text,
            FieldType::Message(_) => WireClass::Message,
            FieldType::Group(_) => WireClass::Group,
        }
    }

    pub(crate) fn wire_type(self) -> WireType {
        match self.class() {
            WireClass::Varint | WireClass::Zigzag => WireType::Varint,
            WireClass::Fixed64 | WireClass::Double => WireType::I64,
            WireClass::Fixed32 | WireClass::Float => WireType::I32,
            WireClass::Text | WireClass::Message => WireType::Len,
            WireClass::Group => WireType::Group,
        }
    }

    /// The values that the type alone allows. For an enum, this is the range of `int32`, which the caller
    /// narrows.
    pub(crate) fn domain(self) -> ValueDomain {
        match self {
            FieldType::Int32 | FieldType::Sint32 | FieldType::Sfixed32 | FieldType::Enum(_) => {
                ValueDomain::Integer(i128::from(i32::MIN), i128::from(i32::MAX))
            }
            FieldType::Int64 | FieldType::Sint64 | FieldType::Sfixed64 => {
                ValueDomain::Integer(i128::from(i64::MIN), i128::from(i64::MAX))
            }
            FieldType::Uint32 | FieldType::Fixed32 => ValueDomain::Integer(0, i128::from(u32::MAX)),
            FieldType::Uint64 | FieldType::Fixed64 => ValueDomain::Integer(0, i128::from(u64::MAX)),
            FieldType::Bool => ValueDomain::Integer(0, 1),
            FieldType::Float => ValueDomain::Float,
            FieldType::Double => ValueDomain::Double,
            FieldType::String => ValueDomain::Utf8,
            FieldType::Bytes => ValueDomain::Bytes,
            FieldType::Message(_) | FieldType::Group(_) => ValueDomain::Other,
        }
    }

    /// Index of the message that a field of this type holds.
    pub(crate) fn message_index(self) -> Option<usize> {
        match self {
            FieldType::Message(index) | FieldType::Group(index) => Some(index),
            _ => None,
        }
    }

    pub(crate) fn is_message(self) -> bool {
        matches!(self, FieldType::Message(_) | FieldType::Group(_))
    }

    /// Whether a repeated field of this type may be packed: scalars other than `string` and `bytes`, and
    /// enums.
    pub(crate) fn is_packable(self) -> bool {
        !matches!(self.wire_type(), WireType::Len | WireType::Group)
    }
}

/// Whether a writer's values can be read as another type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum TypeFit {
    /// The same bytes give the same value.
    Same,
    /// Every value can be represented in the reader's type, but is encoded differently and must be converted.
    Convert,
    /// Some values cannot be represented in the reader's type.
    Narrowed,
    /// The types have nothing in common.
    Unrelated,
}

/// Largest integer up to which a `float` represents every integer exactly (IEEE 754: 24 bits of significand).
const MAX_EXACT_FLOAT_INTEGER: i128 = 1 << 24;
/// Largest integer up to which a `double` represents every integer exactly (IEEE 754: 53 bits of
/// significand).
const MAX_EXACT_DOUBLE_INTEGER: i128 = 1 << 53;

/// How the values of a field of type `writer` fit the type `reader`; `written` is the domain of the values
/// that the writer may write. The contents of messages are not compared here.
pub(crate) fn fit(writer: FieldType, written: ValueDomain, reader: FieldType) -> TypeFit {
    let same_bytes = writer.class() == reader.class();
    let contained = match (written, reader.domain()) {
        // An integer does not determine which enum value is meant.
        (ValueDomain::Integer(..), _) if matches!(reader, FieldType::Enum(_)) => return TypeFit::Unrelated,
        (ValueDomain::Integer(low, high), ValueDomain::Integer(lower, upper)) => {
            lower <= low && high <= upper
        }
        (ValueDomain::Integer(low, high), ValueDomain::Float) => {
            -MAX_EXACT_FLOAT_INTEGER <= low && high <= MAX_EXACT_FLOAT_INTEGER
        }
        (ValueDomain::Integer(low, high), ValueDomain::Double) => {
            -MAX_EXACT_DOUBLE_INTEGER <= low && high <= MAX_EXACT_DOUBLE_INTEGER
        }
        (ValueDomain::Float, ValueDomain::Float | ValueDomain::Double)
        | (ValueDomain::Double, ValueDomain::Double) => true,
        (ValueDomain::Utf8, ValueDomain::Utf8 | ValueDomain::Bytes)
        | (ValueDomain::Bytes, ValueDomain::Bytes) => true,
        (ValueDomain::Double, ValueDomain::Float) | (ValueDomain::Bytes, ValueDomain::Utf8) => false,
        _ => return TypeFit::Unrelated,
    };
    match (contained, same_bytes) {
        (true, true) => TypeFit::Same,
        (true, false) => TypeFit::Convert,
        (false, _) => TypeFit::Narrowed,
    }
}

/// The wire encoding of a field.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct FieldEncoding {
    pub(crate) field_type: FieldType,
    /// Whether the field is a list or a map.
    pub(crate) is_repeated: bool,
    /// Whether a writer packs the elements; readers accept both forms.
    pub(crate) is_packed: bool,
}

/// Whether a strict reader can decode all bytes that a writer's field may have. A strict reader fails the
/// complete record on a wrong wire type or on bytes that are not UTF-8, as prost does.
pub(crate) fn decodes(writer: FieldEncoding, reader: FieldEncoding) -> bool {
    let written = writer.field_type;
    let read = reader.field_type;
    if writer.is_repeated && writer.is_packed && written.is_packable() {
        return match read {
            FieldType::Bytes => true,
            _ => reader.is_repeated && read.is_packable() && read.wire_type() == written.wire_type(),
        };
    }
    if written.wire_type() != read.wire_type() {
        return false;
    }
    match read {
        FieldType::String => written == FieldType::String,
        FieldType::Message(_) => matches!(written, FieldType::Message(_)),
        FieldType::Group(_) => matches!(written, FieldType::Group(_)),
        _ => true,
    }
}
