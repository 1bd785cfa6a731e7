//! The clients' listening socket where the platform holds it: inherited as a descriptor, so that a second process can
//! take connections from the same queue while the first one ends.

use listenfd::ListenFd;
use std::net::TcpListener;

/// The first descriptor that is not a standard stream.
const FIRST: u32 = 3;

/// The listening socket at a descriptor of this process.
///
/// It goes through `listenfd`, which checks that a descriptor is a listening TCP socket before it owns it. That crate reads the
/// number of inherited descriptors from `LISTEN_FDS` (systemd's sd_listen_fds), so the variable is set here: to be
/// called once, before any thread is started.
///
/// # Errors
/// A descriptor below 3, or one that is no listening TCP socket.
pub fn listener(descriptor: u32) -> Result<TcpListener, String> {
    let place =
        descriptor.checked_sub(FIRST).ok_or_else(|| format!("EDGE_FD: {descriptor} is a standard stream"))?;
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", (place + 1).to_string());
    let taken = ListenFd::from_env().take_tcp_listener(place as usize);
    std::env::remove_var("LISTEN_FDS");
    let listener = taken.map_err(|e| format!("EDGE_FD: descriptor {descriptor}: {e}"))?;
    let listener =
        listener.ok_or_else(|| format!("EDGE_FD: descriptor {descriptor} is no listening socket"))?;
    listener.set_nonblocking(true).map_err(|e| format!("EDGE_FD: descriptor {descriptor}: {e}"))?;
    Ok(listener)
}
