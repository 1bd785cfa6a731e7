//! A schema: descriptors within bounds, the compiled form of `.proto` text, and the digest that names it.

use crate::error::{check_limit, SchemaError};
use crate::limits::{MAX_FILES, MAX_NESTING, MAX_SCHEMA_BYTES};
use crate::model::Model;
use prost::Message as _;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor, Value};
use protox::file::{ChainFileResolver, File, FileResolver, GoogleFileResolver};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::OnceLock;

/// The name by which a schema imports this crate's options.
pub const OPTIONS_FILE: &str = "sprucelink/compat.proto";
/// The text of this crate's options.
pub const OPTIONS_TEXT: &str = include_str!("../proto/sprucelink/compat.proto");

/// Names a schema: SHA-256 over its files' descriptors in order of their names, without source positions and without
/// the files that protobuf and this crate bring. The same text compiled by another compiler may have another digest.
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

/// A publisher's schema. Cheap to clone in its descriptors, not in its model.
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

/// A descriptor set whose files stay bytes, for the options in them to survive.
#[derive(Clone, PartialEq, prost::Message)]
struct RawDescriptorSet {
    #[prost(bytes = "vec", repeated, tag = "1")]
    file: Vec<Vec<u8>>,
}

/// What must be known of a file before the descriptor library is given it.
#[derive(Clone, PartialEq, prost::Message)]
struct RawFileHeader {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "12")]
    syntax: String,
}

/// The files that protobuf and this crate bring.
struct BundledFiles {
    /// Those that every schema's options need.
    pool: DescriptorPool,
    /// All of them by name: bytes, and what they import.
    files: BTreeMap<String, (Vec<u8>, Vec<String>)>,
}

/// Computed once, the same in every process.
fn base() -> Result<&'static BundledFiles, SchemaError> {
    static BASE: OnceLock<Result<BundledFiles, SchemaError>> = OnceLock::new();
    let made = BASE.get_or_init(|| {
        let wrong = |error: protox::Error| SchemaError::Compile(error.to_string());
        let mut compiler = compiler(&BTreeMap::new());
        let pool = compiler.open_file(OPTIONS_FILE).map_err(wrong)?.descriptor_pool();
        for name in
            ["any", "api", "duration", "empty", "field_mask", "source_context", "struct", "timestamp", "type"]
                .into_iter()
                .chain(["wrappers"])
        {
            compiler.open_file(format!("google/protobuf/{name}.proto")).map_err(wrong)?;
        }
        let file = |file: prost_reflect::FileDescriptor| {
            let imports = file.dependencies().map(|one| one.name().to_string()).collect();
            (file.name().to_string(), (file.encode_to_vec(), imports))
        };
        Ok(BundledFiles { pool, files: compiler.descriptor_pool().files().map(file).collect() })
    });
    made.as_ref().map_err(Clone::clone)
}

impl BundledFiles {
    /// The files that these imports stand for, with their own, each after what it imports; those in `but` left out.
    fn needed(&self, imports: impl Iterator<Item = String>, but: &dyn Fn(&str) -> bool) -> Vec<Vec<u8>> {
        let mut order: Vec<&String> = Vec::new();
        let mut todo: Vec<String> = imports.collect();
        while let Some(name) = todo.pop() {
            let Some((name, (_, below))) = self.files.get_key_value(&name).filter(|_| !but(&name)) else {
                continue;
            };
            // Named again deeper down: it moves behind, so that turning the order round puts it first.
            order.retain(|known| *known != name);
            order.push(name);
            todo.extend(below.iter().cloned());
        }
        order.iter().rev().map(|name| self.files[*name].0.clone()).collect()
    }
}

struct TextResolver(BTreeMap<String, String>);

impl FileResolver for TextResolver {
    fn open_file(&self, name: &str) -> Result<File, protox::Error> {
        match self.0.get(name) {
            Some(text) => File::from_source(name, text),
            None if name == OPTIONS_FILE => File::from_source(name, OPTIONS_TEXT),
            None => Err(protox::Error::file_not_found(name)),
        }
    }
}

fn compiler(texts: &BTreeMap<String, String>) -> protox::Compiler {
    let mut resolver = ChainFileResolver::new();
    resolver.add(TextResolver(texts.clone()));
    resolver.add(GoogleFileResolver::new());
    let mut compiler = protox::Compiler::with_file_resolver(resolver);
    compiler.include_imports(false).include_source_info(false);
    compiler
}

/// Brackets open at once, outside of quotes and comments: what the compiler would recurse on.
fn nesting(text: &str) -> usize {
    let (mut depth, mut most) = (0usize, 0usize);
    let mut rest = text.bytes().peekable();
    while let Some(byte) = rest.next() {
        match byte {
            b'{' | b'[' | b'(' | b'<' => {
                depth += 1;
                most = most.max(depth);
            }
            b'}' | b']' | b')' | b'>' => depth = depth.saturating_sub(1),
            b'"' | b'\'' => {
                while let Some(inner) = rest.next() {
                    match inner {
                        b'\\' => _ = rest.next(),
                        _ if inner == byte || inner == b'\n' => break,
                        _ => {}
                    }
                }
            }
            b'/' if rest.peek() == Some(&b'/') => while rest.next().is_some_and(|inner| inner != b'\n') {},
            b'/' if rest.peek() == Some(&b'*') => {
                rest.next();
                let mut last = 0;
                for inner in rest.by_ref() {
                    if last == b'*' && inner == b'/' {
                        break;
                    }
                    last = inner;
                }
            }
            _ => {}
        }
    }
    most
}

fn imports(file: &DynamicMessage) -> Vec<String> {
    let list = file.get_field_by_name("dependency").and_then(|value| value.as_list().map(<[_]>::to_vec));
    list.iter().flatten().filter_map(|one| one.as_str().map(str::to_string)).collect()
}

