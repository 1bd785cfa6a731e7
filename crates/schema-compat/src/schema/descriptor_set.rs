//! Encoded descriptor sets: their raw form, their imports, and descriptor pools built from them.

use super::bundled::{BundledFiles, OPTIONS_FILE};
use crate::error::SchemaError;
use prost::Message as _;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};

/// A descriptor set whose files stay encoded, so that custom options are preserved.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RawDescriptorSet {
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub(super) file: Vec<Vec<u8>>,
}

/// The fields of a file that are checked before the descriptor library decodes it.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RawFileHeader {
    #[prost(string, tag = "1")]
    pub(super) name: String,
    #[prost(string, tag = "12")]
    pub(super) syntax: String,
}

/// Names of the files that a file imports.
pub(super) fn imports(file: &DynamicMessage) -> Vec<String> {
    let list = file.get_field_by_name("dependency").and_then(|value| value.as_list().map(<[_]>::to_vec));
    list.iter().flatten().filter_map(|one| one.as_str().map(str::to_string)).collect()
}

/// Adds encoded files to a pool.
pub(super) fn add_files(pool: &mut DescriptorPool, files: Vec<Vec<u8>>) -> Result<(), SchemaError> {
    let set = RawDescriptorSet { file: files }.encode_to_vec();
    pool.decode_file_descriptor_set(set.as_slice())
        .map_err(|error| SchemaError::Descriptor(error.to_string()))
}

/// A pool of the files without the import of this crate's options, which would take most of a schema's
/// memory. `None` if the files refer to their imports by index, or are not valid without that import.
pub(super) fn pool_without_options(
    bundled: &BundledFiles,
    own: &[(String, DynamicMessage)],
) -> Option<DescriptorPool> {
    let mut files = Vec::new();
    let mut needed = Vec::new();
    for (_, file) in own {
        let mut file = file.clone();
        // These fields hold indexes into the imports, which would become wrong.
        if file.has_field_by_name("public_dependency") || file.has_field_by_name("weak_dependency") {
            return None;
        }
        let remaining: Vec<String> = imports(&file).into_iter().filter(|name| name != OPTIONS_FILE).collect();
        needed.extend(remaining.iter().cloned());
        file.set_field_by_name("dependency", Value::List(remaining.into_iter().map(Value::String).collect()));
        files.push(file.encode_to_vec());
    }
    let mut pool = DescriptorPool::new();
    let mut all = bundled.needed(needed.into_iter(), &|name| name == OPTIONS_FILE);
    all.extend(files);
    add_files(&mut pool, all).ok().map(|()| pool)
}
