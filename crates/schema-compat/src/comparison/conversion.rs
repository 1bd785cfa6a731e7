//! The steps of a translation: the conversions of one message's fields and values, as determined by the
//! comparison.

/// Conversion of one value.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum ValueConversion {
    Keep,
    /// Converts the value exactly into the reader's type.
    Convert,
    /// Replaces enum numbers that the reader does not know: pairs of the written number and its replacement.
    Enum(Vec<(i32, i32)>),
    /// Translates a message; the value is the index of its pair of messages.
    Child(usize),
}

/// Conversion of one field.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum FieldConversion {
    Keep,
    /// Drops the written field, which the reader could not decode.
    Drop,
    /// Sets this value, given as text, regardless of the record's content.
    Default(String),
    Value(ValueConversion),
    /// Converts a single value to a list of one.
    Wrap(ValueConversion),
    /// Converts the keys and the values of a map.
    Map(ValueConversion, ValueConversion),
}

/// Translation step for one field of the reader.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct FieldStep {
    /// The writer's field number; `None` if the writer has no counterpart.
    pub(crate) from: Option<u32>,
    /// The reader's field number.
    pub(crate) to: u32,
    /// Whether an absent field is filled in with the writer's default.
    pub(crate) fill: bool,
    pub(crate) conversion: FieldConversion,
}
