//! Statement fingerprints: a statement is read just far enough to distinguish a cheap look-up from an expensive report, to
//! notice a bulk load, and to know what statements of the same form cost before. No input or output, no clock.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`lex`] | a bounded lexer |
//! | [`normal`] | the normal form of a statement, and its fingerprint |
//! | [`facts`] | the facts of a statement: from a parser that reads it completely, or those that the lexer is certain of |
//! | [`statement_cache`] | statements read once, by fingerprint |
//! | [`retry_guard`] | whether a statement may be retried |
//! | [`cache`] | an S3-FIFO cache, which a scan of one-off statements cannot flush |
//! | [`cost`] | work and memory of each fingerprint, learned from answers |

pub mod cache;
pub mod cost;
pub mod facts;
pub mod lex;
pub mod normal;
pub mod retry_guard;
pub mod statement_cache;
