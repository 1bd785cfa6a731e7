//! Tests of results of several pages.

use super::*;
use crate::core::buffer_pool::SMALL_BUFFER_BYTES;

#[test]
fn rows_are_in_page_order_when_pages_arrive_in_reverse_order_in_several_buffers() {
    let filler = "x".repeat(500);
    let pool = BufferPool::new(8 * SMALL_BUFFER_BYTES);
    let mut result = ResultSet::default();
    result.expect_pages(13);
    for page in (0..13).rev() {
        assert!(result.insert_page(&pool, page, format!("{page}\t{filler}\n{page}\tb\n").as_bytes()));
    }
    assert!(result.buffers.len() > 1);
    let mut position = RowPosition::default();
    let mut rows = Vec::new();
    while let Some((row, next)) = result.row(position) {
        rows.push(String::from_utf8_lossy(row).into_owned());
        position = next;
    }
    let expected: Vec<String> =
        (0..13).flat_map(|page| [format!("{page}\t{filler}"), format!("{page}\tb")]).collect();
    assert_eq!(rows, expected);
}
