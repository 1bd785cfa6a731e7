//! A writer's enum beside a reader's.

use super::context::ComparisonContext;
use super::conversion::ValueConversion;
use super::difference::{Difference, Impact};
use crate::model::{Enum, EnumValue};
use crate::rules::{Direction, Rule};
use crate::schema_options::UnknownValuePolicy;

/// What a value unknown to a reader does, by the reader's schema.
pub(crate) fn unknown_effect(unknown: UnknownValuePolicy) -> Impact {
    match unknown {
        UnknownValuePolicy::Accepted => Impact::Note,
        UnknownValuePolicy::Rejected => Impact::Break,
        UnknownValuePolicy::Unstated => Impact::Intolerant,
    }
}

/// Compares two enums; gives what is to be done with values.
pub(crate) fn compare(
    context: &ComparisonContext,
    writer: usize,
    reader: usize,
    differences: &mut Vec<Difference>,
) -> ValueConversion {
    let (writer, reader) = (&context.writer.enums[writer], &context.reader.enums[reader]);
    let down = context.direction == Direction::Down;
    let newer = if down { writer } else { reader };
    let mut mapped = Vec::new();
    let mut add = |rule, used, at: &str, detail: String| {
        differences.push(Difference {
            rule,
            used,
            unused: Impact::Nothing,
            at: Some(at.to_string()),
            detail,
        });
    };
    for value in &writer.values {
        if !reader.values.iter().any(|known| known.number == value.number) {
            if let Some(known) = reader.named(&value.name) {
                let detail = format!("{} written, {} read", value.number, known.number);
                add(Rule::EnumValueRenumbered, Impact::Break, &value.name, detail);
                continue;
            }
            let rule = if down { Rule::EnumValueAdded } else { Rule::EnumValueRemoved };
            match stands_for(newer, reader, value) {
                Some(known) => {
                    let detail = format!("reads as {}, as declared", known.name);
                    add(rule, Impact::Translate, &value.name, detail);
                    mapped.push((value.number, known.number));
                }
                None => {
                    let effect = if reader.closed { Impact::Break } else { unknown_effect(reader.unknown) };
                    let detail =
                        format!("number {} may be written, its reader does not know it", value.number);
                    add(rule, effect, &value.name, detail);
                }
            }
            continue;
        }
        let same = |known: &&EnumValue| known.number == value.number;
        let aliases = || writer.values.iter().filter(|alias| alias.number == value.number);
        let was = |known: &EnumValue, alias: &EnumValue| {
            let (new, old) = if down { (alias, known) } else { (known, alias) };
            new.name == old.name || new.former_names.contains(&old.name)
        };
        let known: Vec<&EnumValue> = reader.values.iter().filter(same).collect();
        let Some(like) = known.iter().find(|known| aliases().any(|alias| was(known, alias))) else {
            let detail = format!("number {} stands for it, {} is read", value.number, known[0].name);
            add(Rule::EnumNumberReused, Impact::Break, &value.name, detail);
            continue;
        };
        if like.meaning != value.meaning {
            let detail = format!("means {} to its writer and {} to its reader", value.meaning, like.meaning);
            add(Rule::MeaningChanged, Impact::Break, &value.name, detail);
        } else if like.name != value.name && !aliases().any(|alias| alias.name == like.name) {
            add(Rule::FieldRenamed, Impact::Names, &value.name, format!("read as {}", like.name));
        }
    }
    if mapped.is_empty() {
        ValueConversion::Keep
    } else {
        ValueConversion::Enum(mapped)
    }
}

/// The value known to the reader that stands for another, through as many declarations as it takes.
fn stands_for<'e>(newer: &Enum, reader: &'e Enum, value: &EnumValue) -> Option<&'e EnumValue> {
    let mut name = value.name.as_str();
    // A chain is no longer than the values there are: declarations in a circle end here.
    for _ in 0..=newer.values.len() + newer.removed.len() {
        let by_value = newer.named(name).and_then(|one| one.reads_as.as_deref());
        name = by_value.or_else(|| newer.removed.get(name).map(String::as_str))?;
        if let Some(known) = reader.named(name) {
            return Some(known);
        }
    }
    None
}
