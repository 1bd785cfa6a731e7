//! The result of a comparison: the differences between a writer's and a reader's schema.

use super::conversion::FieldStep;
use crate::rules::{Direction, Rule};

/// The effect of a difference on a reader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Impact {
    Nothing,
    Note,
    /// Readers of JSON need a translation; for readers of binary records the difference is a note.
    TranslateForJson,
    Translate,
    /// Readers that do not tolerate unknown values break; for tolerant readers the difference is a note.
    BreakIfIntolerant,
    Break,
}

/// One difference between the two schemas.
#[derive(Clone, Debug)]
pub(crate) struct Difference {
    pub(crate) rule: Rule,
    /// The effect on a reader that uses the field.
    pub(crate) impact_if_used: Impact,
    /// The effect on a reader that decodes the field without using it.
    pub(crate) impact_if_unused: Impact,
    /// Name of the enum value or oneof that differs; `None` if the field or message itself differs.
    pub(crate) element: Option<String>,
    pub(crate) detail: String,
}

/// A reader's field compared with its counterpart.
#[derive(Clone, Debug)]
pub(crate) struct FieldComparison {
    pub(crate) name: String,
    /// Whether the field counts as used even if the reader does not declare it.
    pub(crate) needed: bool,
    pub(crate) differences: Vec<Difference>,
    /// Index of the pair of messages that the fields hold.
    pub(crate) child_pair: Option<usize>,
}

/// A reader's message compared with a writer's.
#[derive(Clone, Debug)]
pub(crate) struct MessageComparison {
    /// Index of the reader's message in its model.
    pub(crate) reader: usize,
    pub(crate) differences: Vec<Difference>,
    pub(crate) fields: Vec<FieldComparison>,
    pub(crate) steps: Vec<FieldStep>,
}

/// Comparison of a message that the reader's version publishes as a record.
#[derive(Clone, Debug)]
pub(crate) struct RecordComparison {
    /// The writer's message name; `None` if the writer does not publish the message.
    pub(crate) writer: Option<String>,
    /// The reader's message name.
    pub(crate) reader: String,
    /// Index of the pair of messages; `None` if the writer does not publish the message.
    pub(crate) pair: Option<usize>,
    pub(crate) differences: Vec<Difference>,
}

/// The comparison of two schemas.
pub(crate) struct SchemaComparison {
    pub(crate) direction: Direction,
    pub(crate) roots: Vec<RecordComparison>,
    /// Comparison of each pair of a writer's and a reader's message, by the pair's index.
    pub(crate) message_comparisons: Vec<MessageComparison>,
    /// Whether the comparison stopped at a limit, so that the absence of differences proves nothing.
    pub(crate) exceeded: bool,
}

/// Collects the differences of one field.
#[derive(Default)]
pub(crate) struct DifferenceList {
    pub(crate) differences: Vec<Difference>,
}

impl DifferenceList {
    pub(crate) fn add(
        &mut self,
        rule: Rule,
        impact_if_used: Impact,
        impact_if_unused: Impact,
        detail: String,
    ) {
        self.differences.push(Difference { rule, impact_if_used, impact_if_unused, element: None, detail });
    }
}
