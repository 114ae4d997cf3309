//! The story of one request, out of the log lines of one or many daemons.
//!
//! Lines of the request itself are printed in time order; before each stands what the same daemon last
//! said it believed of the service, since that is what decided. See `docs/OPERATIONS.md`.

use std::collections::BTreeMap;

use serde_json::Value;

/// Events that change what a daemon believes of a service; the last one before a request's line decided.
const BELIEFS: [&str; 6] = [
    "leadership",
    "right_gained",
    "change_step",
    "server_reachability",
    "store_restored",
    "record_confirmed",
];

/// One line of a log, with the daemon that wrote it where that is known.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    time_unix_ms: u64,
    source: String,
    fields: Value,
}

/// Tells the story of the request `id` in these logs; each has a name, such as its file's.
///
/// Returns one line for each thing that happened, oldest first; none if no log names the request. Lines
/// that are no JSON are passed over, since other programs may write to the same file.
pub fn explain(id: &str, logs: &[(String, String)]) -> Vec<String> {
    let mut entries: Vec<Entry> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(move |line| read_line(source, line)))
        .collect();
    entries.sort_by_key(|entry| entry.time_unix_ms);
    let mut beliefs: BTreeMap<(String, String, String), String> = BTreeMap::new();
    let mut story = Vec::new();
    for entry in &entries {
        let event = text_of(&entry.fields, "event");
        let service = text_of(&entry.fields, "service");
        if text_of(&entry.fields, "id") == id {
            let known = beliefs
                .iter()
                // What is said of no service concerns all of them.
                .filter(|((source, about, _), _)| {
                    *source == entry.source && (*about == service || about.is_empty())
                });
            for (_, line) in known {
                story.push(format!("    known: {line}"));
            }
            story.push(render(entry));
        } else if BELIEFS.contains(&event.as_str()) {
            beliefs.insert((entry.source.clone(), service, event), render(entry));
        }
    }
    story
}

/// Reads a line that may have words before its JSON, such as a time and a host.
fn read_line(source: &str, line: &str) -> Option<Entry> {
    let start = line.find('{')?;
    let fields: Value = serde_json::from_str(&line[start..]).ok()?;
    let time_unix_ms = fields.get("time_unix_ms")?.as_u64()?;
    let prefix = line[..start].split_whitespace().next_back();
    let source = prefix.map_or_else(|| source.to_owned(), str::to_owned);
    Some(Entry { time_unix_ms, source, fields })
}

fn text_of(fields: &Value, key: &str) -> String {
    fields.get(key).and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn render(entry: &Entry) -> String {
    let hidden = ["event", "message", "target", "level", "time_unix_ms", "id"];
    let fields = entry.fields.as_object().into_iter().flatten();
    let shown: Vec<String> = fields
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
        shown.join(" ")
    )
}
