//! Reconstructs the timeline of one request from the logs of one or more daemons.
//!
//! The request's records are listed in time order. Each one is preceded by the latest state records of
//! the same daemon for the service, which explain its decision. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;

use serde_json::Value;

/// Events that record a change in a daemon's view of a service.
const STATE_EVENTS: [&str; 6] = [
    "leadership",
    "right_gained",
    "change_step",
    "server_reachability",
    "store_restored",
    "record_confirmed",
];

/// A log record. `source` is the last word before the JSON, such as a host, or the log's name if there is none.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    time_unix_ms: u64,
    source: String,
    fields: Value,
}

/// Returns the timeline of the request `id`, oldest line first, from pairs of a log's name and its text.
///
/// The result is empty if no log mentions the request. Lines without JSON are skipped, since other
/// programs may write to the same file.
pub fn explain(id: &str, logs: &[(String, String)]) -> Vec<String> {
    let mut entries: Vec<Entry> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(move |line| parse_line(source, line)))
        .collect();
    entries.sort_by_key(|entry| entry.time_unix_ms);
    let mut latest_states: BTreeMap<(String, String, String), String> = BTreeMap::new();
    let mut timeline = Vec::new();
    for entry in &entries {
        let event = text_of(&entry.fields, "event");
        let service = text_of(&entry.fields, "service");
        if text_of(&entry.fields, "id") == id {
            let states = latest_states
                .iter()
                // A record without a service applies to all services.
                .filter(|((source, state_service, _), _)| {
                    *source == entry.source
                        && (*state_service == service || state_service.is_empty())
                });
            for (_, line) in states {
                timeline.push(format!("    known: {line}"));
            }
            timeline.push(render(entry));
        } else if STATE_EVENTS.contains(&event.as_str()) {
            latest_states.insert((entry.source.clone(), service, event), render(entry));
        }
    }
    timeline
}

/// Parses a line, which may have a prefix before the JSON, such as a time and a host.
fn parse_line(source: &str, line: &str) -> Option<Entry> {
    let start = line.find('{')?;
    let fields: Value = serde_json::from_str(&line[start..]).ok()?;
    let time_unix_ms = fields.get("time_unix_ms")?.as_u64()?;
    let last_word = line[..start].split_whitespace().next_back();
    let source = last_word.map_or_else(|| source.to_owned(), str::to_owned);
    Some(Entry { time_unix_ms, source, fields })
}

fn text_of(fields: &Value, key: &str) -> String {
    fields.get(key).and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn render(entry: &Entry) -> String {
    let hidden = ["event", "message", "target", "level", "time_unix_ms", "id"];
    let fields = entry.fields.as_object().into_iter().flatten();
    let pairs: Vec<String> = fields
        .filter(|(key, _)| !hidden.contains(&key.as_str()))
        .map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        })
        .collect();
    format!(
        "{} {} {}: {} ({})",
        entry.time_unix_ms,
        entry.source,
        text_of(&entry.fields, "event"),
        text_of(&entry.fields, "message"),
        pairs.join(" ")
    )
}
