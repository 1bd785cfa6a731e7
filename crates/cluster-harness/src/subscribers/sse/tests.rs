//! Tests of `sse`.

use super::*;

fn event(name: &str, id: &str, data: &str) -> StreamItem {
    StreamItem::Event { name: name.into(), id: id.into(), data: data.into() }
}

#[test]
fn a_stream_reads_the_same_in_any_pieces() {
    let text = "\u{feff}: hello\r\nretry: 250\nid: 1:1\nevent: permit\ndata: a\ndata:b\n\nid: 1:2\rdata\r\rdata: c\n\nevent: x\n\nid:\ndata: d\n\n";
    let want = [
        StreamItem::Retry(250),
        event("permit", "1:1", "a\nb"),
        event("", "1:2", ""),
        event("", "1:2", "c"),
        event("", "", "d"),
    ];
    for step in [1, 2, 3, 7, 1_000] {
        let mut stream = Stream::default();
        let got: Vec<StreamItem> =
            text.as_bytes().chunks(step).flat_map(|c| stream.push(c).expect("read")).collect();
        assert_eq!(got, want, "in pieces of {step}");
    }
}

#[test]
fn an_event_without_end_is_cut() {
    let mut stream = Stream::default();
    stream.push(b"data: ").expect("read");
    let cut = (0..2_000).find_map(|_| stream.push(&[b'x'; 1_000]).err());
    assert!(cut.expect("cut").to_string().contains("over"));
}
