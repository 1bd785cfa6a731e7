//! The numbers and names that any version of a publisher has used or reserved. The history outlives the
//! versions themselves, so that a retired number is never reused.

use crate::model::{Enum, Message, Model};
use crate::rules::{Direction, Finding, Rule, Severity};
use std::collections::{BTreeMap, BTreeSet};

/// The numbers and names that one message or enum has used or reserved.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct TypeHistory {
    /// Every name that each number had.
    pub(crate) names: BTreeMap<i64, BTreeSet<String>>,
    /// Reserved ranges: first and last number, both included.
    pub(crate) reserved: BTreeSet<(i64, i64)>,
    pub(crate) reserved_names: BTreeSet<String>,
    /// Names of the message's fields or the enum's values in the version recorded last.
    pub(crate) present: BTreeSet<String>,
}

/// The history of one publisher's messages and enums, by full name.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct SymbolHistory {
    pub(crate) entries: BTreeMap<String, TypeHistory>,
}

/// The numbers, names and reservations of a message or an enum in a common form.
struct TypeSymbols<'m> {
    name: &'m str,
    former_names: &'m [String],
    members: Vec<Member<'m>>,
    reserved: Vec<(i64, i64)>,
    reserved_names: &'m BTreeSet<String>,
    /// The rule for a number that belonged to another member.
    number_reused: Rule,
    /// The rule for a member that had another number.
    renumbered: Rule,
}

impl TypeSymbols<'_> {
    /// Whether all numbers from `first` to `last` are reserved, by one range or by several.
    fn reserves(&self, first: i64, last: i64) -> bool {
        let mut number = first;
        while number <= last {
            let ranges = self.reserved.iter().filter(|(from, to)| *from <= number && number <= *to);
            let Some(end) = ranges.map(|(_, to)| *to).max() else { return false };
            number = end.saturating_add(1);
        }
        true
    }
}

/// A field or an enum value.
struct Member<'m> {
    number: i64,
    name: &'m str,
    former_names: &'m [String],
    former_numbers: &'m [u32],
}

fn message_symbols(message: &Message) -> TypeSymbols<'_> {
    TypeSymbols {
        name: &message.name,
        former_names: &message.former_names,
        members: (message.fields.values())
            .map(|field| Member {
                number: i64::from(field.number),
                name: &field.name,
                former_names: &field.former_names,
                former_numbers: &field.former_numbers,
            })
            .collect(),
        reserved: message.reserved.iter().map(|&(first, last)| (i64::from(first), i64::from(last))).collect(),
        reserved_names: &message.reserved_names,
        number_reused: Rule::FieldNumberReused,
        renumbered: Rule::FieldRenumbered,
    }
}

fn enum_symbols(enumeration: &Enum) -> TypeSymbols<'_> {
    TypeSymbols {
        name: &enumeration.name,
        former_names: &[],
        members: (enumeration.values.iter())
            .map(|value| Member {
                number: i64::from(value.number),
                name: &value.name,
                former_names: &value.former_names,
                former_numbers: &[],
            })
            .collect(),
        reserved: enumeration
            .reserved
            .iter()
            .map(|&(first, last)| (i64::from(first), i64::from(last)))
            .collect(),
        reserved_names: &enumeration.reserved_names,
        number_reused: Rule::EnumNumberReused,
        renumbered: Rule::EnumValueRenumbered,
    }
}

fn all_symbols(model: &Model) -> impl Iterator<Item = TypeSymbols<'_>> {
    model.messages.iter().map(message_symbols).chain(model.enums.iter().map(enum_symbols))
}

impl SymbolHistory {
    /// The number of numbers and names recorded.
    pub(crate) fn size(&self) -> usize {
        let entry = |history: &TypeHistory| {
            1 + history.reserved.len()
                + history.reserved_names.len()
                + history.names.values().map(BTreeSet::len).sum::<usize>()
        };
        self.entries.values().map(entry).sum()
    }

