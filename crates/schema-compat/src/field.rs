//! One field of a reader beside what the writer has for it.

use crate::enums;
use crate::kind::{decodes, fit, Domain, Fit, Kind};
use crate::model::{Field, Message, Shape};
use crate::pair::{held, Build, Effect, FieldPair, Issue};
use crate::rules::{Direction, Rule};
use crate::translate::{FieldOp, Step, ValueOp};

/// The issues of one field, gathered.
struct Gather {
    issues: Vec<Issue>,
}

impl Gather {
    fn add(&mut self, rule: Rule, used: Effect, unused: Effect, detail: String) {
        self.issues.push(Issue { rule, used, unused, at: None, detail });
    }
}

/// Compares the reader's field `to` with what the writer's message has for it.
pub(crate) fn compare(
    build: &mut Build,
    writer: &Message,
    reader: &Message,
    to: &Field,
) -> (FieldPair, Step) {
    let mut gather = Gather { issues: Vec::new() };
    let mut step = Step { from: None, to: to.number, fill: false, op: FieldOp::Keep };
    let mut child = None;
    let counterpart = build.counterpart(writer, to);
    match counterpart {
        None => missing(build, writer, to, &mut gather, &mut step),
        Some(from) => {
            step.from = Some(from.number);
            if from.name != to.name {
                let detail = format!("written as {}", from.name);
                gather.add(Rule::FieldRenamed, Effect::Names, Effect::Names, detail);
            }
            if from.number != to.number {
                let detail = format!("number {} is written for {}, as declared", from.number, to.number);
                gather.add(Rule::FieldRenumbered, Effect::Translate, Effect::Note, detail);
            }
            if from.meaning != to.meaning {
                let detail = format!("means {} to its writer and {} to its reader", from.meaning, to.meaning);
                gather.add(Rule::MeaningChanged, Effect::Break, Effect::Note, detail);
            }
            child = values(build, from, to, &mut gather, &mut step);
            if step.op != FieldOp::Drop {
                ranges(build.direction, from, to, &mut gather);
                absence(from, to, &mut gather, &mut step);
            }
            oneofs(build, writer, reader, from, to, &mut gather);
        }
    }
    if let Some(stranger) = writer.fields.get(&to.number) {
        let taken = counterpart.is_none_or(|field| field.number != to.number);
        if taken && step.from.is_none() && step.op == FieldOp::Keep {
            let accepted = (stranger.kind, stranger.shape != Shape::One, stranger.packed);
            let safe = decodes(accepted, (to.kind, to.shape != Shape::One));
            if !safe || counterpart.is_none() {
                step = Step { from: Some(to.number), to: to.number, fill: false, op: FieldOp::Drop };
            }
        }
    }
    let needed = to.needed || to.required;
    (FieldPair { name: to.name.clone(), needed, issues: gather.issues, child }, step)
}

/// The writer has nothing for the field.
fn missing(build: &Build, writer: &Message, to: &Field, gather: &mut Gather, step: &mut Step) {
    if let Some(stranger) = writer.fields.get(&to.number) {
        let detail = format!("number {} is written for {}", to.number, stranger.name);
        gather.add(Rule::FieldNumberReused, Effect::Break, Effect::Break, detail);
        return;
    }
    if let Some(moved) = writer.field_named(&to.name) {
        let detail = format!("number {} is written for {}, not declared", moved.number, to.number);
        gather.add(Rule::FieldRenumbered, Effect::Break, Effect::Note, detail);
        return;
    }
    let unused = if to.required { Effect::Break } else { Effect::Nothing };
    let (rule, stands) = match build.direction {
        Direction::Down => (Rule::FieldRemovedInUse, writer.removed.get(&to.name)),
        _ => (Rule::FieldNeededMissing, to.old_reads_as.as_ref()),
    };
    match stands {
        Some(text) => {
            step.op = FieldOp::Default(text.clone());
            gather.add(rule, Effect::Translate, Effect::Translate, format!("reads as {text}, as declared"));
        }
        None if build.direction == Direction::Down => {
            gather.add(rule, Effect::Break, unused, format!("number {} is no longer written", to.number));
        }
        None if to.needed || to.required => {
            gather.add(rule, Effect::Break, unused, "older records lack it".into());
        }
        None => {}
    }
}

