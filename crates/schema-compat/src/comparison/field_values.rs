//! Compares the types and cardinalities of a writer's and a reader's field and determines the conversion.

use super::context::ComparisonContext;
use super::conversion::{FieldConversion, FieldStep, ValueConversion};
use super::difference::{Difference, DifferenceList, Impact};
use super::enum_values;
use crate::field_type::{decodes, fit, FieldType, TypeFit, ValueDomain};
use crate::model::{Field, FieldCardinality, Model, MAP_KEY_NUMBER, MAP_VALUE_NUMBER};
use crate::rules::Rule;

/// Why values of the writer's type cannot be read as the reader's.
struct IncompatibleTypes {
    rule: Rule,
    detail: String,
}

/// Compares types and cardinality. Returns the index of the pair of messages that the fields hold; `None` if
/// they do not hold messages that can be compared.
pub(crate) fn compare_values(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) -> Option<usize> {
    let can_decode = decodes(from.encoding(), to.encoding());
    if from.cardinality != to.cardinality && !becomes_list(from, to) {
        let detail = format!("{} written, {} read", from.cardinality.name(), to.cardinality.name());
        let can_decode = can_decode && !from.kind.is_message() && !to.kind.is_message();
        let mismatch = IncompatibleTypes { rule: Rule::CardinalityChanged, detail };
        reject_field(to, mismatch, can_decode, differences, step);
        return None;
    }
    if from.cardinality == FieldCardinality::Map && to.cardinality == FieldCardinality::Map {
        return compare_entries(context, from, to, differences, step);
    }
    let conversion = match compare_value(context, from, to, &mut differences.differences) {
        Ok(conversion) => conversion,
        Err(mismatch) => {
            reject_field(to, mismatch, can_decode, differences, step);
            return None;
        }
    };
    let child_pair = child_pair_of(&conversion);
    step.conversion = if becomes_list(from, to) {
        step.fill = report_list_of_one(from, differences);
        FieldConversion::Wrap(conversion)
    } else if conversion == ValueConversion::Keep {
        FieldConversion::Keep
    } else {
        FieldConversion::Value(conversion)
    };
    child_pair
}

/// Whether a single value is read as a list.
fn becomes_list(from: &Field, to: &Field) -> bool {
    from.cardinality == FieldCardinality::Singular && to.cardinality == FieldCardinality::Repeated
}

/// Reports a field that cannot be converted. A translation drops the field if a strict reader could not even
/// decode it.
fn reject_field(
    to: &Field,
    mismatch: IncompatibleTypes,
    can_decode: bool,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) {
    let impact_if_unused = match (can_decode, to.required) {
        (true, _) => Impact::Nothing,
        // A strict reader that requires the field fails on a record from which the field was dropped.
        (false, true) => Impact::Break,
        (false, false) => Impact::Translate,
    };
    differences.add(mismatch.rule, Impact::Break, impact_if_unused, mismatch.detail);
    if !can_decode {
        step.conversion = FieldConversion::Drop;
    }
}

/// Reports a single value that is read as a list of one; returns whether an absent value has to be filled in.
fn report_list_of_one(from: &Field, differences: &mut DifferenceList) -> bool {
    // A writer without explicit presence does not encode the default: the list of one value must not become
    // empty.
    let omits_default = !from.explicit && !from.kind.is_message();
    let impact_if_used = if omits_default { Impact::Translate } else { Impact::Note };
    let detail = "one written, read as a list of one".into();
    differences.add(Rule::CardinalityChanged, impact_if_used, Impact::Nothing, detail);
    omits_default
}

/// The index of the pair of messages that a conversion translates.
fn child_pair_of(conversion: &ValueConversion) -> Option<usize> {
    match conversion {
        ValueConversion::Child(index) => Some(*index),
        _ => None,
    }
}

/// Compares the types of a field's single value, or of one of its elements. Returns the conversion, or why
/// the types are incompatible.
fn compare_value(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut Vec<Difference>,
) -> Result<ValueConversion, IncompatibleTypes> {
    match (from.kind, to.kind) {
        (FieldType::Message(writer), FieldType::Message(reader))
        | (FieldType::Group(writer), FieldType::Group(reader)) => {
            Ok(ValueConversion::Child(context.pair_index(writer, reader)))
        }
        (FieldType::Enum(writer), FieldType::Enum(reader)) => {
            Ok(enum_values::compare(context, writer, reader, differences))
        }
        _ => compare_scalar(context, from, to, differences),
    }
}

fn compare_scalar(
    context: &ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut Vec<Difference>,
) -> Result<ValueConversion, IncompatibleTypes> {
    let detail = format!("{} written, {} read", from.kind.name(), to.kind.name());
    let mut add = |impact_if_used, impact_if_unused, detail| {
        differences.push(Difference {
            rule: Rule::TypeReencoded,
            impact_if_used,
            impact_if_unused,
            element: None,
            detail,
        });
    };
    match fit(from.kind, written_domain(context, from), to.kind) {
        TypeFit::Same if from.kind == to.kind => Ok(ValueConversion::Keep),
        TypeFit::Same => {
            add(Impact::TranslateForJson, Impact::Note, format!("{detail}: the same bytes"));
            Ok(ValueConversion::Keep)
        }
        TypeFit::Convert => {
            add(Impact::Translate, Impact::Translate, detail);
            Ok(ValueConversion::Convert)
        }
        TypeFit::Narrowed => Err(IncompatibleTypes { rule: Rule::TypeNarrowed, detail }),
        TypeFit::Unrelated => Err(IncompatibleTypes { rule: Rule::TypeChanged, detail }),
    }
}

/// The values that a writer may write into a field.
fn written_domain(context: &ComparisonContext, from: &Field) -> ValueDomain {
    if let FieldType::Enum(index) = from.kind {
        let values = context.writer.enums[index].values.iter();
        let numbers = values.map(|value| i128::from(value.number));
        return ValueDomain::Integer(numbers.clone().min().unwrap_or(0), numbers.max().unwrap_or(0));
    }
    match from.integer_range() {
        Some((low, high)) => ValueDomain::Integer(low, high),
        None => from.kind.domain(),
    }
}

/// The fields of a map's entry message.
struct MapEntry {
    key: Field,
    value: Field,
}

fn map_entry(model: &Model, field: &Field) -> Option<MapEntry> {
    let fields = &model.messages[field.kind.message_index()?].fields;
    Some(MapEntry {
        key: fields.get(&MAP_KEY_NUMBER)?.clone(),
        value: fields.get(&MAP_VALUE_NUMBER)?.clone(),
    })
}

/// Compares the keys and values of a map.
fn compare_entries(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) -> Option<usize> {
    let written = map_entry(context.writer, from)?;
    let read = map_entry(context.reader, to)?;
    let key = compare_value(context, &written.key, &read.key, &mut differences.differences);
    let value = compare_value(context, &written.value, &read.value, &mut differences.differences);
    match (key, value) {
        (Ok(ValueConversion::Keep), Ok(ValueConversion::Keep)) => None,
        (Ok(key), Ok(value)) => {
            let child_pair = child_pair_of(&value);
            step.conversion = FieldConversion::Map(key, value);
            child_pair
        }
        (Err(mismatch), _) | (_, Err(mismatch)) => {
            let impact_if_unused = if to.required { Impact::Break } else { Impact::Translate };
            let detail = format!("entry: {}", mismatch.detail);
            differences.add(mismatch.rule, Impact::Break, impact_if_unused, detail);
            step.conversion = FieldConversion::Drop;
            None
        }
    }
}
