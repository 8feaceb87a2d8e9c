/*!
The operators' text: which services exist, what they promise and where
requests go.

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

- A [`Document`] satisfies the schema and every cross-field rule; an invalid text
  is refused as a whole with all of its faults.
- Texts that differ in white space or member order only have the same hash.
- [`apply`] returns a text only if its hash is the expected one.

# Costs

A [`Document`] holds the canonical JSON compressed, and the compiled [`Snapshot`].
Parsing also needs the whole document as JSON values, which is released before
it returns. `benches/text.rs` measures both.
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

/// A valid text.
#[derive(Clone, Debug)]
pub struct Document {
    packed: canonical::Packed,
    snapshot: Arc<Snapshot>,
}

impl Document {
    /// Parses and checks a JSON document.
    pub fn parse(json: &[u8]) -> Result<Self, Report<Error>> {
        let value = schema::read(json).map_err(Error::syntax)?;
        Self::from_value(value)
    }

    /// Parses what [`Document::gzip`] returned, possibly on another host.
    pub fn from_gzip(packed: &[u8]) -> Result<Self, Report<Error>> {
        Self::parse(&canonical::unpack(packed)?)
    }

    fn from_value(value: serde_json::Value) -> Result<Self, Report<Error>> {
        static SCHEMA: std::sync::LazyLock<Schema> = std::sync::LazyLock::new(|| {
            Schema::new(include_str!("../../../schema/text.schema.json"))
        });
        Error::invalid(SCHEMA.check(&value))?;
        let packed = canonical::Packed::new(&value);
        let text: border::text::Text =
            schema::convert(value).map_err(|fault| Error::of(Kind::Invalid, vec![fault]))?;
        Error::invalid(check::check(&text))?;
        let snapshot = Arc::new(Snapshot::compile(text, packed.hash.clone()));
        Ok(Self { packed, snapshot })
    }

    /// Returns the xxh3-128 hash of the canonical JSON, in hexadecimal.
    pub fn hash(&self) -> &Arc<str> {
        &self.packed.hash
    }

    /// Returns the canonical JSON: no white space, members sorted by name.
    pub fn canonical(&self) -> Vec<u8> {
        self.packed.unpack()
    }

    /// Returns the canonical JSON in gzip form.
    pub fn gzip(&self) -> &Bytes {
        &self.packed.gzip
    }

    /// Returns the form for the request path.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}
