//! Follows the control feed: one HTTP/1.1 call at a time, which goes on where the last one left off. When to call and
//! when to give up, [`super::endpoint_watch`] decides.

use super::endpoint_watch::EndpointWatch;
use super::request_table::Core;
use super::{now, span};
use crate::proto::{events, sse, Malformed};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{ACCEPT, CONNECTION, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use sprucelink_startup::lists::ListCalls;
use std::error::Error;
use std::future::Future;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{error, warn};

/// Bytes that a call reads ahead, and so the longest head of an answer; the least that the library can do with.
const AHEAD: usize = 8192;

/// Follows the feed for good, one call at a time, at whatever address it has: a new one is called at
/// once and the call to the old one dropped, whatever it still had to say. With the cold start's
/// schedule (`calls`), calls wait for their turn in it, and rests are its own.
pub async fn follow(core: Rc<Core>, mut address: watch::Receiver<Option<String>>, calls: Option<ListCalls>) {
    let mut following = EndpointWatch::new(calls, now());
    loop {
        let at = address.borrow_and_update().clone();
        tokio::select! {
            // Guards against a feed that has moved and an old one that stays open with no news.
            biased;
            Ok(()) = address.changed() => following.moved(now()),
            () = turn(&core, at.as_deref(), &mut following) => {}
        }
    }
}

/// A rest and the call after it.
async fn turn(core: &Rc<Core>, at: Option<&str>, following: &mut EndpointWatch) {
    let Some(at) = at else { return std::future::pending().await };
    sleep(span(following.patience(now()))).await;
    following.begins(now());
    let why = call(core, at, following).await.err().unwrap_or_else(|| "ended by the other side".into());
    warn!("feed lost: {why}");
    let rest = following.ended(now());
    if rest.refused {
        let ms = span(rest.span).as_millis() as u64;
        warn!(rest_ms = ms, "feed refused the call: next in {ms} ms");
    }
}

/// A step of a call, within the follower's patience.
async fn within<T, E: Error>(
    following: &EndpointWatch,
    step: impl Future<Output = Result<T, E>>,
) -> Result<T, String> {
    match timeout(span(following.patience(now())), step).await {
        Ok(done) => done.map_err(|e| reason(&e)),
        Err(_) => Err(following.impatience().into()),
    }
}

/// An error with its causes, on one line.
fn reason(e: &dyn Error) -> String {
    let causes = std::iter::successors(e.source(), |e| (*e).source());
    causes.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}

/// Calls the feed and takes its events until the answer ends; an error says why it ended otherwise.
async fn call(core: &Rc<Core>, at: &str, following: &mut EndpointWatch) -> Result<(), String> {
    let stream = within(following, TcpStream::connect(at)).await?;
    following.connected(now());
    let mut client = http1::Builder::new();
    // The head of the answer is looked at for its status and for how its body is cut, no more. A call's few bytes
    // go out in one plain write.
    client.max_buf_size(AHEAD).ignore_invalid_headers_in_responses(true).writev(false);
    let (mut sender, connection) =
        within(following, client.handshake::<_, Empty<Bytes>>(TokioIo::new(stream))).await?;
    // Dropped with the call, and the connection with it.
    let mut driver = JoinSet::new();
    driver.spawn_local(connection);
    let request = Request::get("/v1/events")
        .header(HOST, at)
        .header(ACCEPT, "text/event-stream")
        .header("Last-Event-ID", core.last_event())
        .header(CONNECTION, "close")
        .body(Empty::new())
        .map_err(|e| reason(&e))?;
    let mut answer = within(following, sender.send_request(request)).await?;
    following.answered(answer.status().as_u16(), now())?;
    core.fed();
    let (mut decoder, mut sent) = (sse::Decoder::default(), Vec::new());
    while let Some(frame) = within(following, async { answer.frame().await.transpose() }).await? {
        let Ok(bytes) = frame.into_data() else { continue };
        let before = decoder.whole();
        let mut read = decoder.take(&bytes, &mut sent);
        loop {
            following.heard(decoder.whole() > before, now());
            for event in sent.drain(..) {
                take(core, &event, following)?;
            }
            let Err(e) = read else { break };
            // Guards against an event without end that would come again with every call.
            let event = decoder.id();
            let fresh = event.is_none_or(|n| n > core.last_event());
            if fresh && following.unreadable(event) {
                return Err(e.to_string());
            }
            skip(core, event, &e);
            read = decoder.pass(&mut sent);
        }
    }
    Ok(())
}

/// Takes one event; an error where it is to be asked for anew. Its number is the one that the next call goes on from,
/// and only where it has none the one that its data tells.
fn take(core: &Rc<Core>, event: &sse::Sent, following: &mut EndpointWatch) -> Result<(), String> {
    let last = core.last_event();
    match events::parse(&event.data) {
        Ok(Some(mut list)) => {
            list.n = event.id.unwrap_or(list.n);
            core.on_list(&list, false);
        }
        Ok(None) => event.id.into_iter().for_each(|n| core.passed_event(n)),
        // What was had before is of no use again, whatever became of it on the way.
        Err(_) if event.id.is_some_and(|n| n <= last) => {}
        Err(e) if following.unreadable(event.id) => return Err(format!("an event could not be read: {e}")),
        // Guards against one bad event that would come again with every call.
        Err(e) => skip(core, event.id, &e),
    }
    if core.last_event() != last {
        following.progressed();
    }
    Ok(())
}

/// Passes over an event that cannot be read.
fn skip(core: &Core, event: Option<u64>, why: &Malformed) {
    error!("feed event skipped: {why}");
    event.into_iter().for_each(|n| core.passed_event(n));
}
