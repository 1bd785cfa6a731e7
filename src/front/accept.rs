//! The accept loop of a front, which keeps the number of open descriptors within its bound.

use super::connection_slots::EvictionScope;
use super::turn_time::TimedTask;
use super::Front;
use crate::core::now;
use crate::core::socket::accept_queued;
use crate::core::system_error::is_out_of_resources;
use sprucelink_time::{TimeDelta, Timestamp};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Delay after an accept that failed because no descriptor or memory was free, or after
/// [`FAILURES_BEFORE_EVICTION`] consecutive failures for another reason.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Consecutive failed accepts before a connection is evicted to free a descriptor or memory. Another process
/// may free them first.
const FAILURES_BEFORE_EVICTION: u32 = 5;
/// Consecutive failed accepts after which a closing front abandons the connections in its queue: about 0.5 s.
const FAILURES_BEFORE_GIVING_UP: u32 = 25;
/// Minimum time between two log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(5);

/// Counts a connection of the front until its descriptor is closed.
pub(super) struct OpenConnection(Rc<Front>);

impl OpenConnection {
    fn new(front: &Rc<Front>) -> OpenConnection {
        front.open_connections.set(front.open_connections.get() + 1);
        OpenConnection(Rc::clone(front))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
        self.0.descriptor_released.notify_one();
    }
}

impl Front {
    /// Accepts connections until the front is closed, and then those that are already in the listener's
    /// queue. The system is asked for the latter: the runtime may not know of them yet.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let mut last_logged = None;
        let mut consecutive_failures = 0;
        loop {
            let state_changed = self.state_changed.notified();
            let is_paused = self.is_paused.get();
            let has_capacity = is_paused || self.open_connections.get() < self.config.max_connections();
            if !has_capacity {
                // One of the connections without a slot must be closed before another connection is accepted.
                self.sessionless.evict_one();
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept(), if has_capacity && !is_paused => {
                    accepted.map(|(stream, _)| Some(stream))
                }
                () = self.descriptor_released.notified(), if !has_capacity => continue,
                () = std::future::ready(()), if has_capacity && self.is_closing.get() => {
                    if is_paused { Ok(None) } else { accept_queued(&listener) }
                }
                () = state_changed => continue,
            };
            match accepted {
                Ok(Some(stream)) => {
                    consecutive_failures = 0;
                    self.spawn_connection(stream).await;
                }
                Ok(None) => return,
                Err(error) => {
                    log_accept_error(&mut last_logged, &error);
                    consecutive_failures += 1;
                    if self.is_closing.get() && consecutive_failures >= FAILURES_BEFORE_GIVING_UP {
                        return;
                    }
                    self.wait_after_failure(&error, consecutive_failures).await;
                }
            }
        }
    }

    async fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        let open_connection = OpenConnection::new(self);
        let connection = Rc::clone(self).handle_connection(stream, open_connection);
        drop(tokio::task::spawn_local(TimedTask::new(connection, Rc::clone(&self.turn_timer))));
        if self.open_connections.get() >= self.config.max_sessions {
            // Lets a connection that the new one evicts be closed before another connection is accepted.
            tokio::task::yield_now().await;
        }
    }

    /// Waits after an accept has failed. If no descriptor or memory becomes free, a connection is evicted:
    /// the process has fewer descriptors than it was configured for, and only those of clients can be closed.
    async fn wait_after_failure(&self, error: &io::Error, consecutive_failures: u32) {
        if !is_out_of_resources(error) && consecutive_failures < FAILURES_BEFORE_EVICTION {
            // The new connection failed before it was accepted; the accept of another one may succeed.
            return tokio::task::yield_now().await;
        }
        // The connections that were accepted last run during this delay, and may release their descriptors.
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        if !is_out_of_resources(error) || consecutive_failures < FAILURES_BEFORE_EVICTION {
            return;
        }
        self.sessionless.evict_one();
        if !self.slots.evict_one(EvictionScope::WithoutRequest) && self.slots.time_until_evictable().is_none()
        {
            self.slots.evict_one(EvictionScope::WithoutOpenRequest);
        }
    }
}

fn log_accept_error(last_logged: &mut Option<Timestamp>, error: &io::Error) {
    if last_logged.is_none_or(|at| now() - at > ACCEPT_LOG_INTERVAL) {
        *last_logged = Some(now());
        warn!(%error, "accept failed");
    }
}

#[cfg(test)]
mod tests;
