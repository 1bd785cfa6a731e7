//! What the platform tells in the process's environment.

use crate::Error;
use std::net::SocketAddr;

/// Least number of an inherited descriptor: those below are the standard streams.
pub const MIN_DESCRIPTOR: u32 = 3;

/// The variables that the program heeds. An empty one counts as absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// The configuration's file (`EDGE_CONFIG`).
    pub config: Option<String>,
    /// Where operators call (`EDGE_OPERATOR`); the configuration's own word goes before it.
    pub operator: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, held by the platform (`EDGE_FD`).
    pub listener: Option<u32>,
}

impl Environment {
    /// Reads the variables; `get` gives one by its name.
    ///
    /// # Errors
    /// Where one holds what it may not, by its name.
    pub fn read(get: impl Fn(&str) -> Option<String>) -> Result<Environment, Error> {
        let get = |name: &str| get(name).filter(|v| !v.is_empty());
        let operator = match get("EDGE_OPERATOR") {
            Some(v) => Some(
                v.parse()
                    .map_err(|_| Error::new("EDGE_OPERATOR", format!("{v:?} is no address and port")))?,
            ),
            None => None,
        };
        let listener = match get("EDGE_FD") {
            Some(v) => Some(v.parse().ok().filter(|n| *n >= MIN_DESCRIPTOR).ok_or_else(|| {
                Error::new("EDGE_FD", format!("{v:?} is no descriptor from {MIN_DESCRIPTOR}"))
            })?),
            None => None,
        };
        Ok(Environment { config: get("EDGE_CONFIG"), operator, listener })
    }
}
