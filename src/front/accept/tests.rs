//! Tests of the accept loop.

use crate::core::test_support::run_local;
use crate::front::test_support::{startup_packet, Fixture};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Number of connections: more than the runtime lets a task accept in one turn (128).
const CONNECTIONS: usize = 200;

/// Guards against a stop that resets connections in the listener's queue, because the runtime does not know of them
/// or the turn of the accept loop is over.
#[test]
fn connections_that_are_queued_at_a_stop_are_accepted() {
    run_local(async {
        let fixture = Fixture::start(false).await;
        sleep(Duration::from_millis(5)).await;
        let connect = |_| {
            let mut stream = TcpStream::connect(fixture.address).expect("connected");
            stream.write_all(&startup_packet()).expect("written");
            stream
        };
        let mut clients: Vec<TcpStream> = (0..CONNECTIONS).map(connect).collect();
        fixture.front.close();
        let is_greeted = |client: &mut TcpStream| client.read(&mut [0; 16]).is_ok_and(|count| count > 0);
        let greeted =
            spawn_blocking(move || clients.iter_mut().map(is_greeted).filter(|greeted| *greeted).count());
        assert_eq!(greeted.await.expect("counted"), CONNECTIONS);
    });
}
