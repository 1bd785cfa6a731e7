//! Statement fingerprints: a statement is analysed just far enough to distinguish a cheap look-up from an
//! expensive report, to detect a bulk load, and to look up the cost of earlier statements of the same form.
//! The crate does no input or output, and callers pass the time.
//!
//! | module | content |
//! | --- | --- |
//! | [`lex`] | a bounded lexer |
//! | [`normal`] | the normal form of a statement, and its fingerprint |
//! | [`facts`] | the facts of a statement: all of them from a parser, or those that a lexer can establish if the parser fails |
//! | [`statement_cache`] | a cache of analysed statements by fingerprint |
//! | [`retry_guard`] | whether a statement may be retried |
//! | [`cache`] | an S3-FIFO cache, which a scan of one-off statements cannot flush |
//! | [`cost`] | the expected work and memory of each fingerprint, learned from reported costs |

pub mod cache;
pub mod cost;
pub mod facts;
pub mod lex;
pub mod normal;
pub mod retry_guard;
pub mod statement_cache;
