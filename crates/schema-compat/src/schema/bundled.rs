//! The `.proto` files that protobuf and this crate bring, and the compiler that knows them.

use crate::error::SchemaError;
use prost_reflect::DescriptorPool;
use protox::file::{ChainFileResolver, File, FileResolver, GoogleFileResolver};
use std::collections::BTreeMap;
use std::sync::OnceLock;

/// The name by which a schema imports this crate's options.
pub const OPTIONS_FILE: &str = "sprucelink/compat.proto";
/// The text of this crate's options.
pub const OPTIONS_TEXT: &str = include_str!("../../proto/sprucelink/compat.proto");

/// Protobuf's own files under `google/protobuf/`, without the extension.
const GOOGLE_FILES: [&str; 10] = [
    "any",
    "api",
    "duration",
    "empty",
    "field_mask",
    "source_context",
    "struct",
    "timestamp",
    "type",
    "wrappers",
];

/// The files that protobuf and this crate bring.
pub(super) struct BundledFiles {
    /// Those that every schema's options need.
    pub(super) pool: DescriptorPool,
    /// All of them by name: bytes, and what they import.
    pub(super) files: BTreeMap<String, (Vec<u8>, Vec<String>)>,
}

/// The bundled files, compiled once per process.
pub(super) fn bundled_files() -> Result<&'static BundledFiles, SchemaError> {
    static BASE: OnceLock<Result<BundledFiles, SchemaError>> = OnceLock::new();
    let made = BASE.get_or_init(|| {
        let wrong = |error: protox::Error| SchemaError::Compile(error.to_string());
        let mut compiler = compiler(&BTreeMap::new());
        let pool = compiler.open_file(OPTIONS_FILE).map_err(wrong)?.descriptor_pool();
        for name in GOOGLE_FILES {
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
    /// The bundled files that these imports need, transitively, each after its own imports; `but` excludes
    /// files.
    pub(super) fn needed(
        &self,
        imports: impl Iterator<Item = String>,
        but: &dyn Fn(&str) -> bool,
    ) -> Vec<Vec<u8>> {
        let mut order: Vec<&String> = Vec::new();
        let mut todo: Vec<String> = imports.collect();
        while let Some(name) = todo.pop() {
            let Some((name, (_, below))) = self.files.get_key_value(&name).filter(|_| !but(&name)) else {
                continue;
            };
            // Imported again at a deeper level: move it to the end, so that the reversed order puts it first.
            order.retain(|known| *known != name);
            order.push(name);
            todo.extend(below.iter().cloned());
        }
        order.iter().rev().map(|name| self.files[*name].0.clone()).collect()
    }
}

/// Resolves the given texts and this crate's options.
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

/// A compiler of these texts by file name, with the bundled files to import.
pub(super) fn compiler(texts: &BTreeMap<String, String>) -> protox::Compiler {
    let mut resolver = ChainFileResolver::new();
    resolver.add(TextResolver(texts.clone()));
    resolver.add(GoogleFileResolver::new());
    let mut compiler = protox::Compiler::with_file_resolver(resolver);
    compiler.include_imports(false).include_source_info(false);
    compiler
}
