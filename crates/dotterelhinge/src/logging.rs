//! Logs as JSON lines on standard error.
//!
//! Every line has `time` (RFC 3339, microseconds), `level`, `target` and
//! `message`; the key-value pairs of the call follow under their own names.

use std::io::Write;

use log::kv;
use serde_json::{Map, Value};

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging for a process from `level` on.
pub fn init(level: log::LevelFilter, host: &str) {
    let host = host.to_owned();
    env_logger::Builder::new()
        .filter_level(level)
        .format(move |out, record| {
            let mut line = Map::new();
            line.insert("time".into(), out.timestamp_micros().to_string().into());
            line.insert("level".into(), record.level().as_str().into());
            line.insert("target".into(), record.target().into());
            line.insert("host".into(), host.as_str().into());
            line.insert("message".into(), record.args().to_string().into());
            // A visitor that never fails can't stop the walk.
            let _ = record.key_values().visit(&mut Fields(&mut line));
            writeln!(out, "{}", Value::Object(line))
        })
        .init();
}
