//! Compares the constraints of a field other than its type: ranges, lengths, presence, defaults and oneofs.

use super::context::ComparisonContext;
use super::conversion::FieldStep;
use super::difference::{Difference, DifferenceList, Impact};
use super::enum_values;
use crate::model::{Field, FieldCardinality, Message};
use crate::rules::{Direction, Rule};

/// Compares ranges and lengths: the written range must lie within the range that the reader's version
/// declares.
pub(crate) fn compare_ranges(
    direction: Direction,
    from: &Field,
    to: &Field,
    differences: &mut DifferenceList,
) {
    let writer_is_newer = direction == Direction::NewToOld;
    let or_unbounded = |bound: Option<String>| bound.unwrap_or_else(|| "unbounded".into());
    let (low, high) = match from.integer_range() {
        Some((low, high)) => (Some(low), Some(high)),
        None => (from.min.map(i128::from), from.max.map(i128::from)),
    };
    let below_min = to.min.is_some_and(|min| low.is_none_or(|low| low < i128::from(min)));
    let above_max = to.max.is_some_and(|max| high.is_none_or(|high| high > i128::from(max)));
    if below_min || above_max {
        let rule = if writer_is_newer { Rule::RangeWidened } else { Rule::RangeNarrowed };
        let format_bound = |bound: Option<i128>| or_unbounded(bound.map(|bound| bound.to_string()));
        let detail = format!(
            "{} to {} written, {} to {} read",
            format_bound(low),
            format_bound(high),
            format_bound(to.min.map(i128::from)),
            format_bound(to.max.map(i128::from))
        );
        differences.add(rule, Impact::Break, Impact::Nothing, detail);
    }
    let below_min_length = to.min_length.unwrap_or(0) > from.min_length.unwrap_or(0);
    let above_max_length =
        to.max_length.is_some_and(|high| from.max_length.is_none_or(|written| written > high));
    if below_min_length || above_max_length {
        let rule = if writer_is_newer { Rule::LengthWidened } else { Rule::LengthNarrowed };
        let format_bound = |bound: Option<u64>| or_unbounded(bound.map(|bound| bound.to_string()));
        let detail = format!(
            "length {} to {} written, {} to {} read",
            from.min_length.unwrap_or(0),
            format_bound(from.max_length),
            to.min_length.unwrap_or(0),
            format_bound(to.max_length)
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
        let impact = if from.kind.is_message() { Impact::Break } else { Impact::Translate };
        differences.add(
            Rule::FieldNeededMissing,
            impact,
            impact,
            "may be absent, and its reader requires it".into(),
        );
        step.fill = true;
    }
    if from.kind.is_message() {
        return;
    }
    if !from.explicit && to.explicit {
        let detail = "its writer omits the default, its reader distinguishes absent from default".into();
        differences.add(Rule::PresenceChanged, Impact::Translate, Impact::Nothing, detail);
        step.fill = true;
    }
    if from.default != to.default {
        let detail = format!(
            "an absent field means {:?} to its writer and {:?} to its reader",
            from.default, to.default
        );
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
    let written_members = || members().filter_map(|member| context.counterpart(writer, member));
    for other in written_members().filter(|other| other.number != from.number) {
        if from.oneof.is_none() || other.oneof != from.oneof {
            let detail = format!(
                "may be written together with {}, its reader retains only one of the two",
                other.name
            );
            differences.add(Rule::OneofJoined, Impact::Break, Impact::Note, detail);
            return;
        }
    }
    let Some(from_oneof) = from.oneof else { return };
    let known_numbers: Vec<u32> = written_members().map(|field| field.number).collect();
    let is_unknown =
        |field: &&Field| field.oneof == Some(from_oneof) && !known_numbers.contains(&field.number);
    if let Some(unknown) = writer.fields.values().find(is_unknown) {
        let reader_oneof = &reader.oneofs[oneof];
        differences.differences.push(Difference {
            rule: Rule::OneofMemberUnknown,
            impact_if_used: enum_values::unknown_impact(reader_oneof.unknown),
            impact_if_unused: Impact::Nothing,
            element: Some(reader_oneof.name.clone()),
            detail: format!("{} may be written, its reader does not know it", unknown.name),
        });
    }
}
