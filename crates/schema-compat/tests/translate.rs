//! Tests of the values that translations produce, and of values that they cannot convert.

mod common;

use common::schema;
use prost_reflect::{DynamicMessage, MapKey, Value};
use sprucelink_schema_compat::rules::Direction;
use sprucelink_schema_compat::{check, Compatibility, Directions, ReaderUsage, Schema, Translation};
use std::collections::HashMap;

fn record(schema: &Schema, name: &str, fields: &[(&str, Value)]) -> DynamicMessage {
    let mut record = DynamicMessage::new(schema.message(name).unwrap());
    fields.iter().for_each(|(name, value)| record.set_field_by_name(name, value.clone()));
    record
}

const OLD: &str =
    "message R { int32 a = 1; int32 gone = 2; map<int64, sint64> m = 3; repeated int64 many = 4;
    E e = 5; In in = 6; optional int32 p = 7; double d = 8; map<string, In> ins = 9; }
    message In { E e = 1; In below = 2; } enum E { UP = 0; OUT = 1; }";
const NEW: &str =
    "message S { option (m) = { former_names: \"t.R\" removed: { name: \"gone\" reads_as: \"-7\" } };
    int32 b = 11 [(f) = { former_names: \"a\" former_numbers: 1 }]; map<int32, int32> m = 3; int32 many = 4;
    E e = 5; In in = 6; int32 p = 7; float d = 8; map<string, In> ins = 9; string fresh = 20; reserved 2; }
    message In { E e = 1; In below = 2; bytes fresh = 3; }
    enum E { UP = 0; OUT = 1; DRAINED = 2 [(v).reads_as = \"OUT\"]; }";

#[test]
fn each_conversion_gives_the_expected_value() {
    let (old, new) = (schema(OLD), schema(NEW));
    let verdict = check(&old, &new, &ReaderUsage::all(), Directions::NEW_TO_OLD);
    let Compatibility::Translatable(translations) = verdict else { panic!("{verdict:?}") };
    let leaf = record(&new, "t.In", &[("e", Value::EnumNumber(2)), ("fresh", Value::Bytes(vec![9].into()))]);
    let inner = record(&new, "t.In", &[("below", Value::Message(leaf.clone()))]);
    let map = |key: MapKey, value: Value| Value::Map(HashMap::from([(key, value)]));
    let fields = [
        ("b", Value::I32(5)),
        ("m", map(MapKey::I32(-1), Value::I32(-2))),
        ("e", Value::EnumNumber(2)),
        ("in", Value::Message(inner)),
        ("d", Value::F32(0.5)),
        ("ins", map(MapKey::String("k".into()), Value::Message(leaf))),
        ("fresh", Value::String("new".into())),
    ];
    let written = record(&new, "t.S", &fields);
    let read = translations.new_to_old.run(&written).unwrap().unwrap();
    assert_eq!(read.get_field_by_name("a").unwrap().as_i32(), Some(5));
    assert_eq!(read.get_field_by_name("gone").unwrap().as_i32(), Some(-7));
    assert_eq!(*read.get_field_by_name("m").unwrap(), map(MapKey::I64(-1), Value::I64(-2)));
    assert_eq!(*read.get_field_by_name("many").unwrap(), Value::List(vec![Value::I64(0)]));
    assert_eq!(read.get_field_by_name("e").unwrap().as_enum_number(), Some(1));
    assert!(read.has_field_by_name("p"), "the default is written out");
    assert_eq!(read.get_field_by_name("d").unwrap().as_f64(), Some(0.5));
    let below = |of: &DynamicMessage| {
        let inner = of.get_field_by_name("in").unwrap().as_message().unwrap().clone();
        inner.get_field_by_name("below").unwrap().as_message().unwrap().clone()
    };
    assert_eq!(below(&read).get_field_by_name("e").unwrap().as_enum_number(), Some(1));
    let entry = read.get_field_by_name("ins").unwrap().as_map().unwrap()[&MapKey::String("k".into())].clone();
    assert_eq!(entry.as_message().unwrap().get_field_by_name("e").unwrap().as_enum_number(), Some(1));
    // Fields unknown to the old version are preserved at every depth.
    let back = translations.old_to_new.run(&read).unwrap().unwrap();
    assert_eq!(back.get_field_by_name("fresh").unwrap().as_str(), Some("new"));
    assert_eq!(below(&back).get_field_by_name("fresh").unwrap().as_bytes().unwrap()[..], [9]);
    assert_eq!(back.get_field_by_name("b").unwrap().as_i32(), Some(5));
    // A replacement value is not converted back.
    assert_eq!(back.get_field_by_name("e").unwrap().as_enum_number(), Some(1));
}

#[test]
fn value_not_representable_is_an_error_and_never_truncated() {
    // A publisher violates its schema by writing values outside the declared range.
    let old = schema("message R { sint32 a = 1; }");
    let new = schema("message R { int64 a = 1 [(f) = { min: 0 max: 9 }]; }");
    let translation = Translation::between(&new, &old, Direction::NewToOld);
    let run = |number: i64| translation.run(&record(&new, "t.R", &[("a", Value::I64(number))]));
    assert_eq!(run(9).unwrap().unwrap().get_field_by_name("a").unwrap().as_i32(), Some(9));
    assert_eq!(run(1 << 40).unwrap_err().to_string(), "t.R/a: no such value in the reader's type");
    let unrelated = schema("message Q { int32 a = 1; }");
    assert!(translation.run(&record(&unrelated, "t.Q", &[])).unwrap().is_none());
}
