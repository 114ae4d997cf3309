//! Answers that the stand-in makes itself, without its database.

use pgwire::messages::data::{FieldDescription, RowDescription};

use crate::database::Outcome;

/// PostgreSQL's number for text.
pub(crate) const TEXT_OID: u32 = 25;

/// An answer without rows.
pub(crate) fn tagged(tag: &str) -> Outcome {
    Outcome { tag: tag.to_owned(), ..Outcome::default() }
}

/// The description of a single column of text.
pub(crate) fn text_column(name: &str) -> RowDescription {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    RowDescription::new(vec![field])
}

/// A single value as text.
pub(crate) fn text_row(name: &str, value: &str) -> Outcome {
    let mut data = bytes::BytesMut::new();
    bytes::BufMut::put_i32(&mut data, value.len() as i32);
    data.extend_from_slice(value.as_bytes());
    let row = pgwire::messages::data::DataRow::new(data, 1);
    Outcome { description: Some(text_column(name)), rows: vec![row], tag: "SELECT 1".to_owned() }
}
