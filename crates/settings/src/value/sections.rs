//! Deserializers for objects and lists of objects, for which absent and null mean the default.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;

/// The value, or its type's default if it is absent or null.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<T, D::Error> {
    Option::<T>::deserialize(d).map(Option::unwrap_or_default)
}

/// `Some` of the value, or of its type's default if it is null: a field that is present has another meaning
/// than an absent field.
pub(crate) fn present<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<Option<T>, D::Error> {
    or_default(d).map(Some)
}

/// A value that must be written as an object. A derived deserializer would also accept a list of the fields
/// in order.
pub(crate) struct Object<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Object<T>, D::Error> {
        struct ObjectVisitor<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
            type Value = Object<T>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
                T::deserialize(MapAccessDeserializer::new(map)).map(Object)
            }
        }
        d.deserialize_map(ObjectVisitor(PhantomData))
    }
}

/// A required object.
pub(crate) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    Object::deserialize(d).map(|o| o.0)
}

/// An object, or the default if it is absent or null.
pub(crate) fn section<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Option::<Object<T>>::deserialize(d).map(|o| o.map_or_else(T::default, |o| o.0))
}

/// A list of objects; empty if it is absent or null.
pub(crate) fn objects<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<Vec<T>, D::Error> {
    let list: Option<Vec<Object<T>>> = Option::deserialize(d)?;
    Ok(list.unwrap_or_default().into_iter().map(|o| o.0).collect())
}