fn add(pool: &mut DescriptorPool, files: Vec<Vec<u8>>) -> Result<(), SchemaError> {
    let set = RawDescriptorSet { file: files }.encode_to_vec();
    pool.decode_file_descriptor_set(set.as_slice())
        .map_err(|error| SchemaError::Descriptor(error.to_string()))
}

/// The files without this crate's options, once they are read: descriptors of descriptors are most of a schema's memory.
/// None where the files hold on to them in another way.
fn lean(base: &BundledFiles, own: &[(String, DynamicMessage)]) -> Option<DescriptorPool> {
    let mut files = Vec::new();
    let mut needed = Vec::new();
    for (_, file) in own {
        let mut file = file.clone();
        // These are indices into the imports.
        if file.has_field_by_name("public_dependency") || file.has_field_by_name("weak_dependency") {
            return None;
        }
        let kept: Vec<String> = imports(&file).into_iter().filter(|name| name != OPTIONS_FILE).collect();
        needed.extend(kept.iter().cloned());
        file.set_field_by_name("dependency", Value::List(kept.into_iter().map(Value::String).collect()));
        files.push(file.encode_to_vec());
    }
    let mut pool = DescriptorPool::new();
    let mut all = base.needed(needed.into_iter(), &|name| name == OPTIONS_FILE);
    all.extend(files);
    add(&mut pool, all).ok().map(|()| pool)
}

impl Schema {
    /// A schema of one file's text.
    ///
    /// # Errors
    /// As [`Schema::from_texts`].
    pub fn from_text(text: &str) -> Result<Self, SchemaError> {
        Self::from_texts(&[("schema.proto", text)])
    }

    /// A schema of several files' texts, each with the name by which the others import it. Imports of protobuf's own
    /// files and of [`OPTIONS_FILE`] need not be given.
    ///
    /// # Errors
    /// A text that does not compile, with file and line; a bound that is exceeded.
    pub fn from_texts(files: &[(&str, &str)]) -> Result<Self, SchemaError> {
        check_limit("files", files.len(), MAX_FILES)?;
        check_limit("bytes of text", files.iter().map(|(_, text)| text.len()).sum(), MAX_SCHEMA_BYTES)?;
        for (_, text) in files {
            check_limit("brackets open at once", nesting(text), MAX_NESTING)?;
        }
        let texts = files.iter().map(|(name, text)| (name.to_string(), text.to_string())).collect();
        let mut compiler = compiler(&texts);
        for (name, _) in files {
            compiler.open_file(name).map_err(|error| SchemaError::Compile(format!("{error:?}")))?;
        }
        Self::from_set(&compiler.encode_file_descriptor_set())
    }

    /// A schema of an encoded `google.protobuf.FileDescriptorSet`, with or without its imports.
    ///
    /// # Errors
    /// Bytes that are no valid set; a bound that is exceeded.
    pub fn from_set(bytes: &[u8]) -> Result<Self, SchemaError> {
        let invalid = |why: String| SchemaError::Descriptor(why);
        check_limit("bytes of descriptors", bytes.len(), 4 * MAX_SCHEMA_BYTES)?;
        let set = RawDescriptorSet::decode(bytes).map_err(|error| invalid(error.to_string()))?;
        let base = base()?;
        let file_form = base
            .pool
            .get_message_by_name("google.protobuf.FileDescriptorProto")
            .ok_or_else(|| invalid("descriptor.proto lacks FileDescriptorProto".into()))?;
        let mut own: Vec<(String, DynamicMessage)> = Vec::new();
        for raw in &set.file {
            let RawFileHeader { name, syntax } =
                RawFileHeader::decode(raw.as_slice()).map_err(|error| invalid(error.to_string()))?;
            if base.files.contains_key(&name) {
                continue;
            }
            // The library takes no other syntax, and no second file of one name, and does not survive the first.
            if !["", "proto2", "proto3"].contains(&syntax.as_str()) {
                return Err(invalid(format!("file {name} has syntax {syntax}, proto2 and proto3 are taken")));
            }
            if own.iter().any(|(known, _)| *known == name) {
                return Err(invalid(format!("two files are named {name}")));
            }
            let mut file = DynamicMessage::decode(file_form.clone(), raw.as_slice())
                .map_err(|error| invalid(error.to_string()))?;
            file.clear_field_by_name("source_code_info");
            own.push((name, file));
        }
        check_limit("files", own.len(), MAX_FILES)?;
        own.sort_by(|one, other| one.0.cmp(&other.0));
        let encoded = || own.iter().map(|(_, file)| file.encode_to_vec());
        let bytes = RawDescriptorSet { file: encoded().collect() }.encode_to_vec();
        check_limit("bytes of descriptors", bytes.len(), MAX_SCHEMA_BYTES)?;
        let in_pool = |name: &str| base.pool.get_file_by_name(name).is_some();
        let mut all = base.needed(own.iter().flat_map(|(_, file)| imports(file)), &in_pool);
        all.extend(encoded());
        let mut pool = base.pool.clone();
        add(&mut pool, all)?;
        let names: Vec<String> = own.iter().map(|(name, _)| name.clone()).collect();
        let model = Model::of(&pool, &names)?;
        let digest = Self::digest_of(&bytes);
        let pool = lean(base, &own).unwrap_or(pool);
        Ok(Self { pool, bytes, digest, model })
    }

    /// The digest that a set would have if it is one that [`Schema::to_set`] gave.
    pub(crate) fn digest_of(set: &[u8]) -> Digest {
        Digest(Sha256::digest(set).into())
    }

    /// The schema's name.
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
