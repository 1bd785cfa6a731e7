//! What a translation does to the fields and values of one message, as the comparison found it necessary.

/// What is done with one value.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum ValueConversion {
    Keep,
    /// Into the reader's type, exactly.
    Convert,
    /// Enum numbers that the reader does not know, and what it gets for them.
    Enum(Vec<(i32, i32)>),
    /// A message, by the node of its pair.
    Child(usize),
}

/// What is done with one field.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum FieldConversion {
    Keep,
    /// The reader could not decode it.
    Drop,
    /// Always this value, given as text.
    Default(String),
    Value(ValueConversion),
    /// A list of the one value.
    Wrap(ValueConversion),
    /// Keys and values of a map.
    Map(ValueConversion, ValueConversion),
}

/// One field of the reader.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct FieldStep {
    /// The writer's number.
    pub(crate) from: Option<u32>,
    /// The reader's.
    pub(crate) to: u32,
    /// An absent field is written as the writer's default.
    pub(crate) fill: bool,
    pub(crate) conversion: FieldConversion,
}
