//! A writer's schema beside a reader's: what differs, field by field, whatever of it a reader uses.
//!
//! Messages are met as the wire meets them, by the fields that hold them and by number, names aside. Each pair of
//! messages is compared once, so that recursive types end; [`MAX_PAIRS`] bounds the rest.

use crate::bounds::MAX_PAIRS;
use crate::field;
use crate::kind::Kind;
use crate::model::{Field, Message, Model};
use crate::rules::{Direction, Rule};
use crate::translate::{FieldOp, Step};
use std::collections::HashMap;

/// What an issue does to a reader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Effect {
    Nothing,
    Note,
    /// A translation for readers of JSON, a note for others.
    Names,
    Translate,
    /// A break for readers that do not go on at unknown values, a note for others.
    Intolerant,
    Break,
}

/// Something that differs.
#[derive(Clone, Debug)]
pub(crate) struct Issue {
    pub(crate) rule: Rule,
    /// What it does to a reader that uses the place.
    pub(crate) used: Effect,
    /// And to one that only passes over it.
    pub(crate) unused: Effect,
    /// The last step of its path, if it is not the field's own.
    pub(crate) at: Option<String>,
    pub(crate) detail: String,
}

/// A reader's field beside what the writer has for it.
#[derive(Clone, Debug)]
pub(crate) struct FieldPair {
    pub(crate) name: String,
    /// Used whatever the reader declares.
    pub(crate) needed: bool,
    pub(crate) issues: Vec<Issue>,
    /// The pair of messages below.
    pub(crate) child: Option<usize>,
}

/// A reader's message beside a writer's.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// The reader's message.
    pub(crate) reader: usize,
    pub(crate) issues: Vec<Issue>,
    pub(crate) fields: Vec<FieldPair>,
    pub(crate) steps: Vec<Step>,
}

/// A published message: the writer's and the reader's names, and where they are compared.
#[derive(Clone, Debug)]
pub(crate) struct Root {
    pub(crate) writer: Option<String>,
    pub(crate) reader: String,
    pub(crate) node: Option<usize>,
    pub(crate) issues: Vec<Issue>,
}

/// Two schemas, compared.
pub(crate) struct Pair {
    pub(crate) direction: Direction,
    pub(crate) roots: Vec<Root>,
    pub(crate) nodes: Vec<Node>,
    /// The comparison ended at a bound and proves nothing.
    pub(crate) exceeded: bool,
}

pub(crate) struct Build<'a> {
    pub(crate) writer: &'a Model,
    pub(crate) reader: &'a Model,
    pub(crate) direction: Direction,
    places: HashMap<(usize, usize), usize>,
    todo: Vec<(usize, usize)>,
    exceeded: bool,
}

impl<'a> Build<'a> {
    /// The place of a pair of messages; it is compared later if it is new.
    pub(crate) fn place(&mut self, writer: usize, reader: usize) -> usize {
        if let Some(&at) = self.places.get(&(writer, reader)) {
            return at;
        }
        if self.todo.len() >= MAX_PAIRS {
            self.exceeded = true;
            return 0;
        }
        let at = self.todo.len();
        self.places.insert((writer, reader), at);
        self.todo.push((writer, reader));
        at
    }

    /// Whether a writer's field is, by name, what the reader calls so.
    fn same(&self, writer: &Field, reader: &Field) -> bool {
        match self.direction {
            Direction::Down => writer.was(&reader.name),
            _ => reader.was(&writer.name),
        }
    }

    /// The writer's field that stands for the reader's: by number and name, or by a number declared as former.
    pub(crate) fn counterpart<'m>(&self, writer: &'m Message, reader: &Field) -> Option<&'m Field> {
        let moved = |field: &&Field| match self.direction {
            Direction::Down => field.former_numbers.contains(&reader.number),
            _ => reader.former_numbers.contains(&field.number),
        };
        let by_number = writer.fields.get(&reader.number).filter(|field| self.same(field, reader));
        by_number.or_else(|| writer.fields.values().filter(moved).find(|field| self.same(field, reader)))
    }

    fn message(&mut self, writer: usize, reader: usize) -> Node {
        let mut node = Node { reader, issues: Vec::new(), fields: Vec::new(), steps: Vec::new() };
        let (writer, reader) = (&self.writer.messages[writer], &self.reader.messages[reader]);
        if writer.meaning != reader.meaning {
            node.issues.push(Issue {
                rule: Rule::MeaningChanged,
                used: Effect::Break,
                unused: Effect::Note,
                at: None,
                detail: format!(
                    "message means {} to its writer and {} to its reader",
                    writer.meaning, reader.meaning
                ),
            });
        }
        for field in reader.fields.values() {
            let (pair, step) = field::compare(self, writer, reader, field);
            if pair.child.is_some() || pair.needed || !pair.issues.is_empty() {
                node.fields.push(pair);
            }
            if step.op != FieldOp::Keep || step.fill || step.from.is_some_and(|from| from != step.to) {
                node.steps.push(step);
            }
        }
        node
    }
}

/// Compares what `writer` writes with what `reader` reads.
pub(crate) fn compare(writer: &Model, reader: &Model, direction: Direction) -> Pair {
    let mut build =
        Build { writer, reader, direction, places: HashMap::new(), todo: Vec::new(), exceeded: false };
    let roots = reader.roots.iter().map(|&at| root(&mut build, at)).collect();
    let mut nodes = Vec::new();
    while nodes.len() < build.todo.len() {
        let (writer, reader) = build.todo[nodes.len()];
        nodes.push(build.message(writer, reader));
    }
    Pair { direction, roots, nodes, exceeded: build.exceeded }
}

fn root(build: &mut Build, at: usize) -> Root {
    let read = &build.reader.messages[at];
    let written = build.writer.message_named(&read.name).or_else(|| match build.direction {
        Direction::Down => {
            let was = |one: &usize| build.writer.messages[*one].former_names.contains(&read.name);
            build.writer.roots.iter().copied().find(was)
        }
        _ => read.former_names.iter().find_map(|name| build.writer.message_named(name)),
    });
    let mut issues = Vec::new();
    let mut add =
        |rule, used, detail| issues.push(Issue { rule, used, unused: Effect::Note, at: None, detail });
    let Some(written) = written else {
        if build.direction == Direction::Down {
            let short = |name: &str| name.rsplit('.').next().unwrap_or_default().to_string();
            let moved = build.writer.roots.iter().map(|&one| &build.writer.messages[one].name);
            match moved.clone().find(|name| short(name) == short(&read.name)) {
                Some(name) => add(Rule::PackageRenamed, Effect::Break, format!("now {name}, not declared")),
                None => add(Rule::MessageRemovedInUse, Effect::Break, "no longer published".into()),
            }
        }
        return Root { writer: None, reader: read.name.clone(), node: None, issues };
    };
    let name = &build.writer.messages[written].name;
    if *name != read.name {
        issues.push(Issue {
            rule: Rule::MessageRenamed,
            used: Effect::Translate,
            unused: Effect::Translate,
            at: None,
            detail: format!("written as {name}"),
        });
    }
    let node = build.place(written, at);
    Root { writer: Some(name.clone()), reader: read.name.clone(), node: Some(node), issues }
}

/// The message that a kind holds.
pub(crate) fn held(kind: Kind) -> Option<usize> {
    match kind {
        Kind::Message(at) | Kind::Group(at) => Some(at),
        _ => None,
    }
}
