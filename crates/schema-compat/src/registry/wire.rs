//! Ops and snapshots as prost messages. Field numbers are for good; new ones go at the end.

use super::Op;
use crate::bounds::{MAX_DECLARED, MAX_SCHEMA_BYTES};
use crate::declared::Declared;
use crate::uses::{Form, Uses};
use prost::Message as _;

/// Bytes of an op at most: a schema's, and its declarations at some 256 bytes each.
pub const MAX_OP_BYTES: usize = MAX_SCHEMA_BYTES + MAX_DECLARED * 256;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsesRecord {
    #[prost(bool, tag = "1")]
    some: bool,
    #[prost(string, repeated, tag = "2")]
    paths: Vec<String>,
    #[prost(bool, tag = "3")]
    tolerant: bool,
    #[prost(bool, tag = "4")]
    json: bool,
}

/// Kind and up to four texts or numbers: one form for all declarations.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DeclaredRecord {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(string, tag = "2")]
    holder: String,
    #[prost(string, tag = "3")]
    member: String,
    #[prost(string, tag = "4")]
    value: String,
    #[prost(uint32, tag = "5")]
    number: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OpRecord {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(string, tag = "2")]
    publisher: String,
    #[prost(string, tag = "3")]
    subscriber: String,
    #[prost(uint32, tag = "4")]
    version: u32,
    #[prost(bytes = "vec", tag = "5")]
    schema: Vec<u8>,
    #[prost(message, repeated, tag = "6")]
    translations: Vec<DeclaredRecord>,
    #[prost(bool, tag = "7")]
    replayed: bool,
    #[prost(message, optional, tag = "8")]
    uses: Option<UsesRecord>,
    #[prost(uint64, tag = "9")]
    lease_ms: u64,
}

impl From<&Uses> for UsesRecord {
    fn from(uses: &Uses) -> Self {
        Self {
            some: uses.paths.is_some(),
            paths: uses.paths.iter().flatten().cloned().collect(),
            tolerant: uses.tolerant,
            json: uses.form == Form::Json,
        }
    }
}

impl From<UsesRecord> for Uses {
    fn from(record: UsesRecord) -> Self {
        Self {
            paths: record.some.then(|| record.paths.into_iter().collect()),
            tolerant: record.tolerant,
            form: if record.json { Form::Json } else { Form::Binary },
        }
    }
}

impl From<&Declared> for DeclaredRecord {
    fn from(declared: &Declared) -> Self {
        let record = |kind, holder: &String, member: &str, value: &str, number| Self {
            kind,
            holder: holder.clone(),
            member: member.to_string(),
            value: value.to_string(),
            number,
        };
        match declared {
            Declared::MessageWas { message, was } => record(1, message, "", was, 0),
            Declared::FieldWas { message, field, was } => record(2, message, field, was, 0),
            Declared::FieldHadNumber { message, field, number } => record(3, message, field, "", *number),
            Declared::RemovedReadsAs { message, field, value } => record(4, message, field, value, 0),
            Declared::OldReadsAs { message, field, value } => record(5, message, field, value, 0),
            Declared::ValueReadsAs { enumeration, value, reads_as } => {
                record(6, enumeration, value, reads_as, 0)
            }
        }
    }
}

pub(crate) fn declared(record: DeclaredRecord) -> Result<Declared, String> {
    let DeclaredRecord { kind, holder: message, member: field, value, number } = record;
    Ok(match kind {
        1 => Declared::MessageWas { message, was: value },
        2 => Declared::FieldWas { message, field, was: value },
        3 => Declared::FieldHadNumber { message, field, number },
        4 => Declared::RemovedReadsAs { message, field, value },
        5 => Declared::OldReadsAs { message, field, value },
        6 => Declared::ValueReadsAs { enumeration: message, value: field, reads_as: value },
        other => return Err(format!("declaration of unknown kind {other}")),
    })
}

impl Op {
    /// The op as bytes for the journal.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let named = |kind, publisher: &String, subscriber: &String| OpRecord {
            kind,
            publisher: publisher.clone(),
            subscriber: subscriber.clone(),
            ..OpRecord::default()
        };
        let nobody = String::new();
        let record = match self {
            Op::Propose { publisher, schema, translations, replayed } => OpRecord {
                schema: schema.clone(),
                translations: translations.iter().map(DeclaredRecord::from).collect(),
                replayed: *replayed,
                ..named(1, publisher, &nobody)
            },
            Op::Subscribe { subscriber, publisher, version, uses, lease_ms } => OpRecord {
                version: *version,
                uses: Some(uses.into()),
                lease_ms: *lease_ms,
                ..named(2, publisher, subscriber)
            },
            Op::Renew { subscriber, publisher } => named(3, publisher, subscriber),
            Op::Unsubscribe { subscriber, publisher } => named(4, publisher, subscriber),
            Op::LeaseEnded { subscriber, publisher } => named(5, publisher, subscriber),
            Op::Withdraw { publisher, version } => {
                OpRecord { version: *version, ..named(6, publisher, &nobody) }
            }
            Op::Retire { publisher, version } => {
                OpRecord { version: *version, ..named(7, publisher, &nobody) }
            }
        };
        record.encode_to_vec()
    }

    /// An op from the journal's bytes.
    ///
    /// # Errors
    /// Bytes over [`MAX_OP_BYTES`], that are no op, or of a kind that this program does not know, in words.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.len() > MAX_OP_BYTES {
            return Err(format!("op of {} bytes, at most {MAX_OP_BYTES} are taken", bytes.len()));
        }
        let record = OpRecord::decode(bytes).map_err(|error| format!("op: {error}"))?;
        let OpRecord { kind, publisher, subscriber, version, schema, replayed, lease_ms, .. } = record;
        Ok(match kind {
            1 => Op::Propose {
                publisher,
                schema,
                translations: record.translations.into_iter().map(declared).collect::<Result<_, _>>()?,
                replayed,
            },
            2 => {
                let uses = record.uses.ok_or("subscription without uses")?.into();
                Op::Subscribe { subscriber, publisher, version, uses, lease_ms }
            }
            3 => Op::Renew { subscriber, publisher },
            4 => Op::Unsubscribe { subscriber, publisher },
            5 => Op::LeaseEnded { subscriber, publisher },
            6 => Op::Withdraw { publisher, version },
            7 => Op::Retire { publisher, version },
            other => return Err(format!("op of unknown kind {other}")),
        })
    }
}
