//! Why serving could not start, or ended early.

use super::fronts::FrontName;
use crate::run::admin::AdminListenError;
use crate::run::certificates::CertificateError;
use crate::run::error::BoxError;
use crate::run::membership_driver::MembershipStartError;
use std::io;

/// A start that failed, or a server that could not go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The async runtime could not be built.
    #[error("runtime")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be registered.
    #[error("signals")]
    Signals(#[source] io::Error),
    /// The metrics registry rejected the configured classes.
    #[error("figures")]
    Metrics(#[source] BoxError),
    /// An address could not be bound.
    #[error("listen on {address}")]
    Listen {
        /// The address as configured.
        address: String,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The inherited listening socket could not be used.
    #[error("EDGE_FD")]
    InheritedListener(#[source] io::Error),
    /// A front's own address could not be read from its socket.
    #[error("{front}")]
    LocalAddress {
        /// Which front.
        front: FrontName,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The membership could not start.
    #[error(transparent)]
    Membership(#[from] MembershipStartError),
    /// The admin listener could not start.
    #[error(transparent)]
    Admin(#[from] AdminListenError),
    /// The listener for certificate challenges could not start.
    #[error(transparent)]
    Certificates(#[from] CertificateError),
    /// The task that drives the core's clock ended while serving.
    #[error("the core's clock has stopped")]
    CoreStopped,
}
