//! Opens the fronts: the sockets that clients connect to.

use super::ServeError;
use crate::core::Core;
use crate::front::{Front, FrontConfig};
use crate::run::listen::listen;
use std::fmt;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tracing::info;

/// The front that a listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontName {
    /// The platform's front, which every manager has.
    Platform,
    /// The second front, which the operator's file configures.
    Second,
}

impl FrontName {
    /// The name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            FrontName::Platform => "platform",
            FrontName::Second => "second",
        }
    }
}

/// The name in the message of a failed start on standard error.
impl fmt::Display for FrontName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FrontName::Platform => "serving",
            FrontName::Second => "second front",
        })
    }
}

/// A front with the task that accepts its connections.
pub struct OpenFront {
    /// The front, which serves the connections.
    pub front: Rc<Front>,
    /// The task that accepts the front's connections; it ends after [`OpenFront::close`].
    pub accept_task: JoinHandle<()>,
}

impl OpenFront {
    /// Starts accepting connections on `listener`; `name` identifies the front in log lines and errors.
    ///
    /// # Errors
    /// A listener whose local address cannot be read.
    pub fn open(
        name: FrontName,
        core: &Rc<Core>,
        listener: TcpListener,
        config: FrontConfig,
    ) -> Result<OpenFront, ServeError> {
        let address =
            listener.local_addr().map_err(|source| ServeError::LocalAddress { front: name, source })?;
        let front = Front::new(Rc::clone(core), config);
        let accept_task = spawn_local(Rc::clone(&front).accept_connections(listener));
        info!(front = name.as_str(), %address, "accepting connections");
        Ok(OpenFront { front, accept_task })
    }

    /// Whether the front has an open request or a connection that is being closed.
    pub fn is_busy(&self) -> bool {
        self.front.open_requests() > 0 || self.front.closing_connections() > 0
    }

    /// Stops accepting connections, and waits until the accept task has ended.
    pub async fn close(&mut self) {
        self.front.close();
        // A task that panicked no longer accepts connections either.
        let _ = (&mut self.accept_task).await;
    }
}

/// Listens on an address; the error contains the address as configured.
///
/// # Errors
/// An address that cannot be bound.
pub async fn bind(address: &str) -> Result<TcpListener, ServeError> {
    listen(address).await.map_err(|source| ServeError::Listen { address: address.to_owned(), source })
}
