//! The extended query protocol, which the operator's front supports (PostgreSQL, "Message Flow", "Extended
//! Query").
//!
//! Prepared statements and portals consist of text and values: they occupy no engine, and are not requests.
//! Only Execute submits a request to the core, each time a new one with its own id. There are no
//! transactions, so a portal lasts until it is closed, replaced, or its session ends.

pub mod objects;
pub mod prepared;
pub mod statement_kind;
pub mod statement_timeout;
