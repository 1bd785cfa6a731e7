//! Follows the control feed: reconnects where it left off, and backs off while it fails.

use super::requests::Core;
use super::{now, span};
use crate::proto::{events, sse};
use sprucelink_coldstart::lists::{Ended, ListCalls};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::{error, warn};

/// First and longest rest between two calls. What the feed holds counts as told whether it is
/// connected or not, and a drain must be heeded within 500 ms: no rest may come near that.
const REST: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(250)];
/// A comment comes each second: a feed silent for this long is dead.
const SILENCE: Duration = Duration::from_millis(2_500);
/// For a connection to the feed.
const DIAL: Duration = Duration::from_millis(500);

/// An event that cannot be read is asked for anew so many times before it is passed over: what spoilt it
/// on the way may not come again, and what it told would be lost.
const ANEW: u32 = 3;

/// The event that could not be read last, and how often that was.
#[derive(Default)]
struct Unread {
    event: Option<u64>,
    times: u32,
}

impl Unread {
    /// Whether an event that could not be read is to be asked for anew.
    fn again(&mut self, event: Option<u64>) -> bool {
        if self.event != event {
            *self = Unread { event, times: 0 };
        }
        self.times += 1;
        self.times <= ANEW
    }
}

/// Follows the feed for good, one call at a time, at whatever address it has: a new one is called at
/// once and the call to the old one dropped, whatever it still had to say. With the cold start's
/// schedule (`calls`), calls wait for their turn in it, and rests are its own.
pub async fn follow(
    core: Rc<Core>,
    mut address: watch::Receiver<Option<String>>,
    mut calls: Option<ListCalls>,
) {
    let (mut rest, mut unread) = (REST[0], Unread::default());
    loop {
        if let Some(calls) = &mut calls {
            if let Some(due) = calls.due().filter(|due| *due > now()) {
                tokio::select! {
                    () = sleep(span(due - now())) => {}
                    Ok(()) = address.changed() => {}
                }
            }
            calls.start(now());
        }
        let at = address.borrow_and_update().clone();
        let mut reader = sse::Reader::default();
        let why = tokio::select! {
            // Guards against a feed that has moved and an old one that stays open with no news.
            biased;
            Ok(()) = address.changed() => None,
            why = async {
                match &at {
                    Some(at) => call(&core, at, &mut reader, &mut unread).await,
                    None => std::future::pending().await,
                }
            } => Some(why),
        };
        let Some(why) = why else {
            rest = REST[0];
            // A feed that has moved is called at once: the old one tells nothing more.
            if let Some(calls) = &mut calls {
                calls.ended(now(), Ended::Answered);
                calls.start(now());
            }
            continue;
        };
        warn!("feed lost: {why}");
        rest = next_rest(rest, reader.open());
        if let Some(calls) = &mut calls {
            let how = if reader.refused() {
                Ended::Refused
            } else if reader.open() {
                Ended::Answered
            } else {
                Ended::Failed
            };
            let next = calls.ended(now(), how);
            rest = span(next - now());
            if how == Ended::Refused {
                warn!(
                    rest_ms = rest.as_millis() as u64,
                    "feed refused the call: next in {} ms",
                    rest.as_millis()
                );
            }
        }
        tokio::select! {
            () = sleep(rest) => {}
            Ok(()) = address.changed() => rest = REST[0],
        }
    }
}

/// The rests grow with calls that were not answered, and start anew with one that was, whether it
/// brought an event or not: a feed may end its answers as it likes.
fn next_rest(rest: Duration, answered: bool) -> Duration {
    if answered {
        REST[0]
    } else {
        (rest * 2).min(REST[1])
    }
}

async fn call(core: &Rc<Core>, address: &str, reader: &mut sse::Reader, unread: &mut Unread) -> String {
    let mut stream = match timeout(DIAL, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "no connection in time".into(),
    };
    let request = sse::request(address, core.last_event());
    if let Err(e) = stream.write_all(request.as_bytes()).await {
        return e.to_string();
    }
    let (mut bytes, mut sent) = (vec![0; 8192], Vec::new());
    while !reader.over() {
        let n = match timeout(SILENCE, stream.read(&mut bytes)).await {
            Ok(Ok(0)) => return "ended by the other side".into(),
            Ok(Ok(n)) => n,
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return "silent".into(),
        };
        let was_open = reader.open();
        if let Err(e) = reader.take(&bytes[..n], &mut sent) {
            return e.to_string();
        }
        if reader.open() && !was_open {
            core.fed();
        }
        for event in sent.drain(..) {
            match events::parse(&event.data) {
                Ok(Some(list)) => core.on_list(&list, false),
                Ok(None) => event.id.into_iter().for_each(|n| core.passed_event(n)),
                Err(e) if unread.again(event.id) => return format!("an event could not be read: {e}"),
                // Guards against one bad event that would come again with every call.
                Err(e) => {
                    error!("feed event skipped: {e}");
                    event.id.into_iter().for_each(|n| core.passed_event(n));
                }
            }
        }
    }
    "ended".into()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the rule on drains: a feed that ends its answers often, with nothing new in them, was
    /// called again only after a whole second, while what it held counted as told.
    #[test]
    fn rests_grow_only_while_nobody_answers_and_stay_far_under_the_drain_grace() {
        let mut rest = REST[0];
        for _ in 0..20 {
            rest = next_rest(rest, true);
            assert_eq!(rest, REST[0]);
        }
        let rests: Vec<u128> = (0..6)
            .map(|_| {
                rest = next_rest(rest, false);
                rest.as_millis()
            })
            .collect();
        assert_eq!(rests, [40, 80, 160, 250, 250, 250]);
    }
}
