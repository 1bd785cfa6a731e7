//! Tests of `reader`.

use super::*;

fn told(name: &str, id: &str, data: &str) -> StreamItem {
    StreamItem::Event { name: name.into(), id: id.into(), data: data.into() }
}

#[test]
fn a_record_moves_the_cursor_and_its_digest_is_its_content() {
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
    let digests = |e: &[Event]| match &e[0] {
        Event::Record { digest, unreadable, prev, .. } => (digest.clone(), unreadable.clone(), *prev),
        other => panic!("{other:?}"),
    };
    let one = a.take("n0", told("permit", "1:7", r#"{"op":"x","prev":"1:6"}"#)).expect("read");
    let two = b.take("n1", told("permit", "1:7", r#"{"prev":"1:3", "op":"x"}"#)).expect("read");
    let (one, two) = (digests(&one), digests(&two));
    assert_eq!((one.0, one.1, one.2), (two.0.clone(), None, Some(Cursor::new(1, 6))));
    assert_eq!(two.1.as_deref(), Some("/holder is missing"));
    let other = digests(&b.take("n1", told("permit", "1:7", r#"{"op":"y"}"#)).expect("read"));
    assert_ne!(other.0, two.0);
    assert_eq!(a.cursor, Some(Cursor::new(1, 7)));
    let halt = a.take("n0", told("halt", "1:8", r#"{"id":"h1","to":"v2"}"#)).expect("read");
    assert_eq!(halt[1], Event::Halted { id: "h1".into(), version: Some("v2".into()) });
    assert!(a.take("n0", told("permit", "8", "{}")).is_err(), "an id that is no cursor");
    let long = format!(r#"{{"a":"{}"}}"#, "é".repeat(2_000));
    match &a.take("n0", told("x", "1:9", &long)).expect("read")[0] {
        Event::Record { data, .. } => assert!(data.len() <= MAX_DATA_BYTES),
        other => panic!("{other:?}"),
    }
}

#[test]
fn where_and_when_it_goes_is_drawn_by_the_seed() {
    let spec = Spec { hop_s: 2.0, ..Spec::default() };
    let run = |seed| {
        let mut r = Reader::new(&spec, 5, seed);
        r.take("n0", StreamItem::Retry(200)).expect("read");
        let waits: Vec<Duration> = (0..20).map(|_| r.wait()).collect();
        assert!(waits.iter().all(|w| (100..=300).contains(&w.as_millis())));
        (0..5).for_each(|_| r.hop(3));
        (waits, r.at, r.stay())
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
    let among = (0..300).filter(|n| Reader::new(&spec, *n, 1).among(0.5, 1, 9)).count();
    assert!((110..190).contains(&among), "{among} of 300");
    let mut alone = Reader::new(&spec, 0, 1);
    alone.hop(1);
    assert_eq!(alone.at, 0);
}
