//! Tests of log lines in the text format.

use super::TextFormat;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// Writer that keeps the bytes written to it; its clones share them.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("unpoisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The output of the text format for the events of `log`, without the time.
fn text_line(log: impl FnOnce()) -> String {
    let output = Output::default();
    let writer = output.clone();
    let subscriber =
        tracing_subscriber::fmt().event_format(TextFormat).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, log);
    let bytes = output.0.lock().expect("unpoisoned").clone();
    let text = String::from_utf8(bytes).expect("UTF-8");
    let (time, line) = text.split_once(' ').expect("a time");
    assert!(time.parse::<f64>().is_ok(), "{time}");
    line.to_owned()
}

#[test]
fn message_comes_first_and_fields_follow_as_key_and_value() {
    let line = text_line(|| tracing::info!(engine = 4, zone = "hall-a", is_home = true, "engine ejected"));
    assert_eq!(line, "engine ejected engine=4 zone=hall-a is_home=true\n");
}

#[test]
fn value_with_separators_or_no_characters_is_quoted() {
    let error = io::Error::other("no route\nto \"s-1\"");
    let line = text_line(|| tracing::warn!(%error, pair = "a=b", empty = "", "feed lost"));
    assert_eq!(line, "feed lost error=\"no route\\nto \\\"s-1\\\"\" pair=\"a=b\" empty=\"\"\n");
}

#[test]
fn absent_value_is_left_out() {
    let line = text_line(|| tracing::info!(zone = None::<u32>, engine = Some(3), "engine ejected"));
    assert_eq!(line, "engine ejected engine=3\n");
}
