//! A client for calls to the admin address.

use super::WAIT_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Makes one HTTP call and returns the status and the body of the response.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let head = format!("{method} {path} HTTP/1.1\r\nHost: wm\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    (status, text.split_once("\r\n\r\n").expect("a head").1.to_owned())
}

/// Reads the metric `edge.NAME` from `/admin/stats`. Panics if it is missing.
pub fn metric(to: SocketAddr, name: &str) -> u64 {
    let (status, body) = call(to, "GET", "/admin/stats", "");
    assert_eq!(status, 200);
    let line = body.lines().find_map(|l| l.strip_prefix(&format!("edge.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {body}")).parse().expect("a number")
}

/// Body of a cordon or uncordon call for the engine with this id.
pub fn target_body(id: &str) -> String {
    format!(r#"{{"target":"{id}"}}"#)
}
