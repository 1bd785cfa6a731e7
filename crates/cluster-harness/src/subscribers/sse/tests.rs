//! Tests of parsing server-sent events in chunks, and of the maximum size of an event.

use super::*;

fn event(name: &str, id: &str, data: &str) -> StreamItem {
    StreamItem::Event { name: name.into(), id: id.into(), data: data.into() }
}

#[test]
fn a_stream_is_parsed_the_same_in_chunks_of_any_size() {
    let text = "\u{feff}: hello\r\nretry: 250\nid: 1:1\nevent: permit\ndata: a\ndata:b\n\nid: 1:2\rdata\r\rdata: c\n\nevent: x\n\nid:\ndata: d\n\n";
    let expected = [
        StreamItem::Retry(250),
        event("permit", "1:1", "a\nb"),
        event("", "1:2", ""),
        event("", "1:2", "c"),
        event("", "", "d"),
    ];
    for size in [1, 2, 3, 7, 1_000] {
        let mut stream = Stream::default();
        let got: Vec<StreamItem> =
            text.as_bytes().chunks(size).flat_map(|c| stream.push(c).expect("read")).collect();
        assert_eq!(got, expected, "in chunks of {size}");
    }
}

#[test]
fn an_event_over_the_maximum_size_is_an_error() {
    let mut stream = Stream::default();
    stream.push(b"data: ").expect("read");
    let error = (0..2_000).find_map(|_| stream.push(&[b'x'; 1_000]).err());
    assert!(error.expect("an error").to_string().contains("over"));
}
