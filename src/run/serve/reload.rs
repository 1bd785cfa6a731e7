//! Reads the configuration again at SIGHUP.

use crate::core::now;
use crate::run::cli::ServeOptions;
use crate::run::config::Config;
use crate::run::error::with_causes;
use crate::run::feed_address::FeedAddress;
use crate::run::startup_files::StartupFileError;
use sprucelink_hot_restart::FeedChange;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::task::spawn_blocking;
use tokio::time::{timeout, Instant};
use tracing::{info, warn};

/// How long reading is retried when the configuration is unreadable or invalid.
const RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Pause between two attempts to read the configuration.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Function that reads the configuration that the options name; it may block.
pub type ConfigReader = fn(&ServeOptions) -> Result<Config, StartupFileError>;

/// Reason why the configuration could not be reloaded.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The file could not be read or is invalid.
    #[error(transparent)]
    Config(#[from] StartupFileError),
    /// The thread that read the file panicked.
    #[error("the thread that reads the configuration panicked")]
    ReaderFailed,
    /// The configuration names no control feed.
    #[error("configuration: feed: missing")]
    FeedMissing,
    /// The control feed's address has no host or no port.
    #[error("configuration: feed: {0:?} is no address and port")]
    FeedAddress(String),
}

/// Reads the configuration again whenever SIGHUP arrives.
pub struct Reloader {
    /// Receives SIGHUP.
    pub hangup: Signal,
    /// Options of the process, which name the configuration file.
    pub options: ServeOptions,
    /// Reads the configuration, on a blocking thread.
    pub read_config: ConfigReader,
}

impl Reloader {
    /// Handles each SIGHUP until the signal stream ends, and sets the control feed's address in
    /// `feed_address`. Signals that arrive while a file is being read are merged into one,
    /// so the last version of the file is always read.
    ///
    /// Only the feed's address changes in a running process: sessions, requests and engine connections are
    /// not affected.
    pub async fn run(mut self, feed_address: Rc<FeedAddress>) {
        while self.hangup.recv().await.is_some() {
            self.reload(&feed_address).await;
        }
    }

    /// Reads the file repeatedly until it is readable and valid, for [`RETRY_PERIOD`] at most. Another
    /// program may still be writing it, or it may fail to open for a moment, and no second signal announces
    /// that it is complete.
    async fn reload(&mut self, feed_address: &FeedAddress) {
        let mut deadline = Instant::now() + RETRY_PERIOD;
        let mut was_logged = false;
        loop {
            match self.read_feed_address().await {
                Ok(address) => {
                    info!(feed_address = address, "configuration reloaded");
                    feed_address.apply(FeedChange { address, changed_at: now() });
                    return;
                }
                // An invalid file must not disturb a serving process: its settings stay as they were.
                Err(error) if !was_logged => {
                    was_logged = true;
                    warn!(error = with_causes(&error), "configuration not reloaded; keeping the current one");
                }
                Err(_) if Instant::now() >= deadline => return,
                Err(_) => {}
            }
            // Another SIGHUP may announce a corrected file: the retry period starts again.
            if timeout(RETRY_INTERVAL, self.hangup.recv()).await.is_ok() {
                deadline = Instant::now() + RETRY_PERIOD;
                was_logged = false;
            }
        }
    }

    async fn read_feed_address(&self) -> Result<String, ReloadError> {
        let options = self.options.clone();
        let read_config = self.read_config;
        // The file is read on a blocking thread: a slow file system must not delay requests.
        let read = spawn_blocking(move || read_config(&options)).await;
        let config = read.map_err(|_| ReloadError::ReaderFailed)??;
        let address = config.feed.ok_or(ReloadError::FeedMissing)?;
        if has_host_and_port(&address) {
            Ok(address)
        } else {
            Err(ReloadError::FeedAddress(address))
        }
    }
}

/// Whether an address has a host, and a port other than 0.
fn has_host_and_port(address: &str) -> bool {
    let (host, port) = address.rsplit_once(':').unwrap_or_default();
    !host.is_empty() && matches!(port.parse::<u16>(), Ok(1..))
}
