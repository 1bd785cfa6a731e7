//! Results: the pages of an answer, kept until its client has the last row.

use super::buffer_pool::{Buffer, BufferPool};

/// Longest page.
pub(super) const PAGE: usize = 6_000;
/// Longest result.
pub(super) const MOST_RESULT: usize = 48_000;

/// A result: its pages one behind the other in as few buffers as hold them, in the order they came.
#[derive(Debug, Default)]
pub struct ResultSet {
    bufs: Vec<Buffer>,
    /// By page: its buffer, and where it begins and ends there.
    pub(super) pages: Vec<Option<(usize, usize, usize)>>,
}

impl ResultSet {
    pub(super) fn put(&mut self, pool: &BufferPool, page: usize, body: &[u8]) -> bool {
        if !self.bufs.last().is_some_and(|buf| buf.has_room(body.len())) {
            let Some(buf) = pool.get() else { return false };
            self.bufs.push(buf);
        }
        let last = self.bufs.len() - 1;
        let at = self.bufs[last].len();
        self.bufs[last].extend_from_slice(body);
        self.pages[page] = Some((last, at, at + body.len()));
        true
    }

    /// Bytes of it.
    pub(super) fn len(&self) -> usize {
        self.pages.iter().flatten().map(|p| p.2 - p.1).sum()
    }

    /// The row at a place, without its line feed, and the place behind it. A place is a page and a
    /// byte in it; a result begins at (0, 0).
    pub fn row(&self, (mut page, mut byte): (usize, usize)) -> Option<(&[u8], (usize, usize))> {
        loop {
            let (buf, at, end) = self.pages.get(page).copied()?.unwrap_or_default();
            if byte < end - at {
                let rest = &self.bufs[buf][at + byte..end];
                let end = rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
                return Some((&rest[..end], (page, byte + end + 1)));
            }
            (page, byte) = (page + 1, 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_come_back_in_order_over_pages_and_buffers() {
        let pool = BufferPool::new(3);
        let mut set = ResultSet { bufs: Vec::new(), pages: vec![None; 13] };
        for page in (0..13).rev() {
            assert!(set.put(&pool, page, format!("{page}\ta\n{page}\tb\n").as_bytes()));
        }
        let (mut at, mut seen) = ((0, 0), Vec::new());
        while let Some((row, next)) = set.row(at) {
            seen.push(String::from_utf8_lossy(row).into_owned());
            at = next;
        }
        let wanted: Vec<String> = (0..13).flat_map(|p| [format!("{p}\ta"), format!("{p}\tb")]).collect();
        assert_eq!(seen, wanted);
    }
}
