//! The result of a comparison: what differs between a writer's and a reader's schema.

use super::conversion::FieldStep;
use crate::rules::{Direction, Rule};

/// The effect of a difference on a reader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Impact {
    Nothing,
    Note,
    /// A translation for readers of JSON, a note for others.
    Names,
    Translate,
    /// A break for readers that do not tolerate unknown values, a note for others.
    Intolerant,
    Break,
}

/// One difference between the two schemas.
#[derive(Clone, Debug)]
pub(crate) struct Difference {
    pub(crate) rule: Rule,
    /// The effect on a reader that uses the field.
    pub(crate) used: Impact,
    /// The effect on a reader that only decodes past it.
    pub(crate) unused: Impact,
    /// The last step of its path, if it is not the field's own.
    pub(crate) at: Option<String>,
    pub(crate) detail: String,
}

/// A reader's field compared with its counterpart.
#[derive(Clone, Debug)]
pub(crate) struct FieldComparison {
    pub(crate) name: String,
    /// Counts as used whatever the reader declares.
    pub(crate) needed: bool,
    pub(crate) differences: Vec<Difference>,
    /// Index of the pair of messages that the fields hold.
    pub(crate) child: Option<usize>,
}

/// A reader's message compared with a writer's.
#[derive(Clone, Debug)]
pub(crate) struct MessageComparison {
    /// The reader's message.
    pub(crate) reader: usize,
    pub(crate) differences: Vec<Difference>,
    pub(crate) fields: Vec<FieldComparison>,
    pub(crate) steps: Vec<FieldStep>,
}

/// A published message: the writer's and the reader's names, and where they are compared.
#[derive(Clone, Debug)]
pub(crate) struct RecordComparison {
    pub(crate) writer: Option<String>,
    pub(crate) reader: String,
    pub(crate) node: Option<usize>,
    pub(crate) differences: Vec<Difference>,
}

/// The comparison of two schemas.
pub(crate) struct SchemaComparison {
    pub(crate) direction: Direction,
    pub(crate) roots: Vec<RecordComparison>,
    pub(crate) nodes: Vec<MessageComparison>,
    /// The comparison was stopped at a limit and proves nothing.
    pub(crate) exceeded: bool,
}

/// The differences of one field.
#[derive(Default)]
pub(crate) struct DifferenceList {
    pub(crate) differences: Vec<Difference>,
}

impl DifferenceList {
    pub(crate) fn add(&mut self, rule: Rule, used: Impact, unused: Impact, detail: String) {
        self.differences.push(Difference { rule, used, unused, at: None, detail });
    }
}
