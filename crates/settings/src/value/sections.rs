//! Deserializers for objects and lists of objects, for which absent and null mean the default.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;

/// Deserializes a value; absent and null give the default of its type.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<T, D::Error> {
    Option::<T>::deserialize(d).map(Option::unwrap_or_default)
}

/// `Some` of the value, or of its type's default if the value is null. Used for fields whose presence has a
/// meaning of its own; an absent field is `None`.
pub(crate) fn present<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<Option<T>, D::Error> {
    or_default(d).map(Some)
}

/// A value that must be written as an object. Without this wrapper, a derived deserializer would also accept
/// a list of the fields in order.
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

/// Deserializes an object that must be present.
pub(crate) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    Object::deserialize(d).map(|o| o.0)
}

/// Deserializes an object; absent and null give the default.
pub(crate) fn section<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Option::<Object<T>>::deserialize(d).map(|o| o.map_or_else(T::default, |o| o.0))
}

/// Deserializes a list of objects; absent and null give an empty list.
pub(crate) fn objects<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<Vec<T>, D::Error> {
    let list: Option<Vec<Object<T>>> = Option::deserialize(d)?;
    Ok(list.unwrap_or_default().into_iter().map(|o| o.0).collect())
}
