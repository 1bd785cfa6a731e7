//! Compares a writer's enum with a reader's.

use super::context::ComparisonContext;
use super::conversion::ValueConversion;
use super::difference::{Difference, Impact};
use crate::model::{Enum, EnumValue};
use crate::rules::{Direction, Rule};
use crate::schema_options::UnknownValuePolicy;

/// The effect of an unknown value under the policy in the reader's schema.
pub(crate) fn unknown_impact(unknown: UnknownValuePolicy) -> Impact {
    match unknown {
        UnknownValuePolicy::Accepted => Impact::Note,
        UnknownValuePolicy::Rejected => Impact::Break,
        UnknownValuePolicy::Unstated => Impact::BreakIfIntolerant,
    }
}

/// Compares two enums, given by their indexes; returns the conversion of their values.
pub(crate) fn compare(
    context: &ComparisonContext,
    writer: usize,
    reader: usize,
    differences: &mut Vec<Difference>,
) -> ValueConversion {
    let mut comparison = EnumComparison {
        writer: &context.writer.enums[writer],
        reader: &context.reader.enums[reader],
        writer_is_newer: context.direction == Direction::NewToOld,
        differences,
        replacements: Vec::new(),
    };
    comparison.compare_values();
    if comparison.replacements.is_empty() {
        ValueConversion::Keep
    } else {
        ValueConversion::Enum(comparison.replacements)
    }
}

/// A writer's enum and a reader's, with the differences and replacements found so far.
struct EnumComparison<'a> {
    writer: &'a Enum,
    reader: &'a Enum,
    writer_is_newer: bool,
    differences: &'a mut Vec<Difference>,
    /// Pairs of a number that the reader does not know and the number that replaces it.
    replacements: Vec<(i32, i32)>,
}

impl EnumComparison<'_> {
    fn add(&mut self, rule: Rule, impact_if_used: Impact, value: &EnumValue, detail: String) {
        let element = Some(value.name.clone());
        self.differences.push(Difference {
            rule,
            impact_if_used,
            impact_if_unused: Impact::Nothing,
            element,
            detail,
        });
    }

    fn compare_values(&mut self) {
        for value in &self.writer.values {
            if self.reader.values.iter().any(|known| known.number == value.number) {
                self.compare_known_number(value);
            } else {
                self.compare_unknown_number(value);
            }
        }
    }

    /// Compares a value whose number the reader does not have.
    fn compare_unknown_number(&mut self, value: &EnumValue) {
        if let Some(known) = self.reader.value_named(&value.name) {
            let detail = format!("{} written, {} read", value.number, known.number);
            self.add(Rule::EnumValueRenumbered, Impact::Break, value, detail);
            return;
        }
        let rule = if self.writer_is_newer { Rule::EnumValueAdded } else { Rule::EnumValueRemoved };
        let newer = if self.writer_is_newer { self.writer } else { self.reader };
        if let Some(known) = declared_replacement(newer, self.reader, value) {
            let detail = format!("reads as {}, as declared", known.name);
            self.add(rule, Impact::Translate, value, detail);
            self.replacements.push((value.number, known.number));
            return;
        }
        let impact = if self.reader.closed { Impact::Break } else { unknown_impact(self.reader.unknown) };
        let detail = format!("number {} may be written, its reader does not know it", value.number);
        self.add(rule, impact, value, detail);
    }

    /// Compares a value whose number the reader has, possibly under several names.
    fn compare_known_number(&mut self, value: &EnumValue) {
        let aliases = || self.writer.values.iter().filter(|alias| alias.number == value.number);
        let mut known = self.reader.values.iter().filter(|known| known.number == value.number).peekable();
        let first_name = known.peek().map_or("", |first| first.name.as_str());
        let Some(same_value) = known.find(|known| aliases().any(|alias| self.is_same_value(known, alias)))
        else {
            let detail = format!("number {} is read as {first_name}", value.number);
            self.add(Rule::EnumNumberReused, Impact::Break, value, detail);
            return;
        };
        if same_value.meaning != value.meaning {
            let detail =
                format!("means {} to its writer and {} to its reader", value.meaning, same_value.meaning);
            self.add(Rule::MeaningChanged, Impact::Break, value, detail);
        } else if same_value.name != value.name && !aliases().any(|alias| alias.name == same_value.name) {
            self.add(
                Rule::FieldRenamed,
                Impact::TranslateForJson,
                value,
                format!("read as {}", same_value.name),
            );
        }
    }

    /// Whether a reader's and a writer's value have the same name, or the newer declares the older name as
    /// former.
    fn is_same_value(&self, read: &EnumValue, written: &EnumValue) -> bool {
        let (new, old) = if self.writer_is_newer { (written, read) } else { (read, written) };
        new.name == old.name || new.former_names.contains(&old.name)
    }
}

/// The value known to the reader that replaces `value`, following a chain of declarations if necessary.
fn declared_replacement<'e>(newer: &Enum, reader: &'e Enum, value: &EnumValue) -> Option<&'e EnumValue> {
    let mut name = value.name.as_str();
    // A chain cannot be longer than the number of values: the bound terminates circular declarations.
    for _ in 0..=newer.values.len() + newer.removed.len() {
        let fallback = newer.value_named(name).and_then(|value| value.reads_as.as_deref());
        name = fallback.or_else(|| newer.removed.get(name).map(String::as_str))?;
        if let Some(known) = reader.value_named(name) {
            return Some(known);
        }
    }
    None
}
