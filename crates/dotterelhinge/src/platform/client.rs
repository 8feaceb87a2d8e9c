//! The configuration history, kept in a [`Store`].

use std::{rc::Rc, sync::Arc, time::Duration, time::SystemTime};

use bytes::Bytes;
use dotterelhinge_policy::clock;
use error_stack::Report;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3;

use super::{Condition, Error, Host, Kind, Result, Row, Store, Write};

const HEAD_KEY: &str = "config/head";
const HISTORY_PREFIX: &str = "config/history/";

/// Limits on retries and on the size of results.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of times that a transaction is sent, and that its history
    /// row is read to learn its outcome.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Wait before the second attempt; it doubles for each further one.
    #[serde(rename = "wait")]
    pub initial_backoff: Duration,
    /// Maximum number of edits that a conflict lists.
    #[serde(rename = "conflict_edits")]
    pub max_conflict_edits: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            initial_backoff: Duration::from_millis(100),
            max_conflict_edits: 20,
        }
    }
}

/// The row `config/head`: the accepted version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the version, starting at 1.
    pub version: u64,
    /// Hash of the document, which is part of the name of its object.
    pub hash: Arc<str>,
    /// Id of the accepted edit.
    #[serde(rename = "edit")]
    pub edit_id: uuid::Uuid,
    /// Author of the edit.
    pub author: Arc<str>,
}

/// The row `config/history/<version>`: one accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Number of the version that the edit created.
    pub version: u64,
    /// Unique id of the edit.
    #[serde(rename = "edit")]
    pub id: uuid::Uuid,
    /// Author of the edit.
    pub author: Arc<str>,
    /// Number of the version that the edit is based on.
    pub base: u64,
    /// Time of the edit in milliseconds since the Unix epoch, by the clock of
    /// the author's host.
    pub time: u64,
    /// Description of the edit by its author.
    pub summary: Arc<str>,
    /// Hash of the document.
    pub hash: Arc<str>,
}

/// Outcome of submitting a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The document was accepted as the given version.
    Accepted {
        /// Number of the version.
        version: u64,
        /// Hash of the document.
        hash: Arc<str>,
    },
    /// The document was not accepted, because the head is not at the base
    /// version.
    Conflict {
        /// Newest version known when the conflict was found.
        version: u64,
        /// Edits since the base, oldest first; empty if they could not be read.
        edits: Vec<Edit>,
    },
    /// The edit was sent, but its outcome is unknown. It may still take effect;
    /// [`Client::resolve`] with the same edit can find out later.
    Unknown(Edit),
}

/// Client of the platform for the daemon and the command line.
#[derive(Clone)]
pub struct Client {
    store: Rc<dyn Store>,
    clock: Arc<dyn clock::Clock>,
    settings: Settings,
}

/// Returns the hash that identifies a document: 128 bits of XXH3 in hexadecimal
/// digits. It detects corrupted and mistaken documents, but not forged ones.
pub(super) fn hash(document: &[u8]) -> Arc<str> {
    Arc::from(format!("{:032x}", xxh3::xxh3_128(document)))
}

fn object_name(hash: &str) -> String {
    format!("config/{hash}")
}

/// Returns the key of a version's history row. The number is padded, so that
/// keys sort in the order of versions.
fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

fn invalid(message: String) -> Report<Error> {
    Report::new(Error::new(Kind::Invalid, message))
}

fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value)
        .map_err(|error| invalid(format!("row {key} cannot be decoded: {error}")))
}

fn encode<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| invalid(error.to_string()))
}

impl Client {
    /// Creates an HTTP client of the platform at a base URL, with default limits
    /// and settings. It opens no connection yet.
    pub(crate) fn connect(base: &str, clock: Arc<dyn clock::Clock>) -> Self {
        let http = super::Http::new(base, super::Limits::default());
        Self::new(Rc::new(http), clock, Settings::default())
    }

    /// Creates a client that uses `store`.
    pub fn new(store: Rc<dyn Store>, clock: Arc<dyn clock::Clock>, settings: Settings) -> Self {
        Self {
            store,
            clock,
            settings,
        }
    }

    /// Returns the underlying store.
    pub fn store(&self) -> &dyn Store {
        &*self.store
    }

    /// Returns the hash under which [`Client::submit`] stores `document`.
    pub fn hash(document: &str) -> Arc<str> {
        hash(document.as_bytes())
    }

    /// Returns the newest accepted version, or `None` before the first one.
    pub async fn head(&self) -> Result<Option<Head>> {
        let row = self.store.row(HEAD_KEY).await?;
        row.map(|value| decode(HEAD_KEY, &value)).transpose()
    }

    /// Returns the document with the given hash.
    ///
    /// Fails with [`Kind::Invalid`] if the document does not exist, does not
    /// match the hash or is not UTF-8.
    pub async fn document(&self, expected: &str) -> Result<String> {
        let name = object_name(expected);
        let body = self.store.get_object(&name).await?;
        let body = body.ok_or_else(|| invalid(format!("object {name} does not exist")))?;
        if *hash(&body) != *expected {
            return Err(invalid(format!("object {name} does not match its hash")));
        }
        String::from_utf8(body.into())
            .map_err(|error| invalid(format!("object {name} is not UTF-8: {error}")))
    }

