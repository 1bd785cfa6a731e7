//! Socket activation: the clients' listening socket is inherited as a descriptor from the platform, so that a
//! second process can accept connections from the same queue while the first one drains.

use listenfd::ListenFd;
use std::io;
use std::net::TcpListener;

/// The first descriptor that is not a standard stream.
const FIRST_DESCRIPTOR: u32 = 3;

/// Reason why the inherited listening socket cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SocketActivationError {
    /// The descriptor is 0, 1 or 2: a standard stream.
    #[error("EDGE_FD: {0} is a standard stream")]
    StandardStream(u32),
    /// The descriptor is closed, or is of another type than a listening TCP socket.
    #[error("EDGE_FD: descriptor {descriptor}")]
    Descriptor {
        /// The descriptor in `EDGE_FD`.
        descriptor: u32,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The descriptor is not a listening socket.
    #[error("EDGE_FD: descriptor {0} is not a listening socket")]
    NotListening(u32),
}

/// Takes ownership of the listening socket at a descriptor of this process.
///
/// `listenfd` checks that the descriptor is a listening TCP socket before it takes ownership. It reads the
/// number of inherited descriptors from `LISTEN_FDS` (systemd's sd_listen_fds), so this function sets that
/// variable: call it once, before any thread is started.
///
/// # Errors
/// A descriptor below 3, or one that is not a listening TCP socket.
pub fn listener(descriptor: u32) -> Result<TcpListener, SocketActivationError> {
    let index =
        descriptor.checked_sub(FIRST_DESCRIPTOR).ok_or(SocketActivationError::StandardStream(descriptor))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", (index + 1).to_string());
    let taken = ListenFd::from_env().take_tcp_listener(index as usize);
    std::env::remove_var("LISTEN_FDS");
    let descriptor_error = |source| SocketActivationError::Descriptor { descriptor, source };
    let listener = taken.map_err(descriptor_error)?.ok_or(SocketActivationError::NotListening(descriptor))?;
    listener.set_nonblocking(true).map_err(descriptor_error)?;
    Ok(listener)
}
