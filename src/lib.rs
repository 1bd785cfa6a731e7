//! sprucelink decides, for a gateway in front of query engines with limited memory, which
//! queries are admitted, at which priority level and to which engine they go, and what is done
//! when an attempt ends badly.
//!
//! [`interface`] holds the vocabulary, [`brain`] every decision, [`wire`] the codec of the drill
//! adapter. Embedders need the first two only.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod brain;
pub mod interface;
mod state;
pub mod wire;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
