//! Listening sockets of a start.

use crate::core::system_error::is_out_of_resources;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// How long a start waits for an address: the platform gives it 10 s in all.
const LISTEN_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on an address. What passes in a moment is waited for: a want of descriptors, or a predecessor on the address that
/// has not ended yet.
///
/// # Errors
/// An address that cannot be bound within [`LISTEN_PERIOD`].
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let deadline = Instant::now() + LISTEN_PERIOD;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if may_pass(&error) && Instant::now() < deadline => {
                warn!(address, %error, "cannot listen yet");
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Whether a listener may be made a moment later.
fn may_pass(error: &io::Error) -> bool {
    is_out_of_resources(error)
        || matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted)
}
