//! The buffer for the result of a request.
//!
//! Input: pages, in any order. Output: rows, in the order of the pages. State: all pages, until the client
//! has received the last row.

use super::buffer_pool::{Buffer, BufferPool};
use std::ops::Range;

/// Limit on the length of a page of a result, in bytes; an engine that sends more violates the protocol.
pub(super) const MAX_PAGE_BYTES: usize = 6_000;
/// Limit on the length of all pages of a result together, in bytes; an engine that sends more violates the
/// protocol.
pub(super) const MAX_RESULT_BYTES: usize = 48_000;

/// The location of a page in the buffers of its result.
#[derive(Clone, Debug)]
struct Page {
    /// Index of the page's buffer in [`ResultSet::buffers`].
    buffer: usize,
    /// Range of the page's bytes in the buffer.
    bytes: Range<usize>,
}

/// The position of a row in a result. The default is the first row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowPosition {
    /// Number of the page, from 0.
    page: usize,
    /// Offset of the row in the page, in bytes.
    byte: usize,
}

/// The result of a request, as pages of tab-separated rows. A page is stored in the last buffer if it fits,
/// and otherwise in a new buffer.
#[derive(Debug, Default)]
pub struct ResultSet {
    buffers: Vec<Buffer>,
    /// Locations by page number; `None` until the page has arrived.
    pages: Vec<Option<Page>>,
}

impl ResultSet {
    /// Sets the number of pages, none of which has arrived yet.
    pub(super) fn expect_pages(&mut self, pages: usize) {
        self.pages = vec![None; pages];
    }

    /// Whether a page has arrived; `None` if the result has no page with this number.
    pub(super) fn has_page(&self, page: usize) -> Option<bool> {
        self.pages.get(page).map(Option::is_some)
    }

    /// Whether all pages have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// Stores the expected page with number `page`; returns false if the pool has no buffer for it.
    pub(super) fn insert_page(&mut self, pool: &BufferPool, page: usize, body: &[u8]) -> bool {
        if !self.buffers.last().is_some_and(|buffer| buffer.has_capacity(body.len())) {
            let Some(buffer) = pool.get(body.len()) else { return false };
            self.buffers.push(buffer);
        }
        let buffer = self.buffers.len() - 1;
        let start = self.buffers[buffer].len();
        self.buffers[buffer].extend_from_slice(body);
        self.pages[page] = Some(Page { buffer, bytes: start..start + body.len() });
        true
    }

    /// The length of the pages that have arrived, in bytes.
    pub fn byte_count(&self) -> usize {
        self.pages.iter().flatten().map(|page| page.bytes.len()).sum()
    }

    /// The row at a position, without its line feed, and the position of the next row; `None` after the last
    /// row.
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
