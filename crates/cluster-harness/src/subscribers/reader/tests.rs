//! Tests of a subscriber's cursor, record digests, hops and delays.

use super::*;

fn event(name: &str, id: &str, data: &str) -> StreamItem {
    StreamItem::Event { name: name.into(), id: id.into(), data: data.into() }
}

#[test]
fn a_record_advances_the_cursor_and_its_digest_depends_on_its_content_only() {
    let spec: Spec = json5::from_str(
        "{ versions: ['1', '2'], filters: ['', 'kind=permit'], needs: { '2': { permit: ['/holder'] } },
           marks: { halt: { record: 'halt', id: '/id', version: '/to' } } }",
    )
    .expect("read");
    let mut a = Reader::new(&spec, 0, 1);
    let mut b = Reader::new(&spec, 3, 1);
    assert_eq!(
        (a.path().as_str(), b.path().as_str()),
        ("/v1/journal?version=1", "/v1/journal?version=2&kind=permit")
    );
    let record_fields = |e: &[Event]| match &e[0] {
        Event::Record { digest, unreadable, prev, .. } => (digest.clone(), unreadable.clone(), *prev),
        other => panic!("{other:?}"),
    };
    let first = a.process("n0", event("permit", "1:7", r#"{"op":"x","prev":"1:6"}"#)).expect("read");
    let second = b.process("n1", event("permit", "1:7", r#"{"prev":"1:3", "op":"x"}"#)).expect("read");
    let (first, second) = (record_fields(&first), record_fields(&second));
    assert_eq!((first.0, first.1, first.2), (second.0.clone(), None, Some(Cursor::new(1, 6))));
    assert_eq!(second.1.as_deref(), Some("/holder is missing"));
    let other = record_fields(&b.process("n1", event("permit", "1:7", r#"{"op":"y"}"#)).expect("read"));
    assert_ne!(other.0, second.0);
    assert_eq!(a.cursor, Some(Cursor::new(1, 7)));
    let halt = a.process("n0", event("halt", "1:8", r#"{"id":"h1","to":"v2"}"#)).expect("read");
    assert_eq!(halt[1], Event::Halted { id: "h1".into(), version: Some("v2".into()) });
    assert!(a.process("n0", event("permit", "8", "{}")).is_err(), "an id that is not a cursor");
    let long = format!(r#"{{"a":"{}"}}"#, "é".repeat(2_000));
    match &a.process("n0", event("x", "1:9", &long)).expect("read")[0] {
        Event::Record { data, .. } => assert!(data.len() <= MAX_DATA_BYTES),
        other => panic!("{other:?}"),
    }
}

#[test]
fn hops_and_delays_are_determined_by_the_seed() {
    let spec = Spec { hop_s: 2.0, ..Spec::default() };
    let run = |seed| {
        let mut reader = Reader::new(&spec, 5, seed);
        reader.process("n0", StreamItem::Retry(200)).expect("read");
        let delays: Vec<Duration> = (0..20).map(|_| reader.reconnect_delay()).collect();
        assert!(delays.iter().all(|d| (100..=300).contains(&d.as_millis())));
        (0..5).for_each(|_| reader.hop(3));
        (delays, reader.manager, reader.time_to_hop())
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
    let selected = (0..300).filter(|n| Reader::new(&spec, *n, 1).is_selected(0.5, 1, 9)).count();
    assert!((110..190).contains(&selected), "{selected} of 300");
    let mut reader = Reader::new(&spec, 0, 1);
    reader.hop(1);
    assert_eq!(reader.manager, 0, "the only manager");
}
