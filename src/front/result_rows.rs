//! Writes rows of a result as DataRow messages.

use super::client_connection::{ClientConnection, ClientStream};
use crate::core::result_buffer::{ResultSet, RowPosition};
use crate::proto::pg;
use std::io;

pub(super) use crate::proto::engine_answer::COLUMNS;

/// The rows that were written in one answer.
pub(super) struct WrittenRows {
    /// Number of rows that were written.
    pub(super) count: u64,
    /// Position of the first row that was not written, if any is left.
    pub(super) next: Option<RowPosition>,
}

/// Writes rows from `position` on, at most `max_rows` of them (0 means all).
///
/// # Errors
/// An error of the connection.
pub(super) async fn write_rows<S: ClientStream>(
    connection: &mut ClientConnection<S>,
    result: &ResultSet,
    mut position: RowPosition,
    max_rows: u32,
) -> io::Result<WrittenRows> {
    let mut count = 0;
    while let Some((line, next)) = result.row(position) {
        if max_rows > 0 && count == u64::from(max_rows) {
            return Ok(WrittenRows { count, next: Some(position) });
        }
        write_row(connection, line).await?;
        count += 1;
        position = next;
    }
    Ok(WrittenRows { count, next: None })
}

/// Writes one row. If the output buffer cannot hold all of it, the row is sent in parts.
async fn write_row<S: ClientStream>(connection: &mut ClientConnection<S>, line: &[u8]) -> io::Result<()> {
    if connection.try_reserve_output(pg::data_row_size(line)) {
        pg::write_data_row(connection.output(), line);
        return Ok(());
    }
    connection.write_output(&pg::data_row_header(line)).await?;
    for column in pg::columns(line) {
        connection.write_output(&pg::column_length(column)).await?;
        connection.write_output(column).await?;
    }
    Ok(())
}
