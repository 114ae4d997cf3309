//! Tags that a caller attaches to a statement in a trailing SQL comment, in the sqlcommenter format.

use std::borrow::Cow;

/// The known tags of a trailing comment of the form `/* key='value', … */`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tags {
    /// The kind of read, from the key `wardtiller.read_kind`.
    pub read_kind: Option<String>,
    /// The W3C trace context, from the key `traceparent`.
    pub traceparent: Option<String>,
}

/// Splits a statement from its trailing comment.
///
/// The trace context differs from call to call, so [`crate::Classifier`] caches by the text without
/// the comment. A text that does not end with a comment is returned unchanged.
pub fn split_tags(sql: &str) -> (&str, Tags) {
    let trimmed = sql.trim_end().trim_end_matches(';').trim_end();
    if !trimmed.ends_with("*/") {
        return (sql, Tags::default());
    }
    let Some(start) = trimmed.rfind("/*") else { return (sql, Tags::default()) };
    let inner = &trimmed[start + 2..trimmed.len() - 2];
    (trimmed[..start].trim_end(), parse_tags(inner))
}

fn parse_tags(inner: &str) -> Tags {
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

/// Removes the quotes and decodes percent-encoded hyphens.
fn unquote(value: &str) -> Cow<'_, str> {
    let inner = value.strip_prefix('\'').and_then(|value| value.strip_suffix('\''));
    match inner {
        Some(inner) if inner.contains("%2D") => Cow::Owned(inner.replace("%2D", "-")),
        Some(inner) => Cow::Borrowed(inner),
        None => Cow::Borrowed(value),
    }
}
