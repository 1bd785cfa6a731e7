//! The decision module of the workload manager: [`interface`] is its vocabulary, [`brain`] holds every
//! decision. No input or output, no clock of its own: events and the time go in, actions come out.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod brain;
pub mod interface;
mod state;
