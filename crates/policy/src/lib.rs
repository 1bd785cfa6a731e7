//! The decision module of the workload manager: [`interface`] is its vocabulary, [`brain`] holds every
//! decision. No input or output, no clock of its own: events and the time go in, actions come out.

mod brain;
mod interface;
mod state;

pub use brain::view as diagnostics;
pub use brain::Policy;
pub use interface::*;

/// The text of the module's sources, for who must tell one version of it from another.
pub const SOURCES: [&str; 3] =
    [include_str!("brain.rs"), include_str!("interface.rs"), include_str!("state.rs")];
