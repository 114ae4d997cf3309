//! Facts that a caller attaches to a statement in a trailing SQL comment.

use std::borrow::Cow;

/// What a trailing comment of the form `/* key='value', … */` says, as far as it is of use here.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tags {
    /// The kind of read, from `wardtiller.read_kind`.
    pub read_kind: Option<String>,
    /// The W3C trace context, from `traceparent`.
    pub traceparent: Option<String>,
}

/// Splits a statement from its trailing comment.
///
/// The comment varies from call to call with the trace, so the statement without it is what
/// classifications are remembered under. A text whose end is not a comment is returned whole.
pub fn split_tags(sql: &str) -> (&str, Tags) {
    let trimmed = sql.trim_end().trim_end_matches(';').trim_end();
    if !trimmed.ends_with("*/") {
        return (sql, Tags::default());
    }
    let Some(start) = trimmed.rfind("/*") else { return (sql, Tags::default()) };
    let inner = &trimmed[start + 2..trimmed.len() - 2];
    (trimmed[..start].trim_end(), read_tags(inner))
}

fn read_tags(inner: &str) -> Tags {
    let mut tags = Tags::default();
    for pair in inner.split(',') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        let value = unquote(value.trim());
        match key.trim() {
            "wardtiller.read_kind" => tags.read_kind = Some(value.into_owned()),
            "traceparent" => tags.traceparent = Some(value.into_owned()),
            _ => {}
        }
    }
    tags
}

fn unquote(value: &str) -> Cow<'_, str> {
    let inner = value.strip_prefix('\'').and_then(|value| value.strip_suffix('\''));
    match inner {
        Some(inner) if inner.contains("%2D") => Cow::Owned(inner.replace("%2D", "-")),
        Some(inner) => Cow::Borrowed(inner),
        None => Cow::Borrowed(value),
    }
}
