//! Types of values: which are compatible on the wire, which in what they can hold.
//!
//! The wire's classes are those of protobuf's encoding page. Two types that share a class decode each other's bytes;
//! whether the value survives is a question of domains: `int32`, `uint32`, `int64`, `uint64`, `bool` and enums are all
//! plain varints (a negative `int32` is written as ten bytes, so that it reads as the same `int64`), `sint32` and
//! `sint64` are zigzag varints that a plain reader takes for other numbers, `float` and `fixed32` share four bytes and
//! nothing else, `string` and `bytes` share all but the promise of UTF-8.

/// A field's type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Kind {
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

/// Types that write equal values as equal bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Class {
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

/// The three bits of a tag.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum WireType {
    Varint,
    I64,
    Len,
    Group,
    I32,
}

/// What a value can be.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Domain {
    /// Whole numbers, both ends included.
    Whole(i128, i128),
    Float,
    Double,
    Utf8,
    Bytes,
    Other,
}

impl Kind {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Kind::Double => "double",
            Kind::Float => "float",
            Kind::Int32 => "int32",
            Kind::Int64 => "int64",
            Kind::Uint32 => "uint32",
            Kind::Uint64 => "uint64",
            Kind::Sint32 => "sint32",
            Kind::Sint64 => "sint64",
            Kind::Fixed32 => "fixed32",
            Kind::Fixed64 => "fixed64",
            Kind::Sfixed32 => "sfixed32",
            Kind::Sfixed64 => "sfixed64",
            Kind::Bool => "bool",
            Kind::String => "string",
            Kind::Bytes => "bytes",
            Kind::Message(_) => "message",
            Kind::Group(_) => "group",
            Kind::Enum(_) => "enum",
        }
    }

    pub(crate) fn class(self) -> Class {
        match self {
            Kind::Int32 | Kind::Int64 | Kind::Uint32 | Kind::Uint64 | Kind::Bool | Kind::Enum(_) => {
                Class::Varint
            }
            Kind::Sint32 | Kind::Sint64 => Class::Zigzag,
            Kind::Fixed32 | Kind::Sfixed32 => Class::Fixed32,
            Kind::Fixed64 | Kind::Sfixed64 => Class::Fixed64,
            Kind::Float => Class::Float,
            Kind::Double => Class::Double,
            Kind::String | Kind::Bytes => Class::Text,
            Kind::Message(_) => Class::Message,
            Kind::Group(_) => Class::Group,
        }
    }

    pub(crate) fn wire_type(self) -> WireType {
        match self.class() {
            Class::Varint | Class::Zigzag => WireType::Varint,
            Class::Fixed64 | Class::Double => WireType::I64,
            Class::Fixed32 | Class::Float => WireType::I32,
            Class::Text | Class::Message => WireType::Len,
            Class::Group => WireType::Group,
        }
    }

    /// What the type alone lets a value be. Enums: whatever an `int32` holds, for the caller to narrow.
    pub(crate) fn domain(self) -> Domain {
        match self {
            Kind::Int32 | Kind::Sint32 | Kind::Sfixed32 | Kind::Enum(_) => {
                Domain::Whole(i128::from(i32::MIN), i128::from(i32::MAX))
            }
            Kind::Int64 | Kind::Sint64 | Kind::Sfixed64 => {
                Domain::Whole(i128::from(i64::MIN), i128::from(i64::MAX))
            }
            Kind::Uint32 | Kind::Fixed32 => Domain::Whole(0, i128::from(u32::MAX)),
            Kind::Uint64 | Kind::Fixed64 => Domain::Whole(0, i128::from(u64::MAX)),
            Kind::Bool => Domain::Whole(0, 1),
            Kind::Float => Domain::Float,
            Kind::Double => Domain::Double,
            Kind::String => Domain::Utf8,
            Kind::Bytes => Domain::Bytes,
            Kind::Message(_) | Kind::Group(_) => Domain::Other,
        }
    }

    pub(crate) fn is_message(self) -> bool {
        matches!(self, Kind::Message(_) | Kind::Group(_))
    }

    /// Scalars that a repeated field may pack, and enums.
    pub(crate) fn packs(self) -> bool {
        !matches!(self.wire_type(), WireType::Len | WireType::Group)
    }
}

/// How a writer's values reach a reader of another type.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fit {
    /// The same bytes give the same value.
    Same,
    /// Every value has its like in the reader's type, but other bytes: to be converted.
    Convert,
    /// Some values have no like.
    Narrowed,
    /// The types have nothing in common.
    Apart,
}

/// Whole numbers beyond these are rounded: 24 and 53 bits of fraction (IEEE 754).
const FLOAT_WHOLE: i128 = 1 << 24;
const DOUBLE_WHOLE: i128 = 1 << 53;

/// How values of `writer` (narrowed to `from`) reach a reader of type `reader`. Messages are compared elsewhere.
pub(crate) fn fit(writer: Kind, from: Domain, reader: Kind) -> Fit {
    let same_bytes = writer.class() == reader.class();
    let contained = match (from, reader.domain()) {
        // A number says nothing of which of an enum's values it stands for.
        (Domain::Whole(..), _) if matches!(reader, Kind::Enum(_)) => return Fit::Apart,
        (Domain::Whole(least, most), Domain::Whole(lower, upper)) => lower <= least && most <= upper,
        (Domain::Whole(least, most), Domain::Float) => -FLOAT_WHOLE <= least && most <= FLOAT_WHOLE,
        (Domain::Whole(least, most), Domain::Double) => -DOUBLE_WHOLE <= least && most <= DOUBLE_WHOLE,
        (Domain::Float, Domain::Float | Domain::Double) | (Domain::Double, Domain::Double) => true,
        (Domain::Utf8, Domain::Utf8 | Domain::Bytes) | (Domain::Bytes, Domain::Bytes) => true,
        (Domain::Double, Domain::Float) | (Domain::Bytes, Domain::Utf8) => false,
        _ => return Fit::Apart,
    };
    match (contained, same_bytes) {
        (true, true) => Fit::Same,
        (true, false) => Fit::Convert,
        (false, _) => Fit::Narrowed,
    }
}

/// Whether bytes of a writer's field, whatever the value, let a strict reader go on: one that fails the whole record on
/// a wrong wire type or on bytes that are no UTF-8, as prost does.
pub(crate) fn decodes(writer: (Kind, bool, bool), reader: (Kind, bool)) -> bool {
    let (writer, many, packed) = writer;
    let (reader, reader_many) = reader;
    let as_packed = many && packed && writer.packs();
    if as_packed {
        return match reader {
            Kind::Bytes => true,
            _ => reader_many && reader.packs() && reader.wire_type() == writer.wire_type(),
        };
    }
    if writer.wire_type() != reader.wire_type() {
        return false;
    }
    match reader {
        Kind::String => writer == Kind::String,
        Kind::Message(_) => matches!(writer, Kind::Message(_)),
        Kind::Group(_) => matches!(writer, Kind::Group(_)),
        _ => true,
    }
}
