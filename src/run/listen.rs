//! Opens the listening sockets at startup.

use crate::core::system_error::is_out_of_resources;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};
use tracing::warn;

/// How long startup retries to bind an address. The platform waits 10 s for the whole startup.
const LISTEN_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two attempts to bind.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on an address. A failure is retried if no descriptor is free, or the address is still in
/// use by a predecessor that is about to exit.
///
/// # Errors
/// If the address cannot be bound within [`LISTEN_PERIOD`]; the error is that of the last attempt.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let deadline = Instant::now() + LISTEN_PERIOD;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                warn!(address, %error, "cannot listen yet");
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Whether a later attempt to bind may succeed.
fn is_transient(error: &io::Error) -> bool {
    is_out_of_resources(error)
        || matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted)
}
