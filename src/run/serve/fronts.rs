//! Opens the fronts: the sockets that clients connect to.

use super::ServeError;
use crate::core::Core;
use crate::front::{Front, FrontConfig};
use crate::run::listen::listen;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tracing::info;

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

/// Listens on an address.
///
/// # Errors
/// An address that cannot be bound.
pub async fn bind(address: &str) -> Result<TcpListener, ServeError> {
    listen(address).await.map_err(|source| ServeError::Listen { address: address.to_owned(), source })
}
