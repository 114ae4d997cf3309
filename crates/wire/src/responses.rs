//! Backend messages that the daemon builds itself.

use bytes::{BufMut, Bytes, BytesMut};
use model::{Refusal, Verdict};
use pgwire::messages::{
    PgWireBackendMessage,
    data::{DataRow, FieldDescription, RowDescription},
    response::{CommandComplete, ErrorResponse},
};

/// The PostgreSQL type OID of `text`.
const TEXT_OID: u32 = 25;

/// Encodes a sequence of whole backend messages.
#[derive(Debug, Default)]
pub struct ResponseBuilder {
    buffer: BytesMut,
}

impl ResponseBuilder {
    /// Appends a message.
    pub fn with(mut self, message: &PgWireBackendMessage) -> ResponseBuilder {
        // Encoding fails only for messages beyond the protocol's size limits, and these are short.
        let _ = message.encode(&mut self.buffer);
        self
    }

    /// Appends a `CommandComplete` message with this tag.
    pub fn complete(self, tag: &str) -> ResponseBuilder {
        let message = CommandComplete::new(tag.to_owned());
        self.with(&PgWireBackendMessage::CommandComplete(message))
    }

    /// Returns the encoded messages.
    pub fn finish(self) -> Bytes {
        self.buffer.freeze()
    }
}

fn text_column_description(name: &str) -> RowDescription {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    RowDescription::new(vec![field])
}

/// Encodes a row description with one text column, and a single row for it.
pub fn single_row_response(name: &str, value: &str) -> (Bytes, Bytes) {
    let description = PgWireBackendMessage::RowDescription(text_column_description(name));
    let mut data = BytesMut::new();
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    let row = PgWireBackendMessage::DataRow(DataRow::new(data, 1));
    (
        ResponseBuilder::default().with(&description).finish(),
        ResponseBuilder::default().with(&row).finish(),
    )
}

/// Builds the error response for a refusal; its detail field holds the verdict and the reason.
pub fn refusal_response(refusal: &Refusal) -> ErrorResponse {
    let mut fields = vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', refusal.sqlstate().to_owned()),
        (b'M', format!("wardtiller: {}", refusal.detail)),
        (b'D', format!("verdict={} reason={}", refusal.verdict.as_str(), refusal.reason.as_str())),
    ];
    fields.push((b'H', hint(refusal)));
    ErrorResponse::new(fields)
}

fn hint(refusal: &Refusal) -> String {
    match (refusal.verdict, refusal.retry_after_ms) {
        (Verdict::NotRun, Some(after)) => {
            format!("The request did not run. Send it again after {after} ms.")
        }
        (Verdict::NotRun, None) => "The request did not run.".to_owned(),
        (Verdict::Ran, _) => "The request ran.".to_owned(),
        (Verdict::MayHaveRun, _) => {
            "The request may have run. Look for its effect before you send it again.".to_owned()
        }
    }
}

/// Encodes the error response for a refusal.
pub fn encode_refusal(refusal: &Refusal) -> Bytes {
    ResponseBuilder::default()
        .with(&PgWireBackendMessage::ErrorResponse(refusal_response(refusal)))
        .finish()
}
