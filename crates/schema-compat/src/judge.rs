//! What a comparison means to a reader, by what it uses.

use crate::bounds::MAX_PLACES;
use crate::model::Model;
use crate::pair::{Effect, Issue, Pair};
use crate::rules::{Finding, Rule, Severity};
use crate::uses::{Form, Use, UseTree, Uses};
use std::collections::{BTreeSet, HashSet};

struct Judge<'a> {
    pair: &'a Pair,
    uses: &'a Uses,
    found: Vec<Finding>,
    said: BTreeSet<(Rule, String, String)>,
}

impl Judge<'_> {
    fn issue(&mut self, issue: &Issue, used: bool, path: &str, holder: &str) {
        let severity = match if used { issue.used } else { issue.unused } {
            Effect::Nothing => return,
            Effect::Note => Severity::Note,
            Effect::Names if self.uses.form == Form::Json => Severity::Translate,
            Effect::Names => Severity::Note,
            Effect::Translate => Severity::Translate,
            Effect::Intolerant if self.uses.tolerant => Severity::Note,
            Effect::Intolerant | Effect::Break => Severity::Break,
        };
        let path = match &issue.at {
            Some(at) if issue.rule == Rule::OneofMemberUnknown => format!("{holder}{at}"),
            Some(at) => format!("{path}#{at}"),
            None => path.to_string(),
        };
        self.say(issue.rule, path, severity, &issue.detail);
    }

    fn say(&mut self, rule: Rule, path: String, severity: Severity, detail: &str) {
        if self.said.insert((rule, path.clone(), detail.to_string())) {
            let direction = self.pair.direction;
            self.found.push(Finding { rule, path, direction, severity, detail: detail.to_string() });
        }
    }
}

/// The findings of a comparison for one reader's use of `reader`.
pub(crate) fn judge(pair: &Pair, reader: &Model, uses: &Uses) -> Vec<Finding> {
    let tree = UseTree::of(uses);
    let mut judge = Judge { pair, uses, found: Vec::new(), said: BTreeSet::new() };
    let mut seen: HashSet<(usize, Use)> = HashSet::new();
    let mut todo: Vec<(usize, Use, String)> = Vec::new();
    if pair.exceeded {
        judge.say(
            Rule::BoundExceeded,
            "".into(),
            Severity::Break,
            "more pairs of messages than are compared",
        );
    }
    for root in tree.roots().filter(|name| reader.message_named(name).is_none()) {
        judge.say(Rule::UseUnknown, root.clone(), Severity::Break, "no such message in the reader's version");
    }
    for root in &pair.roots {
        let used = tree.root(&root.reader);
        root.issues.iter().for_each(|issue| judge.issue(issue, used != Use::Nothing, &root.reader, ""));
        if let Some(node) = root.node {
            todo.push((node, used, root.reader.clone()));
        }
    }
    while let Some((at, here, path)) = todo.pop() {
        if !seen.insert((at, here)) {
            continue;
        }
        if seen.len() > MAX_PLACES {
            judge.say(Rule::BoundExceeded, path, Severity::Break, "more places than are judged");
            break;
        }
        let node = &pair.nodes[at];
        let holder = if path.contains('/') { format!("{path}.") } else { format!("{path}/") };
        for name in tree.fields(here) {
            if reader.messages[node.reader].field_named(name).is_none() {
                let path = format!("{holder}{name}");
                judge.say(Rule::UseUnknown, path, Severity::Break, "no such field in the reader's version");
            }
        }
        node.issues.iter().for_each(|issue| judge.issue(issue, here != Use::Nothing, &path, &holder));
        for field in &node.fields {
            let declared = tree.field(here, &field.name);
            // Needed only where the message that holds it is read at all.
            let used = match declared {
                Use::Nothing if field.needed && here != Use::Nothing => Use::All,
                declared => declared,
            };
            let path = format!("{holder}{}", field.name);
            field.issues.iter().for_each(|issue| judge.issue(issue, used != Use::Nothing, &path, &holder));
            if let Some(child) = field.child {
                todo.push((child, used, path));
            }
        }
    }
    judge.found.sort();
    judge.found
}
