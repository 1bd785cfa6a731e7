//! What a reader loses of a record, told from values alone: fields by their identity, no rule consulted.

use super::edits::{Field, Shape, TYPES};
use prost_reflect::{DynamicMessage, Value};
use std::collections::BTreeSet;

/// What a reader of `reader` does not get as it was meant: none if all is there.
pub struct Oracle<'a> {
    pub writer: &'a Shape,
    pub reader: &'a Shape,
    /// Fields of R and N that are used; all of them if none are named.
    pub used: Option<BTreeSet<u32>>,
    /// The writer is the newer, so that what it lacks was removed.
    pub down: bool,
    /// Declared stand-ins count as meant.
    pub translated: bool,
}

impl Oracle<'_> {
    /// `Top`'s two messages.
    pub fn loss(&self, written: &DynamicMessage, read: &DynamicMessage) -> Option<String> {
        for (name, at) in [("r", 0), ("n", 1)] {
            let part =
                |of: &DynamicMessage| of.get_field_by_name(name).unwrap().as_message().unwrap().clone();
            if written.has_field_by_name(name) != read.has_field_by_name(name) {
                return Some(format!("{name} is there or not"));
            }
            if !written.has_field_by_name(name) {
                continue;
            }
            if let Some(loss) = self.message(&part(written), &part(read), at) {
                return Some(loss);
            }
        }
        None
    }

    fn message(&self, written: &DynamicMessage, read: &DynamicMessage, at: usize) -> Option<String> {
        for to in &self.reader.fields[at] {
            if self.used.as_ref().is_some_and(|used| !used.contains(&to.id)) {
                continue;
            }
            let Some(from) = self.writer.fields[at].iter().find(|from| from.id == to.id) else {
                let stands = self.translated
                    && self.writer.removed[at].first().is_some_and(|(name, _)| *name == to.name);
                if self.down && !stands {
                    return Some(format!("{} is gone", to.name));
                }
                continue;
            };
            if let Some(loss) = self.field(written, read, from, to) {
                return Some(format!("{}: {loss}", to.name));
            }
        }
        None
    }

    fn field(
        &self,
        written: &DynamicMessage,
        read: &DynamicMessage,
        from: &Field,
        to: &Field,
    ) -> Option<String> {
        let meant = written.get_field_by_name(&from.name)?.into_owned();
        let got = read.get_field_by_name(&to.name)?.into_owned();
        let list = |value: &Value| match value {
            Value::List(list) => list.clone(),
            one => vec![one.clone()],
        };
        if (from.label == 2) && (to.label != 2) {
            return Some("a list for one".into());
        }
        if from.label == 1 && to.label == 2 && !written.has_field_by_name(&from.name) {
            return (!list(&got).is_empty()).then(|| "a list of nothing".into());
        }
        // Messages know absent from empty in every form.
        if TYPES[from.ty] == "N"
            && TYPES[to.ty] == "N"
            && from.label != 2
            && !written.has_field_by_name(&from.name)
        {
            let absent = !read.has_field_by_name(&to.name) || (to.label == 2 && list(&got).is_empty());
            return (!absent).then(|| "a message from nothing".into());
        }
        if from.label != 2 && to.label == 1 && from.label == 0 && !read.has_field_by_name(&to.name) {
            return (TYPES[to.ty] != "N").then(|| "absent, where the default is meant".into());
        }
        let (meant, got) = (list(&meant), list(&got));
        if meant.len() != got.len() {
            return Some(format!("{} values for {}", got.len(), meant.len()));
        }
        meant.iter().zip(&got).find_map(|(meant, got)| self.value(meant, got, to))
    }

    fn value(&self, meant: &Value, got: &Value, to: &Field) -> Option<String> {
        // Messages of recursive types have no end when printed.
        let show =
            |value: &Value| number(value).map_or("a text or message".into(), |number| number.to_string());
        let differ = || Some(format!("{} for {}", show(got), show(meant)));
        if let (Some(a), Some(b)) = (number(meant), number(got)) {
            // Where a number is promised a range, and where an enum knows its values.
            if to.max.is_some_and(|max| b > f64::from(i32::MAX) || b as i64 > max) {
                return Some(format!("{b} over its range"));
            }
            if let Value::EnumNumber(number) = got {
                let Value::EnumNumber(from) = meant else { return Some("no enum".into()) };
                if !self.reader.values.iter().any(|(known, _)| known == number) {
                    return Some(format!("enum value {number} is unknown"));
                }
                let unknown = !self.reader.values.iter().any(|(known, _)| known == from);
                return if from == number || (self.translated && unknown) { None } else { differ() };
            }
            return if a == b { None } else { differ() };
        }
        match (meant, got) {
            (Value::String(a), Value::String(b)) if a == b => None,
            (Value::Bytes(a), Value::Bytes(b)) if a == b => None,
            (Value::String(a), Value::Bytes(b)) if a.as_bytes() == &b[..] => None,
            (Value::Message(a), Value::Message(b)) => self.message(a, b, 1),
            _ => differ(),
        }
    }
}

/// Exact for what samples hold: whole numbers beyond 53 bits are told apart by their digits where both are
/// whole.
fn number(value: &Value) -> Option<f64> {
    Some(match value {
        Value::Bool(one) => f64::from(u8::from(*one)),
        Value::I32(one) | Value::EnumNumber(one) => f64::from(*one),
        Value::U32(one) => f64::from(*one),
        Value::I64(one) => *one as f64,
        Value::U64(one) => *one as f64,
        Value::F32(one) => f64::from(*one),
        Value::F64(one) => *one,
        _ => return None,
    })
}
