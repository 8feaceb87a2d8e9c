/*!
The operators' configuration: the services of the fleet, their parameters and
the routes to them.

```
use dotterelhinge::document;

let document = document::Document::parse(br#"{
    "availability_zones": [{"name": "north", "region": "east"}],
    "classes": [{"name": "lookup", "repeatable": true}],
    "services": [{"name": "desk", "floor": 0, "upstreams": [
        {"name": "desk-1", "address": "127.0.0.1:9000", "availability_zone": "north",
         "slots": 3, "connections": 400}]}],
    "routes": [{"path_prefix": "/items", "service": "desk", "class": "lookup"}]
}"#).unwrap();

let snapshot = document.snapshot();
let route = snapshot.route(None, "GET", "/items/7").unwrap();
assert_eq!(&*snapshot.services[route.service].name, "desk");
assert!(snapshot.route(None, "GET", "/itemsets").is_none());
```

# Guarantees

- A [`Document`] satisfies the schema and every cross-field rule; the error for
  an invalid one lists the faults of the first stage that fails.
- Documents that differ only in white space or member order have the same hash.
- [`apply`] returns a document only if its hash is the expected one.

# Costs

A [`Document`] holds the canonical JSON compressed, and the compiled [`Snapshot`].
Parsing also builds the complete tree of JSON values, which is freed before it
returns. `benches/text.rs` measures both.
*/

mod canonical;
pub(crate) mod check;
mod delta;
mod error;
mod routes;
pub(crate) mod schema;
mod snapshot;
mod strict;

use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;

use crate::border;

pub(crate) use delta::operations;
pub use delta::{apply, delta};
pub use error::{Error, Fault, Kind};
pub use routes::Route;
pub(crate) use schema::Schema;
pub use snapshot::{Snapshot, Zone};

/// A valid configuration document.
#[derive(Clone, Debug)]
pub struct Document {
    compressed: canonical::Compressed,
    snapshot: Arc<Snapshot>,
}

impl Document {
    /// Parses and checks a JSON document. The stages are syntax, schema,
    /// conversion and cross-field rules. An error lists the faults of the first
    /// stage that fails: one for syntax or conversion, otherwise all.
    pub fn parse(json: &[u8]) -> Result<Self, Report<Error>> {
        let value = schema::read(json).map_err(Error::syntax)?;
        Self::from_value(value)
    }

    /// Parses the output of [`Document::gzip`], possibly of another host.
    pub fn from_gzip(gzip: &[u8]) -> Result<Self, Report<Error>> {
        Self::parse(&canonical::decompress(gzip)?)
    }

    fn from_value(value: serde_json::Value) -> Result<Self, Report<Error>> {
        static SCHEMA: std::sync::LazyLock<Schema> = std::sync::LazyLock::new(|| {
            Schema::new(include_str!("../../../schema/text.schema.json"))
        });
        Error::invalid(SCHEMA.check(&value))?;
        let compressed = canonical::Compressed::new(&value);
        let parsed: border::text::Text = schema::convert(value)
            .map_err(|fault| Error::with_faults(Kind::Invalid, vec![fault]))?;
        Error::invalid(check::check(&parsed))?;
        let snapshot = Arc::new(Snapshot::compile(parsed, compressed.hash.clone()));
        Ok(Self {
            compressed,
            snapshot,
        })
    }

    /// Returns the xxh3-128 hash of the canonical JSON, in hexadecimal.
    pub fn hash(&self) -> &Arc<str> {
        &self.compressed.hash
    }

    /// Returns the canonical JSON: no white space, members sorted by name.
    pub fn canonical(&self) -> Vec<u8> {
        self.compressed.decompress()
    }

    /// Returns the canonical JSON compressed with gzip.
    pub fn gzip(&self) -> &Bytes {
        &self.compressed.gzip
    }

    /// Returns the compiled form that the request path uses.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}
