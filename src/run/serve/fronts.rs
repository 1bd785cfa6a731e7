//! Opens the fronts: the sockets that clients connect to.

use super::ServeError;
use crate::core::system_error::is_out_of_resources;
use crate::core::Core;
use crate::front::{Front, FrontConfig};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

/// How long a start waits for its address: the platform gives it 10 s in all.
const BIND_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two tries to listen.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The platform's front, as log lines name it.
pub const PLATFORM: &str = "serving";
/// The second front, as log lines name it.
pub const SECOND: &str = "second front";

/// A front that takes connections.
pub struct OpenFront {
    /// The front.
    pub front: Rc<Front>,
    /// The task that accepts its connections.
    pub accept_task: JoinHandle<()>,
}

impl OpenFront {
    /// Starts to accept connections on `listener`; `name` is how log lines call the front.
    ///
    /// # Errors
    /// A listener whose own address cannot be read.
    pub fn open(
        name: &'static str,
        core: &Rc<Core>,
        listener: TcpListener,
        setup: FrontConfig,
    ) -> Result<OpenFront, ServeError> {
        let address =
            listener.local_addr().map_err(|source| ServeError::LocalAddress { front: name, source })?;
        let front = Front::new(Rc::clone(core), setup);
        let accept_task = spawn_local(Rc::clone(&front).accept_connections(listener));
        info!("{name} on {address}");
        Ok(OpenFront { front, accept_task })
    }

    /// Whether a session still has something to answer or to end.
    pub fn is_busy(&self) -> bool {
        self.front.open_requests() > 0 || self.front.closing_connections() > 0
    }

    /// Stops accepting, and waits until the accepting task has ended.
    pub async fn close(&mut self) {
        self.front.close();
        // A task that failed accepts nothing any more either.
        let _ = (&mut self.accept_task).await;
    }
}

/// Listens on an address. What passes in a moment is waited for: a want of descriptors, or a predecessor on the address that
/// has not ended yet.
///
/// # Errors
/// An address that cannot be bound within [`BIND_PERIOD`].
pub async fn bind(address: &str) -> Result<TcpListener, ServeError> {
    let deadline = Instant::now() + BIND_PERIOD;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) if may_pass(&error) && Instant::now() < deadline => {
                warn!(%error, "cannot listen on {address} yet: {error}");
                sleep(BIND_RETRY_DELAY).await;
            }
            Err(source) => return Err(ServeError::Listen { address: address.to_owned(), source }),
        }
    }
}

/// Whether a listener may be made a moment later.
fn may_pass(error: &io::Error) -> bool {
    is_out_of_resources(error)
        || matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::Interrupted)
}
