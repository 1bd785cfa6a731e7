//! The part of a bound on registers that is used up.

/// The number of registers, and the total length of their engine ids in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordUsage {
    pub(crate) records: usize,
    pub(crate) id_bytes: usize,
}

impl RecordUsage {
    /// Counts one more register, with an engine id of `id_bytes` bytes.
    pub(crate) fn add(&mut self, id_bytes: usize) {
        self.records += 1;
        self.id_bytes += id_bytes;
    }

    /// Counts one register fewer, with an engine id of `id_bytes` bytes.
    pub(crate) fn remove(&mut self, id_bytes: usize) {
        self.records -= 1;
        self.id_bytes -= id_bytes;
    }
}