    /// Returns the newest `count` edits, oldest first.
    pub async fn history(&self, count: usize) -> Result<Vec<Edit>> {
        match self.head().await? {
            Some(head) => {
                self.edits_after(head.version.saturating_sub(count as u64), count)
                    .await
            }
            None => Ok(Vec::new()),
        }
    }

    /// Returns the platform's host list.
    pub async fn hosts(&self) -> Result<Vec<Host>> {
        self.store.hosts().await
    }

    async fn edits_after(&self, base: u64, limit: usize) -> Result<Vec<Edit>> {
        let rows = self
            .store
            .rows(HISTORY_PREFIX, &history_key(base), limit)
            .await?;
        rows.iter()
            .map(|Row { key, value }| decode(key, value))
            .collect()
    }

    /// Submits `document` as the version after `base`, which is 0 for the first
    /// version. It is accepted if no other edit has been accepted since `base`.
    ///
    /// An error means that the document was not accepted; if that is not
    /// certain, the outcome is [`Outcome::Unknown`]. Apart from reads, this
    /// stores the object once and sends the transaction up to
    /// [`Settings::max_attempts`] times.
    pub async fn submit(
        &self,
        base: u64,
        document: &str,
        author: &str,
        summary: &str,
    ) -> Result<Outcome> {
        let row = self.store.row(HEAD_KEY).await?;
        let current = match &row {
            Some(value) => decode::<Head>(HEAD_KEY, value)?.version,
            None => 0,
        };
        if current != base {
            return Ok(self.conflict(base, current).await);
        }
        let time = self
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |time| {
                u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
            });
        let edit = Edit {
            version: base + 1,
            id: uuid::Uuid::new_v4(),
            author: Arc::from(author),
            base,
            time,
            summary: Arc::from(summary),
            hash: Self::hash(document),
        };
        // The object is stored first, so that no head refers to a missing one.
        let body = Bytes::copy_from_slice(document.as_bytes());
        self.store
            .put_object(&object_name(&edit.hash), body)
            .await?;
        self.commit(row, edit).await
    }

    /// Sends the transaction until its outcome is known, at most
    /// [`Settings::max_attempts`] times. A transaction that is sent twice takes
    /// effect at most once: it requires the head row to be unchanged, and it
    /// replaces that row by one with its own edit id.
    async fn commit(&self, head: Option<String>, edit: Edit) -> Result<Outcome> {
        let key = history_key(edit.version);
        let conditions = [
            match head {
                Some(value) => Condition::equals(HEAD_KEY, value),
                None => Condition::absent(HEAD_KEY),
            },
            Condition::absent(&key),
        ];
        let writes = [
            Write::put(
                HEAD_KEY,
                encode(&Head {
                    version: edit.version,
                    hash: Arc::clone(&edit.hash),
                    edit_id: edit.id,
                    author: Arc::clone(&edit.author),
                })?,
            ),
            Write::put(&key, encode(&edit)?),
        ];
        let mut is_outcome_unknown = false;
        let mut backoff = self.settings.initial_backoff;
        let mut last_error = None;
        for attempt in 0..self.settings.max_attempts.max(1) {
            if attempt > 0 {
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            let error = match self.store.transact(&conditions, &writes).await {
                Ok(()) => {
                    return Ok(Outcome::Accepted {
                        version: edit.version,
                        hash: edit.hash,
                    });
                }
                Err(error) => error,
            };
            let kind = error.current_context().kind();
            match kind {
                Kind::RateLimited => {}
                Kind::Invalid if !is_outcome_unknown => return Err(error),
                // The conflict may be with an earlier attempt of this edit, so
                // the history row is checked in this case as well.
                Kind::Conflict | Kind::Unavailable | Kind::Invalid => is_outcome_unknown = true,
            }
            if is_outcome_unknown {
                match self.resolve(&edit).await {
                    // After a conflict, a missing history row shows that no
                    // earlier attempt took effect, and none can while the head
                    // differs.
                    Ok(Outcome::Unknown(_)) if kind == Kind::Conflict => {
                        return Ok(self.conflict(edit.base, edit.base).await);
                    }
                    Ok(Outcome::Unknown(_)) | Err(_) => {}
                    Ok(outcome) => return Ok(outcome),
                }
            }
            last_error = Some(error);
        }
        match last_error {
            Some(error) if !is_outcome_unknown => Err(error),
            _ => Ok(Outcome::Unknown(edit)),
        }
    }

    /// Returns the outcome of an edit whose outcome was unknown. It stays
    /// [`Outcome::Unknown`] until an edit has created the version, because the
    /// transaction may still be in transit.
    pub async fn resolve(&self, edit: &Edit) -> Result<Outcome> {
        let key = history_key(edit.version);
        let Some(value) = self.store.row(&key).await? else {
            return Ok(Outcome::Unknown(edit.clone()));
        };
        let found: Edit = decode(&key, &value)?;
        if found.id == edit.id {
            return Ok(Outcome::Accepted {
                version: edit.version,
                hash: Arc::clone(&edit.hash),
            });
        }
        Ok(self.conflict(edit.base, found.version).await)
    }

    async fn conflict(&self, base: u64, version: u64) -> Outcome {
        let edits = self
            .edits_after(base, self.settings.max_conflict_edits)
            .await
            .unwrap_or_default();
        let version = edits
            .last()
            .map_or(version, |edit| edit.version.max(version));
        Outcome::Conflict { version, edits }
    }
}
