//! Determines what a reader loses of a record from the values alone: fields are matched by identity, and no
//! compatibility rule is consulted.

use super::edits::{Field, GeneratedSchema, TYPE_NAMES};
use prost_reflect::{DynamicMessage, Value};
use std::collections::BTreeSet;

/// Finds values that a reader does not receive as the writer meant them.
pub struct Oracle<'a> {
    pub writer: &'a GeneratedSchema,
    pub reader: &'a GeneratedSchema,
    /// Identities of the fields of `R` and `N` that the reader uses; `None` if it uses all.
    pub used: Option<BTreeSet<u32>>,
    /// Whether the writer is newer than the reader, so that a field that the writer lacks was removed.
    pub writer_is_newer: bool,
    /// Whether declared replacement values count as meant.
    pub translated: bool,
}

impl Oracle<'_> {
    /// The first loss in the two messages of `Top`; `None` if nothing is lost.
    pub fn loss(&self, written: &DynamicMessage, read: &DynamicMessage) -> Option<String> {
        for (name, message_index) in [("r", 0), ("n", 1)] {
            let part =
                |of: &DynamicMessage| of.get_field_by_name(name).unwrap().as_message().unwrap().clone();
            if written.has_field_by_name(name) != read.has_field_by_name(name) {
                return Some(format!("{name} is present in only one of the records"));
            }
            if !written.has_field_by_name(name) {
                continue;
            }
            if let Some(loss) = self.message(&part(written), &part(read), message_index) {
                return Some(loss);
            }
        }
        None
    }

    fn message(
        &self,
        written: &DynamicMessage,
        read: &DynamicMessage,
        message_index: usize,
    ) -> Option<String> {
        for to in &self.reader.fields[message_index] {
            if self.used.as_ref().is_some_and(|used| !used.contains(&to.id)) {
                continue;
            }
            let Some(from) = self.writer.fields[message_index].iter().find(|from| from.id == to.id) else {
                let is_replaced = self.translated
                    && self.writer.removed[message_index].first().is_some_and(|(name, _)| *name == to.name);
                if self.writer_is_newer && !is_replaced {
                    return Some(format!("{} was removed", to.name));
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
        let received = read.get_field_by_name(&to.name)?.into_owned();
        let list = |value: &Value| match value {
            Value::List(list) => list.clone(),
            one => vec![one.clone()],
        };
        if (from.label == 2) && (to.label != 2) {
            return Some("a list is read as a single value".into());
        }
        if from.label == 1 && to.label == 2 && !written.has_field_by_name(&from.name) {
            return (!list(&received).is_empty())
                .then(|| "an absent value is read as a nonempty list".into());
        }
        // Message fields distinguish absent from empty with every label.
        if TYPE_NAMES[from.type_index] == "N"
            && TYPE_NAMES[to.type_index] == "N"
            && from.label != 2
            && !written.has_field_by_name(&from.name)
        {
            let absent = !read.has_field_by_name(&to.name) || (to.label == 2 && list(&received).is_empty());
            return (!absent).then(|| "an absent message is read as present".into());
        }
        if from.label != 2 && to.label == 1 && from.label == 0 && !read.has_field_by_name(&to.name) {
            return (TYPE_NAMES[to.type_index] != "N").then(|| "the default value is read as absent".into());
        }
        let (meant, received) = (list(&meant), list(&received));
        if meant.len() != received.len() {
            return Some(format!("{} values instead of {}", received.len(), meant.len()));
        }
        meant.iter().zip(&received).find_map(|(meant, received)| self.value(meant, received, to))
    }

    fn value(&self, meant: &Value, received: &Value, to: &Field) -> Option<String> {
        // Messages of recursive types could be printed without end.
        let format_value =
            |value: &Value| number(value).map_or("a text or message".into(), |number| number.to_string());
        let differ = || Some(format!("{} instead of {}", format_value(received), format_value(meant)));
        if let (Some(a), Some(b)) = (number(meant), number(received)) {
            // The reader's declared range and its enum's known values must hold as well.
            if to.max.is_some_and(|max| b > f64::from(i32::MAX) || b as i64 > max) {
                return Some(format!("{b} exceeds the declared maximum"));
            }
            if let Value::EnumNumber(number) = received {
                let Value::EnumNumber(meant_number) = meant else { return Some("not an enum value".into()) };
                if !self.reader.values.iter().any(|(known, _)| known == number) {
                    return Some(format!("enum value {number} is unknown"));
                }
                let unknown = !self.reader.values.iter().any(|(known, _)| known == meant_number);
                return if meant_number == number || (self.translated && unknown) { None } else { differ() };
            }
            return if a == b { None } else { differ() };
        }
        match (meant, received) {
            (Value::String(a), Value::String(b)) if a == b => None,
            (Value::Bytes(a), Value::Bytes(b)) if a == b => None,
            (Value::String(a), Value::Bytes(b)) if a.as_bytes() == &b[..] => None,
            (Value::Message(a), Value::Message(b)) => self.message(a, b, 1),
            _ => differ(),
        }
    }
}

/// The number that a value holds; `None` if it holds a text or a message. Integers beyond 53 bits are
/// rounded, so that two different ones may compare as equal.
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
