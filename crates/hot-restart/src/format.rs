//! Versions and sizes of the file format, shared by the codec and its errors.

/// Format version of written files.
pub const FORMAT_VERSION: u32 = 1;
/// Oldest supported format version.
pub const MIN_FORMAT_VERSION: u32 = 1;
/// Maximum length of a file, in bytes. A file counts as memory, and twice while it is replaced. The bounds of
/// [`sprucelink_cordon::CordonLimits`] ensure that all cordons with their longest ids and reasons fit; hashes
/// of ids take the remaining space.
pub const MAX_FILE_BYTES: usize = 256 << 10;
/// Length of the header before the body, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;
