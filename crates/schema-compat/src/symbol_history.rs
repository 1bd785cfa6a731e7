//! What numbers and names have stood for in any version of a publisher: the part of history that outlives versions.

use crate::model::{Enum, Message, Model};
use crate::rules::{Direction, Finding, Rule, Severity};
use std::collections::{BTreeMap, BTreeSet};

/// One message's or enum's history.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct TypeHistory {
    /// Every name that a number had.
    pub(crate) names: BTreeMap<i64, BTreeSet<String>>,
    /// First and last number, both included.
    pub(crate) reserved: BTreeSet<(i64, i64)>,
    pub(crate) reserved_names: BTreeSet<String>,
    /// Names in the version absorbed last.
    pub(crate) present: BTreeSet<String>,
}

/// The history of one publisher's messages and enums, by full name.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct SymbolHistory {
    pub(crate) entries: BTreeMap<String, TypeHistory>,
}

/// A message's or enum's numbers, names and reservations, in one form.
struct TypeSymbols<'m> {
    name: &'m str,
    former: &'m [String],
    /// Number, name, former names, former numbers.
    members: Vec<(i64, &'m str, &'m [String], &'m [u32])>,
    reserved: Vec<(i64, i64)>,
    reserved_names: &'m BTreeSet<String>,
    rules: [Rule; 2],
}

fn of_message(message: &Message) -> TypeSymbols<'_> {
    let member = |field: &'_ crate::model::Field| i64::from(field.number);
    TypeSymbols {
        name: &message.name,
        former: &message.former_names,
        members: (message.fields.values())
            .map(|field| {
                (member(field), field.name.as_str(), &field.former_names[..], &field.former_numbers[..])
            })
            .collect(),
        reserved: message.reserved.iter().map(|&(least, most)| (i64::from(least), i64::from(most))).collect(),
        reserved_names: &message.reserved_names,
        rules: [Rule::FieldNumberReused, Rule::FieldRenumbered],
    }
}

fn of_enum(one: &Enum) -> TypeSymbols<'_> {
    TypeSymbols {
        name: &one.name,
        former: &[],
        members: (one.values.iter())
            .map(|value| (i64::from(value.number), value.name.as_str(), &value.former_names[..], &[][..]))
            .collect(),
        reserved: one.reserved.iter().map(|&(least, most)| (i64::from(least), i64::from(most))).collect(),
        reserved_names: &one.reserved_names,
        rules: [Rule::EnumNumberReused, Rule::EnumValueRenumbered],
    }
}

fn all_symbols(model: &Model) -> impl Iterator<Item = TypeSymbols<'_>> {
    model.messages.iter().map(of_message).chain(model.enums.iter().map(of_enum))
}

impl SymbolHistory {
    /// Numbers and names that are remembered.
    pub(crate) fn size(&self) -> usize {
        let entry = |one: &TypeHistory| {
            1 + one.reserved.len()
                + one.reserved_names.len()
                + one.names.values().map(BTreeSet::len).sum::<usize>()
        };
        self.entries.values().map(entry).sum()
    }

    /// Remembers a version.
    pub(crate) fn absorb(&mut self, model: &Model) {
        for symbols in all_symbols(model) {
            // A renamed message goes on with the history of its former name.
            let inherited: Vec<TypeHistory> =
                symbols.former.iter().filter_map(|name| self.entries.get(name)).cloned().collect();
            let entry = self.entries.entry(symbols.name.to_string()).or_default();
            for old in inherited {
                entry.reserved.extend(old.reserved);
                entry.reserved_names.extend(old.reserved_names);
                for (number, names) in old.names {
                    entry.names.entry(number).or_default().extend(names);
                }
            }
            entry.present = symbols.members.iter().map(|(_, name, ..)| name.to_string()).collect();
            entry.reserved.extend(&symbols.reserved);
            entry.reserved_names.extend(symbols.reserved_names.iter().cloned());
            for (number, name, ..) in &symbols.members {
                entry.names.entry(*number).or_default().insert(name.to_string());
            }
        }
    }

    /// What a new version does to numbers and names that earlier ones gave away or set aside.
    pub(crate) fn check(&self, model: &Model) -> Vec<Finding> {
        let mut found = Vec::new();
        for symbols in all_symbols(model) {
            let entries = std::iter::once(symbols.name).chain(symbols.former.iter().map(String::as_str));
            for entry in entries.filter_map(|name| self.entries.get(name)) {
                entry.check(&symbols, &mut found);
            }
        }
        found.sort();
        found.dedup();
        found
    }
}

impl TypeHistory {
    fn check(&self, symbols: &TypeSymbols, found: &mut Vec<Finding>) {
        let mut add = |rule, name: &str, detail: String| {
            let path =
                if name.is_empty() { symbols.name.to_string() } else { format!("{}/{name}", symbols.name) };
            found.push(Finding {
                rule,
                path,
                direction: Direction::History,
                severity: Severity::Break,
                detail,
            });
        };
        let reserved =
            |number: i64| self.reserved.iter().any(|&(least, most)| least <= number && number <= most);
        for (number, name, former, former_numbers) in &symbols.members {
            if reserved(*number) {
                add(Rule::ReservedNumberUsed, name, format!("number {number} was reserved"));
            }
            if self.reserved_names.contains(*name) {
                add(Rule::ReservedNameUsed, name, "the name was reserved".into());
            }
            let known = |one: &String| one == name || former.contains(one);
            let stranger = self.names.get(number).and_then(|names| names.iter().find(|one| !known(one)));
            if let Some(stranger) = stranger {
                // An enum's aliases stand beside each other under one number.
                let alias =
                    symbols.members.iter().any(|(same, other, ..)| same == number && other == stranger);
                if !alias {
                    add(symbols.rules[0], name, format!("number {number} was {stranger}"));
                }
            }
            let declared = |number: i64| former_numbers.iter().any(|&one| i64::from(one) == number);
            let elsewhere = self.names.iter().find(|(old, names)| **old != *number && names.contains(*name));
            if let Some((old, _)) = elsewhere.filter(|(old, _)| !declared(**old)) {
                let rule =
                    if self.present.contains(*name) { symbols.rules[1] } else { Rule::FieldNameReused };
                add(rule, name, format!("had number {old}, now {number}"));
            }
        }
        let kept = |least: i64, most: i64| {
            // Each stretch must lie within what is reserved now, however that is cut up.
            let mut at = least;
            while at <= most {
                match symbols
                    .reserved
                    .iter()
                    .filter(|(from, to)| *from <= at && at <= *to)
                    .map(|(_, to)| *to)
                    .max()
                {
                    Some(end) => at = end.saturating_add(1),
                    None => return false,
                }
            }
            true
        };
        for &(least, most) in self.reserved.iter().filter(|(least, most)| !kept(*least, *most)) {
            add(Rule::ReservedDropped, "", format!("{least} to {most} were reserved"));
        }
        for name in self.reserved_names.difference(symbols.reserved_names) {
            add(Rule::ReservedDropped, "", format!("the name {name} was reserved"));
        }
    }
}