/// Types and cardinality. Gives the pair of messages below.
fn values(
    build: &mut Build,
    from: &Field,
    to: &Field,
    gather: &mut Gather,
    step: &mut Step,
) -> Option<usize> {
    let safe = decodes((from.kind, from.shape != Shape::One, from.packed), (to.kind, to.shape != Shape::One));
    let drop = |gather: &mut Gather, step: &mut Step, rule, detail: String, safe: bool| {
        let unused = if safe { Effect::Nothing } else { Effect::Translate };
        // A strict reader that requires the field fails the whole record without it.
        let unused = if to.required && !safe { Effect::Break } else { unused };
        gather.add(rule, Effect::Break, unused, detail);
        if !safe {
            step.op = FieldOp::Drop;
        }
    };
    if from.shape != to.shape && !(from.shape == Shape::One && to.shape == Shape::Many) {
        let detail = format!("{} written, {} read", from.shape.name(), to.shape.name());
        let safe = safe && !from.kind.is_message() && !to.kind.is_message();
        drop(gather, step, Rule::CardinalityChanged, detail, safe);
        return None;
    }
    if from.shape == Shape::Map && to.shape == Shape::Map {
        return entries(build, from, to, gather, step);
    }
    let op = match value(build, from, to, &mut gather.issues) {
        Ok(op) => op,
        Err((rule, detail)) => {
            drop(gather, step, rule, detail, safe);
            return None;
        }
    };
    let child = if let ValueOp::Child(at) = op { Some(at) } else { None };
    step.op = match (from.shape, op) {
        (Shape::One, op) if to.shape == Shape::Many => {
            // Absent and default are one to such a writer: the list of one must not come out empty.
            let silent = !from.explicit && !from.kind.is_message();
            let used = if silent { Effect::Translate } else { Effect::Note };
            gather.add(
                Rule::CardinalityChanged,
                used,
                Effect::Nothing,
                "one written, read as a list of one".into(),
            );
            step.fill = silent;
            FieldOp::Wrap(op)
        }
        (_, ValueOp::Keep) => FieldOp::Keep,
        (_, op) => FieldOp::Value(op),
    };
    child
}

/// A single value's types, or an element's.
fn value(
    build: &mut Build,
    from: &Field,
    to: &Field,
    issues: &mut Vec<Issue>,
) -> Result<ValueOp, (Rule, String)> {
    let detail = || format!("{} written, {} read", from.kind.name(), to.kind.name());
    match (from.kind, to.kind) {
        (Kind::Message(writer), Kind::Message(reader)) | (Kind::Group(writer), Kind::Group(reader)) => {
            Ok(ValueOp::Child(build.place(writer, reader)))
        }
        (Kind::Enum(writer), Kind::Enum(reader)) => Ok(enums::compare(build, writer, reader, issues)),
        _ => {
            let domain = match (from.kind, from.whole()) {
                (Kind::Enum(at), _) => {
                    let numbers = build.writer.enums[at].values.iter().map(|value| i128::from(value.number));
                    Domain::Whole(numbers.clone().min().unwrap_or(0), numbers.max().unwrap_or(0))
                }
                (_, Some((least, most))) => Domain::Whole(least, most),
                (kind, None) => kind.domain(),
            };
            match fit(from.kind, domain, to.kind) {
                Fit::Same if from.kind == to.kind => Ok(ValueOp::Keep),
                Fit::Same => {
                    let rule = Rule::TypeReencoded;
                    let detail = format!("{}: the same bytes", detail());
                    issues.push(Issue { rule, used: Effect::Names, unused: Effect::Note, at: None, detail });
                    Ok(ValueOp::Keep)
                }
                Fit::Convert => {
                    let rule = Rule::TypeReencoded;
                    let (used, unused) = (Effect::Translate, Effect::Translate);
                    issues.push(Issue { rule, used, unused, at: None, detail: detail() });
                    Ok(ValueOp::Convert)
                }
                Fit::Narrowed => Err((Rule::TypeNarrowed, detail())),
                Fit::Apart => Err((Rule::TypeChanged, detail())),
            }
        }
    }
}

