//! One field of a reader beside what the writer has for it.

use super::context::ComparisonContext;
use super::conversion::{FieldConversion, FieldStep, ValueConversion};
use super::difference::{Difference, FieldComparison, Impact};
use super::enum_values;
use crate::field_type::{decodes, fit, FieldType, TypeFit, ValueDomain};
use crate::model::{Field, FieldCardinality, Message};
use crate::rules::{Direction, Rule};

/// The differences of one field.
struct DifferenceList {
    differences: Vec<Difference>,
}

impl DifferenceList {
    fn add(&mut self, rule: Rule, used: Impact, unused: Impact, detail: String) {
        self.differences.push(Difference { rule, used, unused, at: None, detail });
    }
}

/// Compares the reader's field `to` with what the writer's message has for it.
pub(crate) fn compare(
    context: &mut ComparisonContext,
    writer: &Message,
    reader: &Message,
    to: &Field,
) -> (FieldComparison, FieldStep) {
    let mut differences = DifferenceList { differences: Vec::new() };
    let mut step = FieldStep { from: None, to: to.number, fill: false, conversion: FieldConversion::Keep };
    let mut child = None;
    let counterpart = context.counterpart(writer, to);
    match counterpart {
        None => missing(context, writer, to, &mut differences, &mut step),
        Some(from) => {
            step.from = Some(from.number);
            if from.name != to.name {
                let detail = format!("written as {}", from.name);
                differences.add(Rule::FieldRenamed, Impact::Names, Impact::Names, detail);
            }
            if from.number != to.number {
                let detail = format!("number {} is written for {}, as declared", from.number, to.number);
                differences.add(Rule::FieldRenumbered, Impact::Translate, Impact::Note, detail);
            }
            if from.meaning != to.meaning {
                let detail = format!("means {} to its writer and {} to its reader", from.meaning, to.meaning);
                differences.add(Rule::MeaningChanged, Impact::Break, Impact::Note, detail);
            }
            child = values(context, from, to, &mut differences, &mut step);
            if step.conversion != FieldConversion::Drop {
                ranges(context.direction, from, to, &mut differences);
                absence(from, to, &mut differences, &mut step);
            }
            oneofs(context, writer, reader, from, to, &mut differences);
        }
    }
    if let Some(stranger) = writer.fields.get(&to.number) {
        let taken = counterpart.is_none_or(|field| field.number != to.number);
        if taken && step.from.is_none() && step.conversion == FieldConversion::Keep {
            let accepted =
                (stranger.kind, stranger.cardinality != FieldCardinality::Singular, stranger.packed);
            let safe = decodes(accepted, (to.kind, to.cardinality != FieldCardinality::Singular));
            if !safe || counterpart.is_none() {
                step = FieldStep {
                    from: Some(to.number),
                    to: to.number,
                    fill: false,
                    conversion: FieldConversion::Drop,
                };
            }
        }
    }
    let needed = to.needed || to.required;
    (FieldComparison { name: to.name.clone(), needed, differences: differences.differences, child }, step)
}

/// The writer has nothing for the field.
fn missing(
    context: &ComparisonContext,
    writer: &Message,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) {
    if let Some(stranger) = writer.fields.get(&to.number) {
        let detail = format!("number {} is written for {}", to.number, stranger.name);
        differences.add(Rule::FieldNumberReused, Impact::Break, Impact::Break, detail);
        return;
    }
    if let Some(moved) = writer.field_named(&to.name) {
        let detail = format!("number {} is written for {}, not declared", moved.number, to.number);
        differences.add(Rule::FieldRenumbered, Impact::Break, Impact::Note, detail);
        return;
    }
    let unused = if to.required { Impact::Break } else { Impact::Nothing };
    let (rule, stands) = match context.direction {
        Direction::Down => (Rule::FieldRemovedInUse, writer.removed.get(&to.name)),
        _ => (Rule::FieldNeededMissing, to.old_reads_as.as_ref()),
    };
    match stands {
        Some(text) => {
            step.conversion = FieldConversion::Default(text.clone());
            differences.add(
                rule,
                Impact::Translate,
                Impact::Translate,
                format!("reads as {text}, as declared"),
            );
        }
        None if context.direction == Direction::Down => {
            differences.add(
                rule,
                Impact::Break,
                unused,
                format!("number {} is no longer written", to.number),
            );
        }
        None if to.needed || to.required => {
            differences.add(rule, Impact::Break, unused, "older records lack it".into());
        }
        None => {}
    }
}

