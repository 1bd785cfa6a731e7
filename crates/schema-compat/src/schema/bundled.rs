//! The `.proto` files bundled with protobuf and this crate, and a compiler that can import them.

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

/// The files bundled with protobuf and this crate.
pub(super) struct BundledFiles {
    /// The files that every schema's options need.
    pub(super) pool: DescriptorPool,
    /// All bundled files by name: encoded bytes, and names of their imports.
    pub(super) files: BTreeMap<String, (Vec<u8>, Vec<String>)>,
}

/// The bundled files, compiled once per process.
pub(super) fn bundled_files() -> Result<&'static BundledFiles, SchemaError> {
    static BUNDLED: OnceLock<Result<BundledFiles, SchemaError>> = OnceLock::new();
    let bundled = BUNDLED.get_or_init(|| {
        let compile_error = |error: protox::Error| SchemaError::Compile(error.to_string());
        let mut compiler = compiler(&BTreeMap::new());
        let pool = compiler.open_file(OPTIONS_FILE).map_err(compile_error)?.descriptor_pool();
        for name in GOOGLE_FILES {
            compiler.open_file(format!("google/protobuf/{name}.proto")).map_err(compile_error)?;
        }
        let file = |file: prost_reflect::FileDescriptor| {
            let imports = file.dependencies().map(|one| one.name().to_string()).collect();
            (file.name().to_string(), (file.encode_to_vec(), imports))
        };
        Ok(BundledFiles { pool, files: compiler.descriptor_pool().files().map(file).collect() })
    });
    bundled.as_ref().map_err(Clone::clone)
}

impl BundledFiles {
    /// The bundled files that these imports need, transitively, each after its own imports; files for which
    /// `is_excluded` holds are left out.
    pub(super) fn needed(
        &self,
        imports: impl Iterator<Item = String>,
        is_excluded: &dyn Fn(&str) -> bool,
    ) -> Vec<Vec<u8>> {
        let mut order: Vec<&String> = Vec::new();
        let mut pending: Vec<String> = imports.collect();
        while let Some(name) = pending.pop() {
            let Some((name, (_, file_imports))) =
                self.files.get_key_value(&name).filter(|_| !is_excluded(&name))
            else {
                continue;
            };
            // A file that is imported again at a deeper level moves to the end, so that it comes first in the
            // reversed order.
            order.retain(|known| *known != name);
            order.push(name);
            pending.extend(file_imports.iter().cloned());
        }
        order.iter().rev().map(|name| self.files[*name].0.clone()).collect()
    }
}

/// Resolves imports to the given texts and this crate's options.
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

/// A compiler for the given texts by file name, which can import the bundled files.
pub(super) fn compiler(texts: &BTreeMap<String, String>) -> protox::Compiler {
    let mut resolver = ChainFileResolver::new();
    resolver.add(TextResolver(texts.clone()));
    resolver.add(GoogleFileResolver::new());
    let mut compiler = protox::Compiler::with_file_resolver(resolver);
    compiler.include_imports(false).include_source_info(false);
    compiler
}