    /// Records the numbers and names of a version.
    pub(crate) fn record(&mut self, model: &Model) {
        for symbols in all_symbols(model) {
            // A renamed message inherits the history of its former name.
            let inherited: Vec<TypeHistory> =
                symbols.former_names.iter().filter_map(|name| self.entries.get(name)).cloned().collect();
            let entry = self.entries.entry(symbols.name.to_string()).or_default();
            for old in inherited {
                entry.reserved.extend(old.reserved);
                entry.reserved_names.extend(old.reserved_names);
                for (number, names) in old.names {
                    entry.names.entry(number).or_default().extend(names);
                }
            }
            entry.present = symbols.members.iter().map(|member| member.name.to_string()).collect();
            entry.reserved.extend(&symbols.reserved);
            entry.reserved_names.extend(symbols.reserved_names.iter().cloned());
            for member in &symbols.members {
                entry.names.entry(member.number).or_default().insert(member.name.to_string());
            }
        }
    }

    /// Findings for numbers and names of a new version that earlier versions used differently or reserved.
    pub(crate) fn check(&self, model: &Model) -> Vec<Finding> {
        let mut findings = Vec::new();
        for symbols in all_symbols(model) {
            let entries =
                std::iter::once(symbols.name).chain(symbols.former_names.iter().map(String::as_str));
            for entry in entries.filter_map(|name| self.entries.get(name)) {
                entry.check(&symbols, &mut findings);
            }
        }
        findings.sort();
        findings.dedup();
        findings
    }
}

/// A breaking finding at a member of a type, or at the type itself if `member` is empty.
fn finding(symbols: &TypeSymbols, rule: Rule, member: &str, detail: String) -> Finding {
    let path =
        if member.is_empty() { symbols.name.to_string() } else { format!("{}/{member}", symbols.name) };
    Finding { rule, path, direction: Direction::History, severity: Severity::Break, detail }
}

impl TypeHistory {
    fn check(&self, symbols: &TypeSymbols, findings: &mut Vec<Finding>) {
        for member in &symbols.members {
            self.check_reservations(symbols, member, findings);
            self.check_reuse(symbols, member, findings);
        }
        for &(first, last) in &self.reserved {
            if !symbols.reserves(first, last) {
                let detail = format!("{first} to {last} were reserved");
                findings.push(finding(symbols, Rule::ReservedDropped, "", detail));
            }
        }
        for name in self.reserved_names.difference(symbols.reserved_names) {
            let detail = format!("the name {name} was reserved");
            findings.push(finding(symbols, Rule::ReservedDropped, "", detail));
        }
    }

    /// A member must not use a number or a name that some version reserved.
    fn check_reservations(&self, symbols: &TypeSymbols, member: &Member, findings: &mut Vec<Finding>) {
        let number = member.number;
        if self.reserved.iter().any(|&(first, last)| first <= number && number <= last) {
            let detail = format!("number {number} was reserved");
            findings.push(finding(symbols, Rule::ReservedNumberUsed, member.name, detail));
        }
        if self.reserved_names.contains(member.name) {
            let detail = "the name was reserved".to_string();
            findings.push(finding(symbols, Rule::ReservedNameUsed, member.name, detail));
        }
    }

    /// A number must keep its name, and a name its number, unless the change is declared.
    fn check_reuse(&self, symbols: &TypeSymbols, member: &Member, findings: &mut Vec<Finding>) {
        let number = member.number;
        let is_known = |name: &String| name == member.name || member.former_names.contains(name);
        let other_name = self.names.get(&number).and_then(|names| names.iter().find(|name| !is_known(name)));
        if let Some(other_name) = other_name {
            // Aliases of an enum value share one number.
            let is_alias =
                symbols.members.iter().any(|one| one.number == number && one.name == other_name.as_str());
            if !is_alias {
                let detail = format!("number {number} was {other_name}");
                findings.push(finding(symbols, symbols.number_reused, member.name, detail));
            }
        }
        let is_declared =
            |number: i64| member.former_numbers.iter().any(|&former| i64::from(former) == number);
        let other_number =
            self.names.iter().find(|(old, names)| **old != number && names.contains(member.name));
        if let Some((old, _)) = other_number.filter(|(old, _)| !is_declared(**old)) {
            let is_present = self.present.contains(member.name);
            let rule = if is_present { symbols.renumbered } else { Rule::FieldNameReused };
            let detail = format!("had number {old}, now {number}");
            findings.push(finding(symbols, rule, member.name, detail));
        }
    }
}
