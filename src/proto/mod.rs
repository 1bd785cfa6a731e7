//! What is spoken on the wire: codecs without sockets, clocks or memory of their own.
//!
//! Each is incremental (it says when it wants more bytes) and bounded (it refuses what passes its
//! limit), and none panics whatever it is given.

pub mod events;
pub mod fields;
pub mod literal;
pub mod pg;
pub mod resp;
pub mod sse;
pub mod tables;

/// Why bytes could not be read: the message names the field at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl Malformed {
    /// A fault in the named field.
    pub fn field(name: &str, why: &str) -> Malformed {
        Malformed(format!("field {name} {why}"))
    }
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for Malformed {}
