//! Reads the fields of a message in order.

use super::error::PgError;
use super::message::ObjectKind;

/// Length field of a NULL value: -1.
const NULL_LENGTH: u32 = u32::MAX;

/// The unread bytes of a message.
pub(super) struct Cursor<'a>(pub(super) &'a [u8]);

impl<'a> Cursor<'a> {
    pub(super) fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], PgError> {
        let (head, rest) = self.0.split_at_checked(count).ok_or(PgError::Truncated(field))?;
        self.0 = rest;
        Ok(head)
    }

    pub(super) fn u16(&mut self, field: &'static str) -> Result<u16, PgError> {
        self.bytes(2, field).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    pub(super) fn u32(&mut self, field: &'static str) -> Result<u32, PgError> {
        self.bytes(4, field).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    /// Reads a string that is terminated by a zero byte.
    pub(super) fn text(&mut self, field: &'static str) -> Result<&'a str, PgError> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(PgError::Unterminated(field))?;
        let text = std::str::from_utf8(&self.0[..end]).map_err(|_| PgError::NotUtf8(field))?;
        self.0 = &self.0[end + 1..];
        Ok(text)
    }

    /// Reads a format code: 0 is text, 1 is binary.
    pub(super) fn format(&mut self, field: &'static str) -> Result<u16, PgError> {
        match self.u16(field)? {
            format @ (0 | 1) => Ok(format),
            _ => Err(PgError::UnknownFormat(field)),
        }
    }

    /// Reads a length and a value of that length; `None` is NULL.
    pub(super) fn value(&mut self, field: &'static str) -> Result<Option<&'a [u8]>, PgError> {
        match self.u32(field)? {
            NULL_LENGTH => Ok(None),
            length => self.bytes(length as usize, field).map(Some),
        }
    }

    /// Reads the kind of object that a Describe or Close refers to.
    pub(super) fn object_kind(&mut self) -> Result<ObjectKind, PgError> {
        match self.bytes(1, "kind")?[0] {
            b'S' => Ok(ObjectKind::Statement),
            b'P' => Ok(ObjectKind::Portal),
            _ => Err(PgError::UnknownObjectKind),
        }
    }

    /// Reads a list: the number of elements, then each element with `read_element`.
    pub(super) fn list<T>(
        &mut self,
        field: &'static str,
        mut read_element: impl FnMut(&mut Self) -> Result<T, PgError>,
    ) -> Result<Vec<T>, PgError> {
        let count = self.u16(field)?;
        (0..count).map(|_| read_element(self)).collect()
    }
}
