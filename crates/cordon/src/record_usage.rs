//! Usage of the bounds on records.

/// The number of records, and the bytes of their engine ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordUsage {
    pub(crate) records: usize,
    pub(crate) id_bytes: usize,
}

impl RecordUsage {
    /// Counts one more record.
    pub(crate) fn add(&mut self, id_bytes: usize) {
        self.records += 1;
        self.id_bytes += id_bytes;
    }

    /// Counts one record fewer.
    pub(crate) fn remove(&mut self, id_bytes: usize) {
        self.records -= 1;
        self.id_bytes -= id_bytes;
    }
}
