//! Results: the pages of an answer, kept until the client has the last row.

use super::buffer_pool::{Buffer, BufferPool};
use std::ops::Range;

/// Longest page, in bytes.
pub(super) const MAX_PAGE_BYTES: usize = 6_000;
/// Longest result, in bytes.
pub(super) const MAX_RESULT_BYTES: usize = 48_000;

/// Where a page stands.
#[derive(Clone, Debug)]
struct Page {
    /// The buffer, by its place in [`ResultSet::buffers`].
    buffer: usize,
    /// The bytes in it.
    bytes: Range<usize>,
}

/// The position of a row in a result. The default is the first row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowPosition {
    /// The page, by number.
    page: usize,
    /// The byte in the page at which the row begins.
    byte: usize,
}

/// A result: its pages one behind the other in as few buffers as hold them, in the order in which they came.
#[derive(Debug, Default)]
pub struct ResultSet {
    buffers: Vec<Buffer>,
    /// By page number; `None` until the page is here.
    pages: Vec<Option<Page>>,
}

impl ResultSet {
    /// Sets the number of pages, none of which is here.
    pub(super) fn expect_pages(&mut self, pages: usize) {
        self.pages = vec![None; pages];
    }

    /// Whether a page is here; `None` if the result has no page of this number.
    pub(super) fn has_page(&self, page: usize) -> Option<bool> {
        self.pages.get(page).map(Option::is_some)
    }

    /// Whether all pages are here.
    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Stores an expected page; false if the pool has no buffer for it.
    pub(super) fn insert_page(&mut self, pool: &BufferPool, page: usize, body: &[u8]) -> bool {
        if !self.buffers.last().is_some_and(|buffer| buffer.has_room(body.len())) {
            let Some(buffer) = pool.get() else { return false };
            self.buffers.push(buffer);
        }
        let buffer = self.buffers.len() - 1;
        let start = self.buffers[buffer].len();
        self.buffers[buffer].extend_from_slice(body);
        self.pages[page] = Some(Page { buffer, bytes: start..start + body.len() });
        true
    }

    /// Bytes of the pages that are here.
    pub(super) fn len(&self) -> usize {
        self.pages.iter().flatten().map(|page| page.bytes.len()).sum()
    }

    /// The row at a position, without its line feed, and the position of the next; `None` behind the last row.
    pub fn row(&self, position: RowPosition) -> Option<(&[u8], RowPosition)> {
        let RowPosition { mut page, mut byte } = position;
        loop {
            let content = match self.pages.get(page)? {
                Some(stored) => &self.buffers[stored.buffer][stored.bytes.clone()],
                None => &[],
            };
            if byte < content.len() {
                let rest = &content[byte..];
                let end = rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
                return Some((&rest[..end], RowPosition { page, byte: byte + end + 1 }));
            }
            page += 1;
            byte = 0;
        }
    }
}

#[cfg(test)]
mod tests;
