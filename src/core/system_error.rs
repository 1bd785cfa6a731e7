//! Classes of errors of system calls on sockets (Linux, accept(2), connect(2), socket(2)). Stateless.

use std::io;

/// Error numbers that have no kind in the standard library, with the values of all common architectures of
/// Linux.
mod errno {
    /// The system's limit on open files is reached.
    pub(super) const ENFILE: i32 = 23;
    /// The process's limit on file descriptors is reached.
    pub(super) const EMFILE: i32 = 24;
    /// The kernel has no memory for the call.
    pub(super) const ENOMEM: i32 = 12;
    /// The kernel has no buffer space for the socket.
    pub(super) const ENOBUFS: i32 = 105;
    /// All local ports are in use, or the local address does not exist.
    pub(super) const EADDRNOTAVAIL: i32 = 99;
}

/// Whether a call failed because this machine or this process currently lacks a resource. Such an error says
/// nothing about the peer.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    use errno::{EMFILE, ENFILE, ENOBUFS, ENOMEM};
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM))
}

/// Whether a dial failed for a local and transient reason. Such an error says nothing about the peer.
pub fn is_local_dial_failure(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, Interrupted, WouldBlock};
    is_out_of_resources(error)
        || error.raw_os_error() == Some(errno::EADDRNOTAVAIL)
        || matches!(error.kind(), AddrNotAvailable | Interrupted | WouldBlock)
}

#[cfg(test)]
mod tests;