/// Types and cardinality. Gives the pair of messages below.
fn values(
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
        return entries(context, from, to, differences, step);
    }
    let conversion = match value(context, from, to, &mut differences.differences) {
        Ok(conversion) => conversion,
        Err((rule, detail)) => {
            drop(differences, step, rule, detail, safe);
            return None;
        }
    };
    let child = if let ValueConversion::Child(at) = conversion { Some(at) } else { None };
    step.conversion = match (from.cardinality, conversion) {
        (FieldCardinality::Singular, conversion) if to.cardinality == FieldCardinality::Repeated => {
            // Absent and default are one to such a writer: the list of one must not come out empty.
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

/// A single value's types, or an element's.
fn value(
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
                (_, Some((least, most))) => ValueDomain::Whole(least, most),
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

/// A map's keys and values.
fn entries(
    context: &mut ComparisonContext,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) -> Option<usize> {
    let (writer, reader) = (context.writer, context.reader);
    let parts = |model: &'_ crate::model::Model, field: &Field| {
        let entry = field.kind.message_index().map(|at| &model.messages[at].fields);
        entry.and_then(|fields| Some((fields.get(&1)?.clone(), fields.get(&2)?.clone())))
    };
    let (Some((from_key, from_value)), Some((to_key, to_value))) = (parts(writer, from), parts(reader, to))
    else {
        return None;
    };
    let key = value(context, &from_key, &to_key, &mut differences.differences);
    let below = value(context, &from_value, &to_value, &mut differences.differences);
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

/// Ranges and lengths: what is written must lie within what the reader was promised.
fn ranges(direction: Direction, from: &Field, to: &Field, differences: &mut DifferenceList) {
    let down = direction == Direction::Down;
    let text = |bound: Option<String>| bound.unwrap_or_else(|| "without bound".into());
    let (least, most) = match from.whole() {
        Some((least, most)) => (Some(least), Some(most)),
        None => (from.min.map(i128::from), from.max.map(i128::from)),
    };
    let under = to.min.is_some_and(|min| least.is_none_or(|least| least < i128::from(min)));
    let over = to.max.is_some_and(|max| most.is_none_or(|most| most > i128::from(max)));
    if under || over {
        let rule = if down { Rule::RangeWidened } else { Rule::RangeNarrowed };
        let show = |bound: Option<i128>| text(bound.map(|bound| bound.to_string()));
        let detail = format!(
            "{} to {} written, {} to {} read",
            show(least),
            show(most),
            show(to.min.map(i128::from)),
            show(to.max.map(i128::from))
        );
        differences.add(rule, Impact::Break, Impact::Nothing, detail);
    }
    let short = to.min_length.unwrap_or(0) > from.min_length.unwrap_or(0);
    let long = to.max_length.is_some_and(|most| from.max_length.is_none_or(|written| written > most));
    if short || long {
        let rule = if down { Rule::LengthWidened } else { Rule::LengthNarrowed };
        let show = |bound: Option<u64>| text(bound.map(|bound| bound.to_string()));
        let detail = format!(
            "length {} to {} written, {} to {} read",
            from.min_length.unwrap_or(0),
            show(from.max_length),
            to.min_length.unwrap_or(0),
            show(to.max_length)
        );
        differences.add(rule, Impact::Break, Impact::Nothing, detail);
    }
}

/// What an absent field stands for.
fn absence(from: &Field, to: &Field, differences: &mut DifferenceList, step: &mut FieldStep) {
    if from.cardinality != FieldCardinality::Singular || to.cardinality != FieldCardinality::Singular {
        return;
    }
    if to.required && !from.required {
        let effect = if from.kind.is_message() { Impact::Break } else { Impact::Translate };
        differences.add(
            Rule::FieldNeededMissing,
            effect,
            effect,
            "may be absent, and its reader requires it".into(),
        );
        step.fill = true;
    }
    if from.kind.is_message() {
        return;
    }
    if !from.explicit && to.explicit {
        let detail = "its writer leaves the default out, its reader tells absent from default".into();
        differences.add(Rule::PresenceChanged, Impact::Translate, Impact::Nothing, detail);
        step.fill = true;
    }
    if from.default != to.default {
        let detail = format!("absent stands for {:?} written, {:?} read", from.default, to.default);
        differences.add(Rule::DefaultChanged, Impact::Translate, Impact::Nothing, detail);
        step.fill = true;
    }
}

/// Oneofs: a reader keeps the last member that it meets.
fn oneofs(
    context: &ComparisonContext,
    writer: &Message,
    reader: &Message,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
) {
    let Some(oneof) = to.oneof else { return };
    let members = || reader.fields.values().filter(move |field| field.oneof == Some(oneof));
    let written = || members().filter_map(|member| context.counterpart(writer, member));
    for other in written().filter(|other| other.number != from.number) {
        if from.oneof.is_none() || other.oneof != from.oneof {
            let detail = format!("may be written together with {}, is read as one of the two", other.name);
            differences.add(Rule::OneofJoined, Impact::Break, Impact::Note, detail);
            return;
        }
    }
    let Some(from_oneof) = from.oneof else { return };
    let known: Vec<u32> = written().map(|field| field.number).collect();
    let strange = |field: &&Field| field.oneof == Some(from_oneof) && !known.contains(&field.number);
    if let Some(stranger) = writer.fields.values().find(strange) {
        let one = &reader.oneofs[oneof];
        differences.differences.push(Difference {
            rule: Rule::OneofMemberUnknown,
            used: enum_values::unknown_effect(one.unknown),
            unused: Impact::Nothing,
            at: Some(one.name.clone()),
            detail: format!("{} may be written, its reader does not know it", stranger.name),
        });
    }
}
