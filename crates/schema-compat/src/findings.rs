//! Evaluates a comparison for one reader, according to the fields that the reader uses.

use crate::comparison::difference::{Difference, Impact, SchemaComparison};
use crate::limits::MAX_VISITED_PLACES;
use crate::model::Model;
use crate::rules::{Finding, Rule, Severity};
use crate::usage::{ReaderUsage, RecordEncoding, UsageNode, UsageTree};
use std::collections::{BTreeSet, HashSet};

/// Collects findings, each combination of rule, path and detail once.
struct FindingCollector<'a> {
    comparison: &'a SchemaComparison,
    usage: &'a ReaderUsage,
    findings: Vec<Finding>,
    reported: BTreeSet<(Rule, String, String)>,
}

/// A pair of messages as it is reached along one path.
struct Place {
    /// Index of the pair of messages.
    pair: usize,
    /// The reader's use of the message.
    usage: UsageNode,
    path: String,
}

impl FindingCollector<'_> {
    /// Reports the findings at one place and queues the places below it.
    fn visit(&mut self, place: &Place, tree: &UsageTree, reader: &Model, pending: &mut Vec<Place>) {
        let comparison = self.comparison;
        let message = &comparison.message_comparisons[place.pair];
        let is_used = place.usage != UsageNode::Unused;
        let separator = if place.path.contains('/') { '.' } else { '/' };
        let path_prefix = format!("{}{separator}", place.path);
        for name in tree.fields(place.usage) {
            if reader.messages[message.reader].field_named(name).is_none() {
                let detail = "no such field in the reader's version";
                self.report(Rule::UseUnknown, format!("{path_prefix}{name}"), Severity::Break, detail);
            }
        }
        for difference in &message.differences {
            self.add_difference(difference, is_used, &place.path, &path_prefix);
        }
        for field in &message.fields {
            // A needed field counts as used only where the reader uses the message that holds it.
            let usage = match tree.field(place.usage, &field.name) {
                UsageNode::Unused if field.needed && is_used => UsageNode::All,
                declared => declared,
            };
            let path = format!("{path_prefix}{}", field.name);
            for difference in &field.differences {
                self.add_difference(difference, usage != UsageNode::Unused, &path, &path_prefix);
            }
            if let Some(pair) = field.child_pair {
                pending.push(Place { pair, usage, path });
            }
        }
    }

    /// Reports a difference with the severity that it has for this reader.
    fn add_difference(&mut self, difference: &Difference, is_used: bool, path: &str, path_prefix: &str) {
        let severity = match if is_used { difference.impact_if_used } else { difference.impact_if_unused } {
            Impact::Nothing => return,
            Impact::Note => Severity::Note,
            Impact::TranslateForJson if self.usage.encoding == RecordEncoding::Json => Severity::Translate,
            Impact::TranslateForJson => Severity::Note,
            Impact::Translate => Severity::Translate,
            Impact::BreakIfIntolerant if self.usage.tolerant => Severity::Note,
            Impact::BreakIfIntolerant | Impact::Break => Severity::Break,
        };
        let path = match &difference.element {
            Some(element) if difference.rule == Rule::OneofMemberUnknown => format!("{path_prefix}{element}"),
            Some(element) => format!("{path}#{element}"),
            None => path.to_string(),
        };
        self.report(difference.rule, path, severity, &difference.detail);
    }

    fn report(&mut self, rule: Rule, path: String, severity: Severity, detail: &str) {
        if self.reported.insert((rule, path.clone(), detail.to_string())) {
            let direction = self.comparison.direction;
            self.findings.push(Finding { rule, path, direction, severity, detail: detail.to_string() });
        }
    }
}

/// The findings of a comparison for one reader's use of `reader`.
pub(crate) fn findings_for_usage(
    comparison: &SchemaComparison,
    reader: &Model,
    usage: &ReaderUsage,
) -> Vec<Finding> {
    let tree = UsageTree::from_usage(usage);
    let mut collector =
        FindingCollector { comparison, usage, findings: Vec::new(), reported: BTreeSet::new() };
    let mut visited: HashSet<(usize, UsageNode)> = HashSet::new();
    let mut pending: Vec<Place> = Vec::new();
    if comparison.exceeded {
        collector.report(
            Rule::BoundExceeded,
            "".into(),
            Severity::Break,
            "the comparison exceeds the limit of message pairs",
        );
    }
    for root in tree.roots().filter(|name| reader.message_named(name).is_none()) {
        collector.report(
            Rule::UseUnknown,
            root.clone(),
            Severity::Break,
            "no such message in the reader's version",
        );
    }
    for root in &comparison.roots {
        let root_usage = tree.root(&root.reader);
        root.differences.iter().for_each(|difference| {
            collector.add_difference(difference, root_usage != UsageNode::Unused, &root.reader, "")
        });
        if let Some(pair) = root.pair {
            pending.push(Place { pair, usage: root_usage, path: root.reader.clone() });
        }
    }
    while let Some(place) = pending.pop() {
        if !visited.insert((place.pair, place.usage)) {
            continue;
        }
        if visited.len() > MAX_VISITED_PLACES {
            let detail = "the traversal exceeds the limit of visited places";
            collector.report(Rule::BoundExceeded, place.path, Severity::Break, detail);
            break;
        }
        collector.visit(&place, &tree, reader, &mut pending);
    }
    collector.findings.sort();
    collector.findings
}
