//! Types and cardinalities of a writer's and a reader's field, and the conversion between them.

use super::context::ComparisonContext;
use super::conversion::{FieldConversion, FieldStep, ValueConversion};
use super::difference::{Difference, DifferenceList, Impact};
use super::enum_values;
use crate::field_type::{decodes, fit, FieldType, TypeFit, ValueDomain};
use crate::model::{Field, FieldCardinality, Model};
use crate::rules::Rule;

/// Compares types and cardinality; returns the index of the pair of messages that the fields hold.
pub(crate) fn compare_values(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) -> Option<usize> {
    let safe = decodes(
        (from.kind, from.cardinality != FieldCardinality::Singular, from.packed),
        (to.kind, to.cardinality != FieldCardinality::Singular),
    );
    let drop = |differences: &mut DifferenceList, step: &mut FieldStep, rule, detail: String, safe: bool| {
        let unused = if safe { Impact::Nothing } else { Impact::Translate };
        // A strict reader that requires the field fails the whole record without it.
        let unused = if to.required && !safe { Impact::Break } else { unused };
        differences.add(rule, Impact::Break, unused, detail);
        if !safe {
            step.conversion = FieldConversion::Drop;
        }
    };
    if from.cardinality != to.cardinality
        && !(from.cardinality == FieldCardinality::Singular && to.cardinality == FieldCardinality::Repeated)
    {
        let detail = format!("{} written, {} read", from.cardinality.name(), to.cardinality.name());
        let safe = safe && !from.kind.is_message() && !to.kind.is_message();
        drop(differences, step, Rule::CardinalityChanged, detail, safe);
        return None;
    }
    if from.cardinality == FieldCardinality::Map && to.cardinality == FieldCardinality::Map {
        return compare_entries(context, from, to, differences, step);
    }
    let conversion = match compare_value(context, from, to, &mut differences.differences) {
        Ok(conversion) => conversion,
        Err((rule, detail)) => {
            drop(differences, step, rule, detail, safe);
            return None;
        }
    };
    let child = if let ValueConversion::Child(at) = conversion { Some(at) } else { None };
    step.conversion = match (from.cardinality, conversion) {
        (FieldCardinality::Singular, conversion) if to.cardinality == FieldCardinality::Repeated => {
            // Such a writer does not encode the default: the list of one value must not become empty.
            let silent = !from.explicit && !from.kind.is_message();
            let used = if silent { Impact::Translate } else { Impact::Note };
            differences.add(
                Rule::CardinalityChanged,
                used,
                Impact::Nothing,
                "one written, read as a list of one".into(),
            );
            step.fill = silent;
            FieldConversion::Wrap(conversion)
        }
        (_, ValueConversion::Keep) => FieldConversion::Keep,
        (_, conversion) => FieldConversion::Value(conversion),
    };
    child
}

/// Compares the types of a single value or element; an error names the rule that rejects the pair.
fn compare_value(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut Vec<Difference>,
) -> Result<ValueConversion, (Rule, String)> {
    let detail = || format!("{} written, {} read", from.kind.name(), to.kind.name());
    match (from.kind, to.kind) {
        (FieldType::Message(writer), FieldType::Message(reader))
        | (FieldType::Group(writer), FieldType::Group(reader)) => {
            Ok(ValueConversion::Child(context.pair_index(writer, reader)))
        }
        (FieldType::Enum(writer), FieldType::Enum(reader)) => {
            Ok(enum_values::compare(context, writer, reader, differences))
        }
        _ => {
            let domain = match (from.kind, from.whole()) {
                (FieldType::Enum(at), _) => {
                    let numbers =
                        context.writer.enums[at].values.iter().map(|value| i128::from(value.number));
                    ValueDomain::Whole(numbers.clone().min().unwrap_or(0), numbers.max().unwrap_or(0))
                }
                (_, Some((low, high))) => ValueDomain::Whole(low, high),
                (kind, None) => kind.domain(),
            };
            match fit(from.kind, domain, to.kind) {
                TypeFit::Same if from.kind == to.kind => Ok(ValueConversion::Keep),
                TypeFit::Same => {
                    let rule = Rule::TypeReencoded;
                    let detail = format!("{}: the same bytes", detail());
                    differences.push(Difference {
                        rule,
                        used: Impact::Names,
                        unused: Impact::Note,
                        at: None,
                        detail,
                    });
                    Ok(ValueConversion::Keep)
                }
                TypeFit::Convert => {
                    let rule = Rule::TypeReencoded;
                    let (used, unused) = (Impact::Translate, Impact::Translate);
                    differences.push(Difference { rule, used, unused, at: None, detail: detail() });
                    Ok(ValueConversion::Convert)
                }
                TypeFit::Narrowed => Err((Rule::TypeNarrowed, detail())),
                TypeFit::Apart => Err((Rule::TypeChanged, detail())),
            }
        }
    }
}

/// Compares the keys and values of a map.
fn compare_entries(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) -> Option<usize> {
    let (writer, reader) = (context.writer, context.reader);
    let parts = |model: &'_ Model, field: &Field| {
        let entry = field.kind.message_index().map(|at| &model.messages[at].fields);
        entry.and_then(|fields| Some((fields.get(&1)?.clone(), fields.get(&2)?.clone())))
    };
    let (Some((from_key, from_value)), Some((to_key, to_value))) = (parts(writer, from), parts(reader, to))
    else {
        return None;
    };
    let key = compare_value(context, &from_key, &to_key, &mut differences.differences);
    let below = compare_value(context, &from_value, &to_value, &mut differences.differences);
    match (key, below) {
        (Ok(ValueConversion::Keep), Ok(ValueConversion::Keep)) => None,
        (Ok(key), Ok(below)) => {
            let child = if let ValueConversion::Child(at) = below { Some(at) } else { None };
            step.conversion = FieldConversion::Map(key, below);
            child
        }
        (Err((rule, detail)), _) | (_, Err((rule, detail))) => {
            let unused = if to.required { Impact::Break } else { Impact::Translate };
            differences.add(rule, Impact::Break, unused, format!("entry: {detail}"));
            step.conversion = FieldConversion::Drop;
            None
        }
    }
}
