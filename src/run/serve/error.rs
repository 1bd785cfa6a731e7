//! Errors that prevent serving or end it early.

use super::fronts::FrontName;
use crate::run::admin::AdminListenError;
use crate::run::certificates::CertificateError;
use crate::run::error::BoxError;
use crate::run::membership_driver::MembershipStartError;
use std::io;

/// Reason why the server could not start, or had to stop while serving.
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
    /// The local address of a front's listener could not be read.
    #[error("{front}")]
    LocalAddress {
        /// The front that the listener belongs to.
        front: FrontName,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The membership's socket could not be opened.
    #[error(transparent)]
    Membership(#[from] MembershipStartError),
    /// The admin address could not be listened on.
    #[error(transparent)]
    Admin(#[from] AdminListenError),
    /// The address for certificate challenges could not be listened on.
    #[error(transparent)]
    Certificates(#[from] CertificateError),
    /// The task that drives the core's clock ended while serving; without it no request reaches its deadline.
    #[error("the core's clock has stopped")]
    CoreStopped,
}
