//! The fleet's journal: what its records are, and where in it one stands.
//!
//! An [`Entry`] is proposed by a manager or an operator, agreed on by the council, and applied by every manager in
//! the same order. Applied, it is a [`Record`]: the entry, its [`Position`] and its [`Outcome`]. An outcome follows
//! from the records before it and from nothing else, so it is the same everywhere. Who agrees, what records mean
//! and who reads them are other crates' matters (`council`, `rollout`, `compat`, `fanout`).

mod position;
mod seen_before;

/// The records, as `proto/journal.proto` has them.
#[allow(missing_docs, reason = "generated: the documentation stands in proto/journal.proto")]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.journal.v1.rs"));
}

pub use position::{BadPosition, Position};
pub use prost;
pub use seen_before::{Proposals, MOST_ORIGINS, WINDOW};
pub use v1::{Entry, Outcome, Record};

use prost::Message;

/// The descriptors of the records, as an encoded `FileDescriptorSet`.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/journal.fds"));

/// An entry holds at most so many bytes: it has to fit one message of the council beside others, and every
/// subscriber's buffer.
pub const MOST_ENTRY: usize = 256 * 1024;

/// Why bytes are no entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadEntry {
    /// More bytes than [`MOST_ENTRY`].
    TooLong(usize),
    /// Not in the records' form.
    Unreadable(String),
    /// A field that every entry has is missing.
    Missing(&'static str),
}

impl std::fmt::Display for BadEntry {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            BadEntry::TooLong(n) => write!(f, "an entry of {n} bytes, {MOST_ENTRY} at most"),
            BadEntry::Unreadable(why) => write!(f, "unreadable: {why}"),
            BadEntry::Missing(field) => write!(f, "{field}: missing"),
        }
    }
}

impl std::error::Error for BadEntry {}

/// An entry's bytes.
///
/// # Errors
/// Those that [`decode`] would have.
pub fn encode(entry: &Entry) -> Result<Vec<u8>, BadEntry> {
    whole(entry)?;
    match entry.encoded_len() {
        n if n > MOST_ENTRY => Err(BadEntry::TooLong(n)),
        _ => Ok(entry.encode_to_vec()),
    }
}

/// An entry from its bytes. A body that this version does not know reads as none: such an entry has a position and
/// no effect here, see [`Outcome`].
///
/// # Errors
/// Bytes that are too many or unreadable; an entry without an origin or a sequence.
pub fn decode(bytes: &[u8]) -> Result<Entry, BadEntry> {
    if bytes.len() > MOST_ENTRY {
        return Err(BadEntry::TooLong(bytes.len()));
    }
    let entry = Entry::decode(bytes).map_err(|e| BadEntry::Unreadable(e.to_string()))?;
    whole(&entry)?;
    Ok(entry)
}

fn whole(entry: &Entry) -> Result<(), BadEntry> {
    match (entry.origin.is_empty(), entry.sequence) {
        (true, _) => Err(BadEntry::Missing("origin")),
        (_, 0) => Err(BadEntry::Missing("sequence")),
        _ => Ok(()),
    }
}

impl Record {
    /// Where it stands.
    pub fn position(&self) -> Position {
        Position { epoch: self.epoch, index: self.index }
    }
}

impl Outcome {
    /// It took effect, and was given this number (0: none).
    pub fn done(number: u64) -> Outcome {
        Outcome { kind: v1::outcome::Kind::Done as i32, number, ..Outcome::default() }
    }

    /// It broke a rule, by its stable name and in words.
    pub fn refused(rule: &str, why: impl Into<String>) -> Outcome {
        let (kind, rule, why) = (v1::outcome::Kind::Refused as i32, rule.to_owned(), why.into());
        Outcome { kind, rule, why, number: 0 }
    }

    /// Its proposal had taken effect before.
    pub fn repeated() -> Outcome {
        Outcome { kind: v1::outcome::Kind::Repeated as i32, ..Outcome::default() }
    }

    /// Whether it took effect.
    pub fn is_done(&self) -> bool {
        self.kind() == v1::outcome::Kind::Done
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_entry_comes_back_whole_and_a_bad_one_is_named() {
        let body = v1::entry::Body::Note(v1::Note { by: "m1".into(), text: "harvest".into() });
        let entry = Entry { origin: "m1".into(), sequence: 7, body: Some(body), ..Entry::default() };
        let bytes = encode(&entry).expect("encoded");
        assert_eq!(decode(&bytes), Ok(entry.clone()));
        assert_eq!(
            encode(&Entry { origin: String::new(), ..entry.clone() }),
            Err(BadEntry::Missing("origin"))
        );
        assert_eq!(encode(&Entry { sequence: 0, ..entry.clone() }), Err(BadEntry::Missing("sequence")));
        let text = "x".repeat(MOST_ENTRY);
        let body = v1::entry::Body::Note(v1::Note { by: String::new(), text });
        let long = Entry { body: Some(body), ..entry };
        assert!(matches!(encode(&long), Err(BadEntry::TooLong(_))));
        assert!(matches!(decode(&vec![0; MOST_ENTRY + 1]), Err(BadEntry::TooLong(_))));
        assert!(matches!(decode(&bytes[..bytes.len() - 1]), Err(BadEntry::Unreadable(_))));
    }

    /// Guards old managers against new records: what they do not know has a position and no effect.
    #[test]
    fn a_body_of_a_later_version_reads_as_none() {
        let mut bytes = Entry { origin: "m1".into(), sequence: 1, ..Entry::default() }.encode_to_vec();
        // Field 900, length-delimited, one byte.
        bytes.extend_from_slice(&[0xa2, 0x38, 1, 0]);
        assert_eq!(decode(&bytes).expect("read").body, None);
    }
}
