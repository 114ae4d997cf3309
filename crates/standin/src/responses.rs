//! Responses that don't come from the database.

use pgwire::messages::data::{FieldDescription, RowDescription};

use crate::database::StatementResult;

/// The PostgreSQL type OID of `text`.
pub(crate) const TEXT_OID: u32 = 25;

/// Returns a response without rows.
pub(crate) fn tag_only(tag: &str) -> StatementResult {
    StatementResult { tag: tag.to_owned(), ..StatementResult::default() }
}

/// Returns the description of a single text column.
pub(crate) fn text_column(name: &str) -> RowDescription {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    RowDescription::new(vec![field])
}

/// Returns a response with a single text value.
pub(crate) fn text_value(name: &str, value: &str) -> StatementResult {
    let mut data = bytes::BytesMut::new();
    bytes::BufMut::put_i32(&mut data, value.len() as i32);
    data.extend_from_slice(value.as_bytes());
    let row = pgwire::messages::data::DataRow::new(data, 1);
    StatementResult {
        description: Some(text_column(name)),
        rows: vec![row],
        tag: "SELECT 1".to_owned(),
    }
}
