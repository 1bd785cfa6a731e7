//! State of a running comparison: the queued pairs of messages, and which fields correspond.

use crate::limits::MAX_MESSAGE_PAIRS;
use crate::model::{Field, Message, Model};
use crate::rules::Direction;
use std::collections::HashMap;

/// The two schemas under comparison and the pairs of messages encountered so far.
pub(crate) struct ComparisonContext<'a> {
    pub(crate) writer: &'a Model,
    pub(crate) reader: &'a Model,
    pub(crate) direction: Direction,
    /// Index in `pairs` of each pair of a writer's and a reader's message.
    indexes: HashMap<(usize, usize), usize>,
    /// Indexes of a writer's and a reader's message in their models, in the order of discovery.
    pub(crate) pairs: Vec<(usize, usize)>,
    /// Whether a pair was left out because of [`MAX_MESSAGE_PAIRS`].
    pub(crate) exceeded: bool,
}

impl<'a> ComparisonContext<'a> {
    /// A context without any pair of messages yet.
    pub(crate) fn new(writer: &'a Model, reader: &'a Model, direction: Direction) -> Self {
        Self { writer, reader, direction, indexes: HashMap::new(), pairs: Vec::new(), exceeded: false }
    }

    /// The index of a pair of messages; a new pair is queued for comparison.
    pub(crate) fn pair_index(&mut self, writer: usize, reader: usize) -> usize {
        if let Some(&index) = self.indexes.get(&(writer, reader)) {
            return index;
        }
        if self.pairs.len() >= MAX_MESSAGE_PAIRS {
            self.exceeded = true;
            return 0;
        }
        let index = self.pairs.len();
        self.indexes.insert((writer, reader), index);
        self.pairs.push((writer, reader));
        index
    }

    /// Whether two fields are the same by name: the newer field has the older field's name, or declares that
    /// name as a former name.
    fn is_same_field(&self, writer: &Field, reader: &Field) -> bool {
        match self.direction {
            Direction::NewToOld => writer.has_or_had_name(&reader.name),
            _ => reader.has_or_had_name(&writer.name),
        }
    }

    /// The writer's field that corresponds to a field of the reader: it is the same field by name, and has
    /// the same number or one that is declared as a former number.
    pub(crate) fn counterpart<'m>(&self, writer: &'m Message, reader: &Field) -> Option<&'m Field> {
        let is_renumbered = |field: &&Field| match self.direction {
            Direction::NewToOld => field.former_numbers.contains(&reader.number),
            _ => reader.former_numbers.contains(&field.number),
        };
        let by_number = writer.fields.get(&reader.number).filter(|field| self.is_same_field(field, reader));
        by_number.or_else(|| {
            writer.fields.values().filter(is_renumbered).find(|field| self.is_same_field(field, reader))
        })
    }
}