/// A map's keys and values.
fn entries(
    build: &mut Build,
    from: &Field,
    to: &Field,
    gather: &mut Gather,
    step: &mut Step,
) -> Option<usize> {
    let (writer, reader) = (build.writer, build.reader);
    let parts = |model: &'_ crate::model::Model, field: &Field| {
        let entry = held(field.kind).map(|at| &model.messages[at].fields);
        entry.and_then(|fields| Some((fields.get(&1)?.clone(), fields.get(&2)?.clone())))
    };
    let (Some((from_key, from_value)), Some((to_key, to_value))) = (parts(writer, from), parts(reader, to))
    else {
        return None;
    };
    let key = value(build, &from_key, &to_key, &mut gather.issues);
    let below = value(build, &from_value, &to_value, &mut gather.issues);
    match (key, below) {
        (Ok(ValueOp::Keep), Ok(ValueOp::Keep)) => None,
        (Ok(key), Ok(below)) => {
            let child = if let ValueOp::Child(at) = below { Some(at) } else { None };
            step.op = FieldOp::Map(key, below);
            child
        }
        (Err((rule, detail)), _) | (_, Err((rule, detail))) => {
            let unused = if to.required { Effect::Break } else { Effect::Translate };
            gather.add(rule, Effect::Break, unused, format!("entry: {detail}"));
            step.op = FieldOp::Drop;
            None
        }
    }
}

/// Ranges and lengths: what is written must lie within what the reader was promised.
fn ranges(direction: Direction, from: &Field, to: &Field, gather: &mut Gather) {
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
        gather.add(rule, Effect::Break, Effect::Nothing, detail);
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
        gather.add(rule, Effect::Break, Effect::Nothing, detail);
    }
}

/// What an absent field stands for.
fn absence(from: &Field, to: &Field, gather: &mut Gather, step: &mut Step) {
    if from.shape != Shape::One || to.shape != Shape::One {
        return;
    }
    if to.required && !from.required {
        let effect = if from.kind.is_message() { Effect::Break } else { Effect::Translate };
        gather.add(
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
        gather.add(Rule::PresenceChanged, Effect::Translate, Effect::Nothing, detail);
        step.fill = true;
    }
    if from.default != to.default {
        let detail = format!("absent stands for {:?} written, {:?} read", from.default, to.default);
        gather.add(Rule::DefaultChanged, Effect::Translate, Effect::Nothing, detail);
        step.fill = true;
    }
}

/// Oneofs: a reader keeps the last member that it meets.
fn oneofs(build: &Build, writer: &Message, reader: &Message, from: &Field, to: &Field, gather: &mut Gather) {
    let Some(oneof) = to.oneof else { return };
    let members = || reader.fields.values().filter(move |field| field.oneof == Some(oneof));
    let written = || members().filter_map(|member| build.counterpart(writer, member));
    for other in written().filter(|other| other.number != from.number) {
        if from.oneof.is_none() || other.oneof != from.oneof {
            let detail = format!("may be written together with {}, is read as one of the two", other.name);
            gather.add(Rule::OneofJoined, Effect::Break, Effect::Note, detail);
            return;
        }
    }
    let Some(from_oneof) = from.oneof else { return };
    let known: Vec<u32> = written().map(|field| field.number).collect();
    let strange = |field: &&Field| field.oneof == Some(from_oneof) && !known.contains(&field.number);
    if let Some(stranger) = writer.fields.values().find(strange) {
        let one = &reader.oneofs[oneof];
        gather.issues.push(Issue {
            rule: Rule::OneofMemberUnknown,
            used: enums::unknown_effect(one.unknown),
            unused: Effect::Nothing,
            at: Some(one.name.clone()),
            detail: format!("{} may be written, its reader does not know it", stranger.name),
        });
    }
}
