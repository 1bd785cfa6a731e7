//! Settings as `path=value` pairs, the simulator's wire format.
//!
//! The parts of a path are separated by dots, the items of a list of plain values by commas. A list of
//! objects has its length under `count` and its items under `0`, `1` and so on. The pairs form a tree, which
//! is a serde deserializer, so that the derived types read it as they read JSON.

use crate::{Error, ErrorReason, WireSettings};
use serde::de::value::StrDeserializer;
use serde::de::{self, DeserializeSeed, Deserializer, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use std::collections::btree_map::{self, BTreeMap};
use std::fmt;

/// Maximum number of items in a list of objects: a `count` of a few bytes would otherwise allocate without
/// bound.
pub const MAX_ITEMS: usize = 65_536;

/// Maximum number of parts in a path: paths of the settings have three, and a tree as deep as a line is long
/// would overflow the stack. A longer path is skipped, like any unknown path.
const MAX_PATH_PARTS: usize = 8;

/// Parses settings from pairs. An item without `=` is skipped; of two pairs with the same path, the later one
/// counts.
///
/// # Errors
/// The first known path with an invalid value.
pub fn parse<'a>(pairs: impl Iterator<Item = &'a str>) -> Result<WireSettings, Error> {
    let mut root = Node::default();
    for (path, value) in pairs.filter_map(|pair| pair.split_once('=')) {
        if path.split('.').nth(MAX_PATH_PARTS).is_some() {
            continue;
        }
        let leaf = path.split('.').fold(&mut root, |node, key| node.children.entry(key).or_default());
        leaf.text = Some(value);
    }
    serde_path_to_error::deserialize(&root)
        .map_err(|e| Error::at_path(&e.path().to_string(), ErrorReason::Pair(e.into_inner())))
}

/// A node of the tree: the value of a path, and the nodes of the paths below it.
#[derive(Debug, Default)]
struct Node<'a> {
    text: Option<&'a str>,
    children: BTreeMap<&'a str, Node<'a>>,
}

/// Node of a path that does not occur.
static ABSENT: Node<'static> = Node { text: None, children: BTreeMap::new() };

/// Reason why the value of a pair is invalid; [`Error::place`] holds the path of the pair.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PairError {
    /// A list of objects has a `count` above [`MAX_ITEMS`].
    #[error("count {0} is over {MAX_ITEMS}")]
    TooManyItems(String),
    /// The `count` of a list is not a finite number.
    #[error("count {0:?} is not a number")]
    CountNotANumber(String),
    /// The value does not match the field's type; the message says what was expected.
    #[error("{0}")]
    InvalidValue(String),
}

impl de::Error for PairError {
    fn custom<T: fmt::Display>(message: T) -> PairError {
        PairError::InvalidValue(message.to_string())
    }
}

impl<'a> Node<'a> {
    fn is_empty(&self) -> bool {
        self.children.is_empty() && matches!(self.text, None | Some("" | "-"))
    }

    /// The length of a list of objects; `None` for a list of plain values.
    fn count(&self) -> Result<Option<usize>, PairError> {
        let Some(count) = self.children.get("count") else { return Ok(None) };
        let text = count.text.filter(|t| !matches!(*t, "" | "-")).unwrap_or("0");
        match text.parse::<f64>() {
            Ok(count) if count.is_finite() && count as usize <= MAX_ITEMS => Ok(Some(count as usize)),
            Ok(count) if count.is_finite() => Err(PairError::TooManyItems(text.to_owned())),
            _ => Err(PairError::CountNotANumber(text.to_owned())),
        }
    }
}

impl<'de> Deserializer<'de> for &'de Node<'de> {
    type Error = PairError;

    /// Passes on a plain value as text.
    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PairError> {
        match self.text {
            Some(text) => visitor.visit_borrowed_str(text),
            None => visitor.visit_unit(),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PairError> {
        if self.is_empty() {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PairError> {
        match self.count()? {
            Some(count) => visitor.visit_seq(ObjectItems { node: self, next: 0, count }),
            None => visitor.visit_seq(PlainItems(self.text.map(|t| t.split(',')))),
        }
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PairError> {
        visitor.visit_map(Children { remaining: self.children.iter(), value: &ABSENT })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, PairError> {
        self.deserialize_map(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, PairError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PairError> {
        visitor.visit_unit()
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct
        tuple tuple_struct enum identifier
    }
}

/// Items of a list of objects. An item without pairs is deserialized as absent.
struct ObjectItems<'de> {
    node: &'de Node<'de>,
    next: usize,
    count: usize,
}

impl<'de> SeqAccess<'de> for ObjectItems<'de> {
    type Error = PairError;
    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, PairError> {
        if self.next == self.count {
            return Ok(None);
        }
        let item = self.node.children.get(self.next.to_string().as_str()).unwrap_or(&ABSENT);
        self.next += 1;
        seed.deserialize(item).map(Some)
    }
}

/// Items of a list of plain values.
struct PlainItems<'de>(Option<std::str::Split<'de, char>>);

impl<'de> SeqAccess<'de> for PlainItems<'de> {
    type Error = PairError;
    fn next_element_seed<T: DeserializeSeed<'de>>(&mut self, seed: T) -> Result<Option<T::Value>, PairError> {
        let Some(part) = self.0.as_mut().and_then(Iterator::next) else { return Ok(None) };
        let part: StrDeserializer<'_, PairError> = part.into_deserializer();
        seed.deserialize(part).map(Some)
    }
}

/// Entries of a map: the nodes of the paths below a path.
struct Children<'de> {
    remaining: btree_map::Iter<'de, &'de str, Node<'de>>,
    value: &'de Node<'de>,
}

impl<'de> MapAccess<'de> for Children<'de> {
    type Error = PairError;
    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, PairError> {
        let Some((key, value)) = self.remaining.next() else { return Ok(None) };
        self.value = value;
        let key: StrDeserializer<'_, PairError> = (*key).into_deserializer();
        seed.deserialize(key).map(Some)
    }
    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, PairError> {
        seed.deserialize(self.value)
    }
}
