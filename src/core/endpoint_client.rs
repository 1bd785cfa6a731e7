//! The client of the control feed: one HTTP/1.1 poll at a time, each of which continues after the last event
//! that was applied or skipped.
//!
//! Input: the address of the feed, and the events of its responses. Output: endpoint lists, applied to the
//! [`Core`]. State: none; [`super::endpoint_watch`] decides when to poll and when a poll times out.

use super::endpoint_watch::{EndpointWatch, UnexpectedStatus};
use super::socket::Socket;
use super::{now, to_duration, Core};
use crate::proto::{events, sse};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{ACCEPT, CONNECTION, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sprucelink_startup::endpoint_poller::EndpointPoller;
use std::error::Error;
use std::future::Future;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{error, warn};

/// Size of the read buffer of a poll in bytes, which also limits the head of a response: the smallest size
/// that hyper accepts.
const READ_AHEAD_BYTES: usize = 8192;

/// Why a poll ended before its response was complete.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("{0}")]
    TimedOut(&'static str),
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Status(#[from] UnexpectedStatus),
    #[error(transparent)]
    Stream(sse::SseError),
    #[error("an event could not be read")]
    Event(#[source] events::EventError),
}

/// Watches the endpoint list until the process ends, one poll at a time. If the address of the feed changes,
/// the new address is polled at once and the poll of the old address is dropped; without an address nothing
/// is polled. `schedule` sets the times of polls and their backoffs, if start-up control is on.
pub async fn follow(
    core: Rc<Core>,
    mut address: watch::Receiver<Option<String>>,
    schedule: Option<EndpointPoller>,
) {
    let mut watch = EndpointWatch::new(schedule, now());
    loop {
        let current = address.borrow_and_update().clone();
        tokio::select! {
            // The feed may move while its old address keeps a poll open without events.
            biased;
            Ok(()) = address.changed() => watch.on_address_changed(now()),
            () = wait_and_poll(&core, current.as_deref(), &mut watch) => {}
        }
    }
}

/// Waits for the end of the backoff, then polls the feed once and logs why the poll ended.
async fn wait_and_poll(core: &Rc<Core>, address: Option<&str>, watch: &mut EndpointWatch) {
    let Some(address) = address else { return std::future::pending().await };
    sleep(to_duration(watch.time_left(now()))).await;
    watch.on_poll_started(now());
    match poll(core, address, watch).await {
        Ok(()) => warn!(error = "ended by the other side", "feed lost"),
        Err(error) => warn!(error = with_causes(&error), "feed lost"),
    }
    let backoff = watch.on_poll_ended(now());
    if backoff.was_rejected {
        let retry_after_ms = to_duration(backoff.delay).as_millis() as u64;
        warn!(retry_after_ms, "feed rejected the poll");
    }
}

/// Runs a step of a poll with the timeout of the watch's current phase.
async fn within<T, E: Into<PollError>>(
    watch: &EndpointWatch,
    step: impl Future<Output = Result<T, E>>,
) -> Result<T, PollError> {
    match timeout(to_duration(watch.time_left(now())), step).await {
        Ok(result) => result.map_err(Into::into),
        Err(_) => Err(PollError::TimedOut(watch.timeout_reason())),
    }
}

/// The text of an error and its causes, on one line.
fn with_causes(error: &dyn Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| (*cause).source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}

/// Polls the feed and applies its events until the response ends.
async fn poll(core: &Rc<Core>, address: &str, watch: &mut EndpointWatch) -> Result<(), PollError> {
    let stream = within(watch, TcpStream::connect(address)).await?;
    watch.on_connected(now());
    let mut client = http1::Builder::new();
    // Only the status and the framing of the response are used. The request is short enough for one plain
    // write.
    client.max_buf_size(READ_AHEAD_BYTES).ignore_invalid_headers_in_responses(true).writev(false);
    let (mut sender, connection) =
        within(watch, client.handshake::<_, Empty<Bytes>>(TokioIo::new(Socket::new(stream)))).await?;
    // Dropping the poll aborts this task, which closes the connection.
    let mut driver = JoinSet::new();
    driver.spawn_local(connection);
    let request = Request::get("/v1/events")
        .header(HOST, address)
        .header(ACCEPT, "text/event-stream")
        .header("Last-Event-ID", core.last_event())
        .header(CONNECTION, "close")
        .body(Empty::new())?;
    let response = within(watch, sender.send_request(request)).await?;
    watch.on_response(response.status().as_u16(), now())?;
    core.on_control_feed_answered();
    read_events(core, response, watch).await
}

/// Applies the events of a response until it ends.
async fn read_events(
    core: &Rc<Core>,
    mut response: Response<Incoming>,
    watch: &mut EndpointWatch,
) -> Result<(), PollError> {
    let mut decoder = sse::Decoder::default();
    let mut decoded = Vec::new();
    while let Some(frame) = within(watch, async { response.frame().await.transpose() }).await? {
        let Ok(bytes) = frame.into_data() else { continue };
        let complete_before = decoder.completed();
        let mut result = decoder.decode(&bytes, &mut decoded);
        loop {
            watch.on_bytes(decoder.completed() > complete_before, now());
            for event in decoded.drain(..) {
                apply(core, &event, watch)?;
            }
            let Err(error) = result else { break };
            // An event that exceeds the decoder's limits would otherwise end every poll.
            let event = decoder.id();
            let is_new = event.is_none_or(|number| number > core.last_event());
            if is_new && watch.should_retry_event(event) {
                return Err(PollError::Stream(error));
            }
            skip(core, event, &error);
            result = decoder.skip_event(&mut decoded);
        }
    }
    Ok(())
}

/// Applies one event; returns an error if the next poll has to request the event again. The event's id, after
/// which the next poll continues, overrides the number in its data.
fn apply(core: &Rc<Core>, event: &sse::ServerSentEvent, watch: &mut EndpointWatch) -> Result<(), PollError> {
    let last_event = core.last_event();
    match events::parse(&event.data) {
        Ok(Some(mut list)) => {
            list.number = event.id.unwrap_or(list.number);
            core.on_endpoint_list(&list, false);
        }
        Ok(None) => event.id.into_iter().for_each(|number| core.skip_event(number)),
        // The event was already applied, so a damaged copy loses nothing.
        Err(_) if event.id.is_some_and(|number| number <= last_event) => {}
        Err(error) if watch.should_retry_event(event.id) => return Err(PollError::Event(error)),
        // The event has no retries left and is skipped: requested again, it would end each further poll.
        Err(error) => skip(core, event.id, &error),
    }
    if core.last_event() != last_event {
        watch.on_event_applied();
    }
    Ok(())
}

/// Skips an event that cannot be read: the next poll continues after it.
fn skip(core: &Core, event: Option<u64>, error: &dyn std::error::Error) {
    error!(%error, "feed event skipped");
    event.into_iter().for_each(|number| core.skip_event(number));
}
