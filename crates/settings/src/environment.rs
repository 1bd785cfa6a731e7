//! Settings in the environment variables of the process.

use crate::{Error, ErrorReason};
use std::net::SocketAddr;

/// Lowest descriptor that can be inherited: lower descriptors are the standard streams.
pub const MIN_DESCRIPTOR: u32 = 3;

/// Variable with the path of the configuration file.
const CONFIG: &str = "EDGE_CONFIG";
/// Variable with the address of the admin listener.
const ADMIN_ADDRESS: &str = "EDGE_OPERATOR";
/// Variable with the descriptor of the clients' listening socket.
const LISTENER: &str = "EDGE_FD";

/// The environment variables that the program reads. An empty variable counts as absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// Path of the configuration file (`EDGE_CONFIG`).
    pub config: Option<String>,
    /// Address of the admin listener (`EDGE_OPERATOR`); an address in the configuration takes precedence.
    pub admin_address: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket, if the platform passes one on (`EDGE_FD`).
    pub listener: Option<u32>,
}

impl Environment {
    /// Reads the variables; `get` returns the value of the variable with the given name.
    ///
    /// # Errors
    /// An invalid value, with the name of its variable.
    pub fn read(get: impl Fn(&str) -> Option<String>) -> Result<Environment, Error> {
        let get = |name: &str| get(name).filter(|value| !value.is_empty());
        let admin_address = get(ADMIN_ADDRESS).map(parse_admin_address).transpose()?;
        let listener = get(LISTENER).map(parse_listener).transpose()?;
        Ok(Environment { config: get(CONFIG), admin_address, listener })
    }
}

fn parse_admin_address(value: String) -> Result<SocketAddr, Error> {
    value.parse().map_err(|_| Error::at_path(ADMIN_ADDRESS, ErrorReason::NotSocketAddress(value)))
}

fn parse_listener(value: String) -> Result<u32, Error> {
    let descriptor = value.parse().ok().filter(|number| *number >= MIN_DESCRIPTOR);
    descriptor.ok_or_else(|| Error::at_path(LISTENER, ErrorReason::NotDescriptor(value)))
}
