//! Schemas: protobuf descriptors within limits, compiled from `.proto` text, and identified by a digest.

mod bundled;
mod descriptor_set;
mod nesting;

use crate::error::{check_limit, SchemaError};
use crate::limits::{MAX_FILES, MAX_NESTING, MAX_SCHEMA_BYTES};
use crate::model::Model;
use bundled::{bundled_files, compiler, BundledFiles};
use descriptor_set::{add_files, imports, pool_without_options, RawDescriptorSet, RawFileHeader};
use nesting::max_nesting;
use prost::Message as _;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};
use sha2::{Digest as _, Sha256};
use std::fmt;

pub use bundled::{OPTIONS_FILE, OPTIONS_TEXT};

/// Identifies a schema: SHA-256 over its files' descriptors in order of their names, without source positions
/// and without the files bundled with protobuf and this crate. The same text compiled by another compiler may
/// have another digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// A publisher's schema. A clone shares the descriptors and copies the model.
#[derive(Clone)]
pub struct Schema {
    pool: DescriptorPool,
    bytes: Vec<u8>,
    digest: Digest,
    pub(crate) model: Model,
}

impl fmt::Debug for Schema {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Schema").field("digest", &self.digest).finish_non_exhaustive()
    }
}

/// Decodes the files of a set except the bundled ones. Each is returned with its name, without source
/// positions.
fn own_files(
    bundled: &BundledFiles,
    set: &RawDescriptorSet,
) -> Result<Vec<(String, DynamicMessage)>, SchemaError> {
    let invalid = |reason: String| SchemaError::Descriptor(reason);
    let file_descriptor = bundled
        .pool
        .get_message_by_name("google.protobuf.FileDescriptorProto")
        .ok_or_else(|| invalid("descriptor.proto lacks FileDescriptorProto".into()))?;
    let mut own: Vec<(String, DynamicMessage)> = Vec::new();
    for raw in &set.file {
        let RawFileHeader { name, syntax } =
            RawFileHeader::decode(raw.as_slice()).map_err(|error| invalid(error.to_string()))?;
        if bundled.files.contains_key(&name) {
            continue;
        }
        // The descriptor library panics on another syntax, and fails on a second file of the same name.
        if !["", "proto2", "proto3"].contains(&syntax.as_str()) {
            return Err(invalid(format!("file {name} has syntax {syntax}, expected proto2 or proto3")));
        }
        if own.iter().any(|(known, _)| *known == name) {
            return Err(invalid(format!("two files are named {name}")));
        }
        let mut file = DynamicMessage::decode(file_descriptor.clone(), raw.as_slice())
            .map_err(|error| invalid(error.to_string()))?;
        file.clear_field_by_name("source_code_info");
        own.push((name, file));
    }
    Ok(own)
}

impl Schema {
    /// Compiles a schema from the text of one file.
    ///
    /// # Errors
    /// As for [`Schema::from_texts`].
    pub fn from_text(text: &str) -> Result<Self, SchemaError> {
        Self::from_texts(&[("schema.proto", text)])
    }

    /// Compiles a schema from the texts of several files, each with the name by which the others import it.
    /// Imports of protobuf's own files and of [`OPTIONS_FILE`] need not be given.
    ///
    /// # Errors
    /// A text does not compile (the error names file and line), or a limit is exceeded.
    pub fn from_texts(files: &[(&str, &str)]) -> Result<Self, SchemaError> {
        check_limit("files", files.len(), MAX_FILES)?;
        check_limit("bytes of text", files.iter().map(|(_, text)| text.len()).sum(), MAX_SCHEMA_BYTES)?;
        for (_, text) in files {
            check_limit("brackets open at once", max_nesting(text), MAX_NESTING)?;
        }
        let texts = files.iter().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        let mut compiler = compiler(&texts);
        for (name, _) in files {
            compiler.open_file(name).map_err(|error| SchemaError::Compile(format!("{error:?}")))?;
        }
        Self::from_set(&compiler.encode_file_descriptor_set())
    }

    /// Decodes a schema from an encoded `google.protobuf.FileDescriptorSet`, with or without its imports.
    ///
    /// # Errors
    /// The bytes are not a valid set, or a limit is exceeded.
    pub fn from_set(bytes: &[u8]) -> Result<Self, SchemaError> {
        let invalid = |reason: String| SchemaError::Descriptor(reason);
        check_limit("bytes of descriptors", bytes.len(), 4 * MAX_SCHEMA_BYTES)?;
        let set = RawDescriptorSet::decode(bytes).map_err(|error| invalid(error.to_string()))?;
        let bundled = bundled_files()?;
        let mut own = own_files(bundled, &set)?;
        check_limit("files", own.len(), MAX_FILES)?;
        own.sort_by(|left, right| left.0.cmp(&right.0));
        let encoded = || own.iter().map(|(_, file)| file.encode_to_vec());
        let bytes = RawDescriptorSet { file: encoded().collect() }.encode_to_vec();
        check_limit("bytes of descriptors", bytes.len(), MAX_SCHEMA_BYTES)?;
        let in_pool = |name: &str| bundled.pool.get_file_by_name(name).is_some();
        let mut all = bundled.needed(own.iter().flat_map(|(_, file)| imports(file)), &in_pool);
        all.extend(encoded());
        let mut pool = bundled.pool.clone();
        add_files(&mut pool, all)?;
        let names: Vec<String> = own.iter().map(|(name, _)| name.clone()).collect();
        let model = Model::from_pool(&pool, &names)?;
        let digest = Self::digest_of(&bytes);
        let pool = pool_without_options(bundled, &own).unwrap_or(pool);
        Ok(Self { pool, bytes, digest, model })
    }

    /// The digest of the schema that an encoded set holds, provided that [`Schema::to_set`] returned the set.
    pub(crate) fn digest_of(set: &[u8]) -> Digest {
        Digest(Sha256::digest(set).into())
    }

    /// The digest that identifies the schema.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The schema's own files as an encoded `FileDescriptorSet`, as [`Schema::from_set`] reads them.
    #[must_use]
    pub fn to_set(&self) -> &[u8] {
        &self.bytes
    }

    /// The descriptor of a message by its full name, to decode its records with.
    #[must_use]
    pub fn message(&self, full_name: &str) -> Option<MessageDescriptor> {
        self.pool.get_message_by_name(full_name)
    }

    /// Full names of the messages that are published as records.
    pub fn records(&self) -> impl Iterator<Item = &str> {
        self.model.roots.iter().map(|&root| self.model.messages[root].name.as_str())
    }
}
