//! Compares one field of the reader's message with the writer's counterpart.

use super::constraints;
use super::context::ComparisonContext;
use super::conversion::{FieldConversion, FieldStep};
use super::difference::{DifferenceList, FieldComparison, Impact};
use super::field_values;
use crate::model::{Field, Message};
use crate::rules::{Direction, Rule};

/// Compares the reader's field `to` with its counterpart in the writer's message, if there is one.
pub(crate) fn compare(
    context: &mut ComparisonContext,
    writer: &Message,
    reader: &Message,
    to: &Field,
) -> (FieldComparison, FieldStep) {
    let mut differences = DifferenceList::default();
    let mut step = FieldStep { from: None, to: to.number, fill: false, conversion: FieldConversion::Keep };
    let mut child_pair = None;
    let counterpart = context.counterpart(writer, to);
    match counterpart {
        None => compare_missing(context, writer, to, &mut differences, &mut step),
        Some(from) => {
            step.from = Some(from.number);
            compare_identity(from, to, &mut differences);
            child_pair = field_values::compare_values(context, from, to, &mut differences, &mut step);
            if step.conversion != FieldConversion::Drop {
                constraints::compare_ranges(context.direction, from, to, &mut differences);
                constraints::compare_presence(from, to, &mut differences, &mut step);
            }
            constraints::compare_oneofs(context, writer, reader, from, to, &mut differences);
        }
    }
    let is_default_declared = step.conversion != FieldConversion::Keep;
    if counterpart.is_none() && !is_default_declared && writer.fields.contains_key(&to.number) {
        // The writer uses this number for a different field, which the reader must not decode.
        step.from = Some(to.number);
        step.fill = false;
        step.conversion = FieldConversion::Drop;
    }
    let needed = to.needed || to.required;
    (
        FieldComparison { name: to.name.clone(), needed, differences: differences.differences, child_pair },
        step,
    )
}

/// Compares name, number and declared meaning.
fn compare_identity(from: &Field, to: &Field, differences: &mut DifferenceList) {
    if from.name != to.name {
        let detail = format!("written as {}", from.name);
        differences.add(Rule::FieldRenamed, Impact::TranslateForJson, Impact::TranslateForJson, detail);
    }
    if from.number != to.number {
        let detail = format!("number {} is written for {}, as declared", from.number, to.number);
        differences.add(Rule::FieldRenumbered, Impact::Translate, Impact::Note, detail);
    }
    if from.meaning != to.meaning {
        let detail = format!("means {} to its writer and {} to its reader", from.meaning, to.meaning);
        differences.add(Rule::MeaningChanged, Impact::Break, Impact::Note, detail);
    }
}

/// Compares a field for which the writer has no counterpart.
fn compare_missing(
    context: &ComparisonContext,
    writer: &Message,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) {
    if let Some(other) = writer.fields.get(&to.number) {
        let detail = format!("number {} is written for {}", to.number, other.name);
        differences.add(Rule::FieldNumberReused, Impact::Break, Impact::Break, detail);
        return;
    }
    if let Some(renumbered) = writer.field_named(&to.name) {
        let detail = format!("number {} is written for {}, not declared", renumbered.number, to.number);
        differences.add(Rule::FieldRenumbered, Impact::Break, Impact::Note, detail);
        return;
    }
    let impact_if_unused = if to.required { Impact::Break } else { Impact::Nothing };
    let (rule, replacement) = match context.direction {
        Direction::NewToOld => (Rule::FieldRemovedInUse, writer.removed.get(&to.name)),
        _ => (Rule::FieldNeededMissing, to.old_reads_as.as_ref()),
    };
    match replacement {
        Some(text) => {
            step.conversion = FieldConversion::Default(text.clone());
            differences.add(
                rule,
                Impact::Translate,
                Impact::Translate,
                format!("reads as {text}, as declared"),
            );
        }
        None if context.direction == Direction::NewToOld => {
            differences.add(
                rule,
                Impact::Break,
                impact_if_unused,
                format!("number {} is no longer written", to.number),
            );
        }
        None if to.needed || to.required => {
            differences.add(rule, Impact::Break, impact_if_unused, "older records lack it".into());
        }
        None => {}
    }
}
