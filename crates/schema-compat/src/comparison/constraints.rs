//! Constraints of a field beside its type: ranges, lengths, presence, defaults and oneofs.

use super::context::ComparisonContext;
use super::conversion::FieldStep;
use super::difference::{Difference, DifferenceList, Impact};
use super::enum_values;
use crate::model::{Field, FieldCardinality, Message};
use crate::rules::{Direction, Rule};

/// Compares ranges and lengths: the written range must lie within the one that the reader's version declares.
pub(crate) fn compare_ranges(
    direction: Direction,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
) {
    let down = direction == Direction::Down;
    let text = |bound: Option<String>| bound.unwrap_or_else(|| "without bound".into());
    let (low, high) = match from.integer_range() {
        Some((low, high)) => (Some(low), Some(high)),
        None => (from.min.map(i128::from), from.max.map(i128::from)),
    };
    let under = to.min.is_some_and(|min| low.is_none_or(|low| low < i128::from(min)));
    let over = to.max.is_some_and(|max| high.is_none_or(|high| high > i128::from(max)));
    if under || over {
        let rule = if down { Rule::RangeWidened } else { Rule::RangeNarrowed };
        let show = |bound: Option<i128>| text(bound.map(|bound| bound.to_string()));
        let detail = format!(
            "{} to {} written, {} to {} read",
            show(low),
            show(high),
            show(to.min.map(i128::from)),
            show(to.max.map(i128::from))
        );
        differences.add(rule, Impact::Break, Impact::Nothing, detail);
    }
    let short = to.min_length.unwrap_or(0) > from.min_length.unwrap_or(0);
    let long = to.max_length.is_some_and(|high| from.max_length.is_none_or(|written| written > high));
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

/// Compares what an absent field means: required, explicit presence, and the default value.
pub(crate) fn compare_presence(
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
    step: &mut FieldStep,
) {
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

/// Compares oneof membership: a reader retains only the last member that it decodes.
pub(crate) fn compare_oneofs(
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
    let is_unknown = |field: &&Field| field.oneof == Some(from_oneof) && !known.contains(&field.number);
    if let Some(unknown) = writer.fields.values().find(is_unknown) {
        let one = &reader.oneofs[oneof];
        differences.differences.push(Difference {
            rule: Rule::OneofMemberUnknown,
            used: enum_values::unknown_impact(one.unknown),
            unused: Impact::Nothing,
            at: Some(one.name.clone()),
            detail: format!("{} may be written, its reader does not know it", unknown.name),
        });
    }
}
