//! Compares a writer's schema with a reader's, field by field, independently of the fields that a reader
//! uses.
//!
//! Messages correspond as on the wire: by the fields that hold them and by number, not by name. Each pair of
//! messages is compared once, so that recursive types terminate;
//! [`MAX_MESSAGE_PAIRS`](crate::limits::MAX_MESSAGE_PAIRS) bounds the number of pairs.

mod constraints;
mod context;
pub(crate) mod conversion;
pub(crate) mod difference;
mod enum_values;
mod field;
mod field_values;

use crate::model::Model;
use crate::rules::{Direction, Rule};
use context::ComparisonContext;
use conversion::FieldConversion;
use difference::{Difference, Impact, MessageComparison, RecordComparison, SchemaComparison};

/// Compares a pair of messages, given by their indexes in the two models.
fn compare_messages(context: &mut ComparisonContext, writer: usize, reader: usize) -> MessageComparison {
    let mut comparison =
        MessageComparison { reader, differences: Vec::new(), fields: Vec::new(), steps: Vec::new() };
    let writer = &context.writer.messages[writer];
    let reader = &context.reader.messages[reader];
    if writer.meaning != reader.meaning {
        comparison.differences.push(Difference {
            rule: Rule::MeaningChanged,
            impact_if_used: Impact::Break,
            impact_if_unused: Impact::Note,
            element: None,
            detail: format!(
                "message means {} to its writer and {} to its reader",
                writer.meaning, reader.meaning
            ),
        });
    }
    for field in reader.fields.values() {
        let (field_comparison, step) = field::compare(context, writer, reader, field);
        if field_comparison.child_pair.is_some()
            || field_comparison.needed
            || !field_comparison.differences.is_empty()
        {
            comparison.fields.push(field_comparison);
        }
        if step.conversion != FieldConversion::Keep
            || step.fill
            || step.from.is_some_and(|from| from != step.to)
        {
            comparison.steps.push(step);
        }
    }
    comparison
}

/// Compares the records that `writer` writes with those that `reader` reads.
pub(crate) fn compare(writer: &Model, reader: &Model, direction: Direction) -> SchemaComparison {
    let mut context = ComparisonContext::new(writer, reader, direction);
    let roots = reader.roots.iter().map(|&message| compare_record(&mut context, message)).collect();
    let mut message_comparisons = Vec::new();
    while message_comparisons.len() < context.pairs.len() {
        let (writer, reader) = context.pairs[message_comparisons.len()];
        message_comparisons.push(compare_messages(&mut context, writer, reader));
    }
    SchemaComparison { direction, roots, message_comparisons, exceeded: context.exceeded }
}

/// Finds the writer's message for a published message of the reader and queues the pair.
fn compare_record(context: &mut ComparisonContext, reader: usize) -> RecordComparison {
    let read = &context.reader.messages[reader];
    let written = context.writer.message_named(&read.name).or_else(|| match context.direction {
        Direction::NewToOld => {
            let had_name = |one: &usize| context.writer.messages[*one].former_names.contains(&read.name);
            context.writer.roots.iter().copied().find(had_name)
        }
        _ => read.former_names.iter().find_map(|name| context.writer.message_named(name)),
    });
    let mut differences = Vec::new();
    let mut add = |rule, impact_if_used, detail| {
        differences.push(Difference {
            rule,
            impact_if_used,
            impact_if_unused: Impact::Note,
            element: None,
            detail,
        })
    };
    let Some(written) = written else {
        if context.direction == Direction::NewToOld {
            let simple_name = |name: &str| name.rsplit('.').next().unwrap_or_default().to_string();
            let written_names = context.writer.roots.iter().map(|&one| &context.writer.messages[one].name);
            match written_names.clone().find(|name| simple_name(name) == simple_name(&read.name)) {
                Some(name) => add(Rule::PackageRenamed, Impact::Break, format!("now {name}, not declared")),
                None => add(Rule::MessageRemovedInUse, Impact::Break, "no longer published".into()),
            }
        }
        return RecordComparison { writer: None, reader: read.name.clone(), pair: None, differences };
    };
    let name = &context.writer.messages[written].name;
    if *name != read.name {
        differences.push(Difference {
            rule: Rule::MessageRenamed,
            impact_if_used: Impact::Translate,
            impact_if_unused: Impact::Translate,
            element: None,
            detail: format!("written as {name}"),
        });
    }
    let pair = context.pair_index(written, reader);
    RecordComparison { writer: Some(name.clone()), reader: read.name.clone(), pair: Some(pair), differences }
}
