//! The result of a comparison: what differs between a writer's and a reader's schema.

use super::conversion::FieldStep;
use crate::rules::{Direction, Rule};

/// What a difference does to a reader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Impact {
    Nothing,
    Note,
    /// A translation for readers of JSON, a note for others.
    Names,
    Translate,
    /// A break for readers that do not go on at unknown values, a note for others.
    Intolerant,
    Break,
}

/// Something that differs.
#[derive(Clone, Debug)]
pub(crate) struct Difference {
    pub(crate) rule: Rule,
    /// What it does to a reader that uses the place.
    pub(crate) used: Impact,
    /// And to one that only passes over it.
    pub(crate) unused: Impact,
    /// The last step of its path, if it is not the field's own.
    pub(crate) at: Option<String>,
    pub(crate) detail: String,
}

/// A reader's field beside what the writer has for it.
#[derive(Clone, Debug)]
pub(crate) struct FieldComparison {
    pub(crate) name: String,
    /// Used whatever the reader declares.
    pub(crate) needed: bool,
    pub(crate) differences: Vec<Difference>,
    /// The pair of messages below.
    pub(crate) child: Option<usize>,
}

/// A reader's message beside a writer's.
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

/// Two schemas, compared.
pub(crate) struct SchemaComparison {
    pub(crate) direction: Direction,
    pub(crate) roots: Vec<RecordComparison>,
    pub(crate) nodes: Vec<MessageComparison>,
    /// The comparison ended at a bound and proves nothing.
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
