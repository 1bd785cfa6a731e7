//! Tests of valid and invalid requests, sent as bytes on a socket: each request gets one response, and the
//! next one is served.

mod common;

use common::*;
use std::io::{Read, Write};
use std::time::Duration;

#[test]
fn each_operation_responds_as_documented() {
    let address = start_with_default_limits();
    let health = get(address, "/admin/health");
    assert_eq!((health.status, health.body.as_str()), (200, "ok\n"));
    let cordon_response = post(address, "/admin/cordon", "{\"target\":\"s-2\"}");
    assert_eq!((cordon_response.status, cordon_response.body.as_str()), (200, "done\n"));
    assert_eq!(post(address, "/admin/cordon", "{\"target\":\"s-2\"}").body, "done already\n");
    assert_eq!(get(address, "/admin/health").status, 503);
    let stats = get(address, "/admin/stats?since=1");
    assert!(stats.head.contains("content-type: text/plain; charset=utf-8"), "{}", stats.head);
    assert!(stats.body.contains("\nedge.ejected=1\n"), "{}", stats.body);
    assert!(stats.body.contains("\nedge.results.lane-rate.succeeded=0\n"), "{}", stats.body);
    assert_eq!(post(address, "/admin/uncordon", "{\"target\":\"s-2\",\"by\":\"ops\"}").status, 200);
    assert_eq!(get(address, "/admin/health").status, 200);
    let head = send(address, b"HEAD /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!((head.status, head.body.as_str()), (200, ""));
    // Forms that other tools use: an absolute URI, no host, an older version, a client that shuts down its
    // side at once.
    for request in ["GET http://x:1/admin/health HTTP/1.1\r\n\r\n", "GET /admin/health HTTP/1.0\r\n\r\n"] {
        assert_eq!(send(address, request.as_bytes()).status, 200, "{request:?}");
        assert_eq!(
            send_and_shut_down(address, request.as_bytes()).status,
            200,
            "{request:?}, then shut down"
        );
    }
    assert_eq!(
        send_and_shut_down(address, post_request("/admin/cordon", "{\"target\":\"s-1\"}").as_bytes()).status,
        200
    );
    let chunked = b"POST /admin/uncordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                    9\r\n{\"target\"\r\n7\r\n:\"s-1\"}\r\n0\r\n\r\n";
    assert_eq!(send(address, chunked).body, "done\n");
    let mut expecting = connect(address);
    expecting
        .write_all(b"POST /admin/cordon HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 16\r\n\r\n")
        .unwrap();
    let mut interim = [0; 25];
    expecting.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    expecting.write_all(b"{\"target\":\"s-2\"}").unwrap();
    assert_eq!(read_response(&mut expecting).body, "done\n");
}

#[test]
fn invalid_request_gets_its_status_and_a_reason() {
    let address = start_with_default_limits();
    let long_target = format!("{{\"target\":\"{}\"}}", "x".repeat(129));
    for (path, body, status, reason) in [
        ("/admin/cordon", "", 400, "body: empty"),
        ("/admin/cordon", "{\"target\":", 400, "body: "),
        ("/admin/cordon", "{}", 400, "target: missing"),
        ("/admin/uncordon", "{\"target\":\"\"}", 400, "target: empty"),
        ("/admin/cordon", "{\"target\":[]}", 400, "target: not a string"),
        ("/admin/uncordon", long_target.as_str(), 400, "target: 129 bytes"),
        ("/admin/cordon", "{\"target\":\"s-3\"}", 404, "target: no engine"),
        ("/admin/uncordon", "{\"target\":\"s-3\"}", 404, "target: no engine"),
        ("/admin/cordon", "{\"target\":\"busy\"}", 503, "no room for another ban"),
        ("/admin/none", "{}", 404, "path: "),
        ("/admin/health", "{}", 405, "method: this path takes GET, HEAD"),
    ] {
        let response = post(address, path, body);
        assert_eq!(response.status, status, "{path} {body}: {response:?}");
        assert!(
            response.body.starts_with(reason) && response.body.ends_with('\n'),
            "{path} {body}: {response:?}"
        );
    }
    let wrong_method = get(address, "/admin/uncordon");
    assert!(wrong_method.status == 405 && wrong_method.head.contains("\r\nallow: POST"), "{wrong_method:?}");
    assert_eq!(send(address, b"CONNECT x:1 HTTP/1.1\r\n\r\n").status, 404);
    assert_eq!(send(address, b"OPTIONS * HTTP/1.1\r\n\r\n").status, 404);
    // A panic in an operation fails only its own request.
    let mut stream = connect(address);
    stream.write_all(post_request("/admin/cordon", "{\"target\":\"panic\"}").as_bytes()).unwrap();
    let mut response = Vec::new();
    assert!(stream.read_to_end(&mut response).map_or(true, |n| n == 0), "{response:?}");
    assert_eq!(get(address, "/admin/health").status, 200);
}

#[test]
fn request_split_at_any_byte_is_answered() {
    let address = start_with_default_limits();
    let bytes = post_request("/admin/cordon", "{\"target\":\"s-1\"}").into_bytes();
    let clients: Vec<_> = (1..bytes.len())
        .map(|cut| {
            let bytes = bytes.clone();
            std::thread::spawn(move || {
                let mut stream = connect(address);
                stream.write_all(&bytes[..cut]).unwrap();
                std::thread::sleep(Duration::from_millis(5));
                stream.write_all(&bytes[cut..]).unwrap();
                (cut, read_response(&mut stream))
            })
        })
        .collect();
    // There are more concurrent clients than slots, but no client is evicted in the time that its request
    // takes.
    for client in clients {
        let (cut, response) = client.join().unwrap();
        assert_eq!(response.status, 200, "cut at {cut}: {response:?}");
    }
    let mut stream = connect(address);
    for byte in &bytes {
        stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(read_response(&mut stream).body, "done already\n");
}

#[test]
fn malformed_bytes_get_a_response_and_the_connection_is_closed() {
    let address = start_with_default_limits();
    let tls = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03";
    let many_headers: String = (0..200).map(|n| format!("a{n}: b\r\n")).collect();
    let cases: Vec<(Vec<u8>, u16)> = vec![
        (tls.to_vec(), 400),
        (b"\0\0\0\x08\x04\xd2\x16\x2f".to_vec(), 400),
        (b"hello\r\n\r\n".to_vec(), 400),
        (b"GET /admin/health\r\n\r\n".to_vec(), 400),
        (b"GET /admin/health HTTP/7.3\r\n\r\n".to_vec(), 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), 400),
        (b"GET /admin/health HTTP/1.1\r\nno colon\r\n\r\n".to_vec(), 400),
        (b"POST /admin/cordon HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_vec(), 400),
        (b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_vec(), 400),
        (b"POST /admin/cordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_vec(), 400),
        // Too long: the request line, one header, all headers, the body by its announced length.
        ([b"GET /", "a".repeat(100_000).as_bytes()].concat(), 431),
        ([b"GET / HTTP/1.1\r\nx: ", "a".repeat(100_000).as_bytes()].concat(), 431),
        ([b"GET / HTTP/1.1\r\n", many_headers.as_bytes(), b"\r\n"].concat(), 431),
        (b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 4097\r\n\r\n".to_vec(), 413),
        (b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n".to_vec(), 431),
    ];
    for (bytes, status) in cases {
        let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
        let response = send(address, &bytes);
        assert_eq!(response.status, status, "{shown:?}: {response:?}");
        assert!(response.body.len() > 10 && response.body.ends_with('\n'), "{shown:?}: {response:?}");
    }
    // The client ends a request before it is complete, in the head and in the body.
    assert_eq!(send_and_shut_down(address, b"GET /admin/health HTT").status, 400);
    let complete = post_request("/admin/cordon", "{\"target\":\"s-1\"}");
    let response = send_and_shut_down(address, &complete.as_bytes()[..complete.len() - 5]);
    assert_eq!(response.status, 400, "{response:?}");
    // A second request on the same connection is not served.
    let requests = [
        post_request("/admin/cordon", "{\"target\":\"s-1\"}"),
        post_request("/admin/uncordon", "{\"target\":\"s-1\"}"),
    ];
    assert_eq!(send(address, requests.concat().as_bytes()).body, "done\n");
    assert_eq!(metric(address, "ejected"), 1);
    assert!(metric(address, "admin.malformed") >= 10);
}

#[test]
fn endless_body_is_rejected_at_its_limit() {
    let address = start_with_default_limits();
    let mut stream = connect(address);
    stream.write_all(b"POST /admin/cordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    let chunk = [b"400\r\n", " ".repeat(0x400).as_bytes(), b"\r\n"].concat();
    let mut reader = stream.try_clone().unwrap();
    let response = std::thread::spawn(move || read_response(&mut reader));
    let mut sent = 0;
    // Chunks are written until the server stops reading them: a write fails once the connection is closed.
    while sent < 100_000_000 && stream.write_all(&chunk).is_ok() {
        sent += chunk.len();
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(sent < 100_000_000);
    assert_eq!(response.join().unwrap().status, 413);
}
