//! Encodes commands as protobuf messages. Field numbers are permanent; new fields get new numbers.

use super::RegistryCommand;
use crate::declaration::MigrationDeclaration;
use crate::limits::{MAX_DECLARATIONS, MAX_SCHEMA_BYTES};
use crate::usage::{ReaderUsage, RecordEncoding};
use prost::Message as _;
use thiserror::Error;

/// Maximum bytes of a command: the maximum of a schema, and 256 for each declaration.
pub const MAX_COMMAND_BYTES: usize = MAX_SCHEMA_BYTES + MAX_DECLARATIONS * 256;

/// Why bytes cannot be decoded as a command.
#[derive(Clone, PartialEq, Eq, Debug, Error)]
pub enum CommandDecodeError {
    /// The command has more bytes than [`MAX_COMMAND_BYTES`].
    #[error("command of {bytes} bytes, at most {MAX_COMMAND_BYTES} are allowed")]
    TooLarge {
        /// Size of the encoded command, in bytes.
        bytes: usize,
    },
    /// The bytes are not a protobuf message of a command.
    #[error("invalid command: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The command is of a kind that this program does not know.
    #[error("command of unknown kind {0}")]
    UnknownCommandKind(u32),
    /// A declaration is of a kind that this program does not know.
    #[error("declaration of unknown kind {0}")]
    UnknownDeclarationKind(u32),
    /// A subscription has no usage declaration.
    #[error("subscription without a usage declaration")]
    MissingUsage,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsageRecord {
    #[prost(bool, tag = "1")]
    has_paths: bool,
    #[prost(string, repeated, tag = "2")]
    paths: Vec<String>,
    #[prost(bool, tag = "3")]
    tolerant: bool,
    #[prost(bool, tag = "4")]
    json: bool,
}

/// The common form of all declarations: a kind and the values that the kind needs.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DeclarationRecord {
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
struct CommandRecord {
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
    declarations: Vec<DeclarationRecord>,
    #[prost(bool, tag = "7")]
    replayed: bool,
    #[prost(message, optional, tag = "8")]
    usage: Option<UsageRecord>,
    #[prost(uint64, tag = "9")]
    lease_ms: u64,
}

impl From<&ReaderUsage> for UsageRecord {
    fn from(usage: &ReaderUsage) -> Self {
        Self {
            has_paths: usage.paths.is_some(),
            paths: usage.paths.iter().flatten().cloned().collect(),
            tolerant: usage.tolerant,
            json: usage.encoding == RecordEncoding::Json,
        }
    }
}

impl From<UsageRecord> for ReaderUsage {
    fn from(record: UsageRecord) -> Self {
        Self {
            paths: record.has_paths.then(|| record.paths.into_iter().collect()),
            tolerant: record.tolerant,
            encoding: if record.json { RecordEncoding::Json } else { RecordEncoding::Binary },
        }
    }
}

impl From<&MigrationDeclaration> for DeclarationRecord {
    fn from(declared: &MigrationDeclaration) -> Self {
        let record = |kind, holder: &String, member: &str, value: &str, number| Self {
            kind,
            holder: holder.clone(),
            member: member.to_string(),
            value: value.to_string(),
            number,
        };
        match declared {
            MigrationDeclaration::MessageRenamed { message, former_name } => {
                record(1, message, "", former_name, 0)
            }
            MigrationDeclaration::FieldRenamed { message, field, former_name } => {
                record(2, message, field, former_name, 0)
            }
            MigrationDeclaration::FieldRenumbered { message, field, number } => {
                record(3, message, field, "", *number)
            }
            MigrationDeclaration::RemovedFieldDefault { message, field, value } => {
                record(4, message, field, value, 0)
            }
            MigrationDeclaration::AddedFieldDefault { message, field, value } => {
                record(5, message, field, value, 0)
            }
            MigrationDeclaration::EnumValueFallback { enumeration, value, reads_as } => {
                record(6, enumeration, value, reads_as, 0)
            }
        }
    }
}

pub(crate) fn decode_declaration(
    record: DeclarationRecord,
) -> Result<MigrationDeclaration, CommandDecodeError> {
    let DeclarationRecord { kind, holder: message, member: field, value, number } = record;
    Ok(match kind {
        1 => MigrationDeclaration::MessageRenamed { message, former_name: value },
        2 => MigrationDeclaration::FieldRenamed { message, field, former_name: value },
        3 => MigrationDeclaration::FieldRenumbered { message, field, number },
        4 => MigrationDeclaration::RemovedFieldDefault { message, field, value },
        5 => MigrationDeclaration::AddedFieldDefault { message, field, value },
        6 => MigrationDeclaration::EnumValueFallback { enumeration: message, value: field, reads_as: value },
        other => return Err(CommandDecodeError::UnknownDeclarationKind(other)),
    })
}

impl RegistryCommand {
    /// Encodes the command for the journal.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let named = |kind, publisher: &String, subscriber: &String| CommandRecord {
            kind,
            publisher: publisher.clone(),
            subscriber: subscriber.clone(),
            ..CommandRecord::default()
        };
        let no_subscriber = String::new();
        let record = match self {
            RegistryCommand::Propose { publisher, schema, declarations, replayed } => CommandRecord {
                schema: schema.clone(),
                declarations: declarations.iter().map(DeclarationRecord::from).collect(),
                replayed: *replayed,
                ..named(1, publisher, &no_subscriber)
            },
            RegistryCommand::Subscribe { subscriber, publisher, version, usage, lease_ms } => CommandRecord {
                version: *version,
                usage: Some(usage.into()),
                lease_ms: *lease_ms,
                ..named(2, publisher, subscriber)
            },
            RegistryCommand::Renew { subscriber, publisher } => named(3, publisher, subscriber),
            RegistryCommand::Unsubscribe { subscriber, publisher } => named(4, publisher, subscriber),
            RegistryCommand::ExpireLease { subscriber, publisher } => named(5, publisher, subscriber),
            RegistryCommand::Withdraw { publisher, version } => {
                CommandRecord { version: *version, ..named(6, publisher, &no_subscriber) }
            }
            RegistryCommand::Retire { publisher, version } => {
                CommandRecord { version: *version, ..named(7, publisher, &no_subscriber) }
            }
        };
        record.encode_to_vec()
    }

    /// Decodes a command from the journal's bytes.
    ///
    /// # Errors
    /// There are more bytes than [`MAX_COMMAND_BYTES`], or they are not a command of a kind that this program
    /// knows.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandDecodeError> {
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(CommandDecodeError::TooLarge { bytes: bytes.len() });
        }
        let record = CommandRecord::decode(bytes)?;
        let CommandRecord { kind, publisher, subscriber, version, schema, replayed, lease_ms, .. } = record;
        Ok(match kind {
            1 => RegistryCommand::Propose {
                publisher,
                schema,
                declarations: record
                    .declarations
                    .into_iter()
                    .map(decode_declaration)
                    .collect::<Result<_, _>>()?,
                replayed,
            },
            2 => {
                let usage = record.usage.ok_or(CommandDecodeError::MissingUsage)?.into();
                RegistryCommand::Subscribe { subscriber, publisher, version, usage, lease_ms }
            }
            3 => RegistryCommand::Renew { subscriber, publisher },
            4 => RegistryCommand::Unsubscribe { subscriber, publisher },
            5 => RegistryCommand::ExpireLease { subscriber, publisher },
            6 => RegistryCommand::Withdraw { publisher, version },
            7 => RegistryCommand::Retire { publisher, version },
            other => return Err(CommandDecodeError::UnknownCommandKind(other)),
        })
    }
}
