//! JSON-lines logging.

use std::time::{SystemTime, UNIX_EPOCH};

use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Starts logging to standard error; a second call in one process changes nothing.
pub fn init_logging(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(level)
        // Libraries may log only warnings and errors.
        .level_for("rustls", LevelFilter::Warn)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("ureq", LevelFilter::Warn)
        .level_for("ureq_proto", LevelFilter::Warn)
        .level_for("tokio_postgres", LevelFilter::Warn)
        .format(|out, message, record| {
            out.finish(format_args!("{}", json_line(&message.to_string(), record)));
        })
        .chain(std::io::stderr());
    // Fails if a logger is already installed, as in tests with several daemons in one process.
    let _ = dispatch.apply();
}

pub(crate) fn json_line(message: &str, record: &Record<'_>) -> serde_json::Value {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("time_unix_ms".to_owned(), json!(since_epoch.as_millis() as u64));
    fields.insert("level".to_owned(), json!(record.level().as_str().to_lowercase()));
    fields.insert("target".to_owned(), json!(record.target()));
    fields.insert("message".to_owned(), json!(message));
    // If the fields can't be read, the record is logged without them.
    let _ = record.key_values().visit(&mut FieldCollector { fields: &mut fields });
    serde_json::Value::Object(fields)
}

struct FieldCollector<'a> {
    fields: &'a mut Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => json!(value.to_string()),
        };
        self.fields.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
