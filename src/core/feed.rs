//! Follows the control feed: reconnects where it left off, and backs off while it fails.

use super::table::Core;
use crate::proto::{events, sse};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// First and longest rest between two failed calls.
const REST: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(1_000)];
/// A comment comes each second: a feed silent for this long is dead.
const SILENCE: Duration = Duration::from_millis(3_500);
/// For a connection to the feed.
const DIAL: Duration = Duration::from_millis(1_000);

/// Follows the feed at `address` for good.
pub async fn follow(core: Rc<Core>, address: String) {
    let mut rest = REST[0];
    loop {
        let before = core.last_event();
        let why = call(&core, &address).await;
        core.log(&format!("feed lost: {why}"));
        // A call that brought something starts the rests anew.
        rest = if core.last_event() > before { REST[0] } else { (rest * 2).min(REST[1]) };
        sleep(rest).await;
    }
}

async fn call(core: &Rc<Core>, address: &str) -> String {
    let mut stream = match timeout(DIAL, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    let request = sse::request(address, core.last_event());
    if let Err(e) = stream.write_all(request.as_bytes()).await {
        return e.to_string();
    }
    let (mut reader, mut bytes, mut sent) = (sse::Reader::default(), vec![0; 8192], Vec::new());
    while !reader.over() {
        let n = match timeout(SILENCE, stream.read(&mut bytes)).await {
            Ok(Ok(0)) => return "ended by the other side".into(),
            Ok(Ok(n)) => n,
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return "silent".into(),
        };
        if let Err(e) = reader.take(&bytes[..n], &mut sent) {
            return e.to_string();
        }
        for event in sent.drain(..) {
            match events::parse(&event.data) {
                Ok(Some(list)) => core.on_list(&list, false),
                Ok(None) => event.id.into_iter().for_each(|n| core.passed_event(n)),
                // Guards against one bad event that would come again with every call.
                Err(e) => {
                    core.log(&format!("feed event skipped: {e}"));
                    event.id.into_iter().for_each(|n| core.passed_event(n));
                }
            }
        }
    }
    "ended".into()
}
