//! Versions and sizes of the file format, which the codec and its errors share.

/// The format version that is written.
pub const FORMAT_VERSION: u32 = 1;
/// The oldest format version that is read.
pub const MIN_FORMAT_VERSION: u32 = 1;
/// Longest file, in bytes: it counts as memory, twice while it is replaced. All cordons with their longest ids and
/// reasons fit into it by the bounds of [`sprucelink_cordon::CordonLimits`]; hashes of ids take the space that is left.
pub const MAX_FILE_BYTES: usize = 256 << 10;
/// Length of the header before the body, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;
