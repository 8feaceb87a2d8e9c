//! The configuration history on top of a store.

use std::{rc::Rc, sync::Arc, time::Duration, time::SystemTime};

use bytes::Bytes;
use dotterelhinge_policy::clock;
use error_stack::Report;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3;

use super::{Condition, Error, Host, Kind, Result, Row, Store, Write};

const HEAD: &str = "config/head";
const HISTORY: &str = "config/history/";

/// How far an accept goes to learn its outcome.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Times a transaction is sent, and times its row is read back.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Wait before the second attempt; it doubles from then on.
    #[serde(rename = "wait")]
    pub initial_backoff: Duration,
    /// Edits at most that a conflict names.
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
    /// Number of the version, from 1.
    pub version: u64,
    /// Hash of the text, which names the object that holds it.
    pub hash: Arc<str>,
    /// Identifies the edit that was accepted.
    #[serde(rename = "edit")]
    pub edit_id: uuid::Uuid,
    /// Who made the edit.
    pub author: Arc<str>,
}

/// The row `config/history/<version>`: one accepted edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Number of the version that the edit made.
    pub version: u64,
    /// Identifies the edit.
    #[serde(rename = "edit")]
    pub id: uuid::Uuid,
    /// Who made it.
    pub author: Arc<str>,
    /// The version that it started from.
    pub base: u64,
    /// When it was made, in milliseconds since the Unix epoch by the clock of
    /// the author's machine.
    pub time: u64,
    /// What the author says about it.
    pub summary: Arc<str>,
    /// Hash of the text.
    pub hash: Arc<str>,
}

/// Outcome of an attempt to accept a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The text is the given version.
    Accepted {
        /// Number of the version.
        version: u64,
        /// Hash of the text.
        hash: Arc<str>,
    },
    /// The text was not accepted, because the head is not the base.
    Conflict {
        /// Version of the head when the conflict was seen.
        version: u64,
        /// The edits since the base, oldest first. It is empty if they could
        /// not be read.
        edits: Vec<Edit>,
    },
    /// The edit was sent and its outcome could not be learned. It may still
    /// take effect; [`Client::resolve`] with the same edit finds out later.
    Unknown(Edit),
}

/// The platform as the daemon and the command line use it.
#[derive(Clone)]
pub struct Client {
    store: Rc<dyn Store>,
    clock: Arc<dyn clock::Clock>,
    settings: Settings,
}

/// The hash that names a text: 128 bits of XXH3 in hexadecimal digits. It
/// guards against damage and confusion, not against forgery.
pub(super) fn hash(text: &[u8]) -> Arc<str> {
    Arc::from(format!("{:032x}", xxh3::xxh3_128(text)))
}

fn object_name(hash: &str) -> String {
    format!("config/{hash}")
}

/// Numbers are padded so that key order is the order of versions.
fn history_key(version: u64) -> String {
    format!("{HISTORY}{version:020}")
}

fn invalid(message: String) -> Report<Error> {
    Report::new(Error::new(Kind::Invalid, message))
}

fn parsed<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|error| invalid(format!("row {key}: {error}")))
}

fn written<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| invalid(error.to_string()))
}

impl Client {
    /// A client of the platform at a base URL, with the usual limits.
    pub(crate) fn connect(base: &str, clock: Arc<dyn clock::Clock>) -> Self {
        let http = super::Http::new(base, super::Limits::default());
        Self::new(Rc::new(http), clock, Settings::default())
    }

    /// A client on top of `store`.
    pub fn new(store: Rc<dyn Store>, clock: Arc<dyn clock::Clock>, settings: Settings) -> Self {
        Self {
            store,
            clock,
            settings,
        }
    }

    /// The store underneath.
    pub fn store(&self) -> &dyn Store {
        &*self.store
    }

    /// The hash under which `accept` stores `text`.
    pub fn hash(text: &str) -> Arc<str> {
        hash(text.as_bytes())
    }

    /// The accepted version, or `None` before the first one.
    pub async fn head(&self) -> Result<Option<Head>> {
        let row = self.store.row(HEAD).await?;
        row.map(|value| parsed(HEAD, &value)).transpose()
    }

    /// The text with the given hash, checked against it.
    pub async fn document(&self, wanted: &str) -> Result<String> {
        let name = object_name(wanted);
        let body = self.store.get_object(&name).await?;
        let body = body.ok_or_else(|| invalid(format!("object {name} does not exist")))?;
        if *hash(&body) != *wanted {
            return Err(invalid(format!("object {name} does not match its hash")));
        }
        String::from_utf8(body.into()).map_err(|error| invalid(format!("object {name}: {error}")))
    }

    /// The newest `count` edits, oldest first.
    pub async fn history(&self, count: usize) -> Result<Vec<Edit>> {
        match self.head().await? {
            Some(head) => {
                self.edits_after(head.version.saturating_sub(count as u64), count)
                    .await
            }
            None => Ok(Vec::new()),
        }
    }

    /// The platform's host list.
    pub async fn hosts(&self) -> Result<Vec<Host>> {
        self.store.hosts().await
    }

    async fn edits_after(&self, base: u64, limit: usize) -> Result<Vec<Edit>> {
        let rows = self.store.rows(HISTORY, &history_key(base), limit).await?;
        rows.iter()
            .map(|Row { key, value }| parsed(key, value))
            .collect()
    }

    /// Makes `text` the version after `base` (0 for the first one), unless
    /// another edit came first. An error means that the text was not
    /// accepted; a doubtful outcome is [`Outcome::Unknown`].
    pub async fn submit(
        &self,
        base: u64,
        text: &str,
        author: &str,
        summary: &str,
    ) -> Result<Outcome> {
        let row = self.store.row(HEAD).await?;
        let current = match &row {
            Some(value) => parsed::<Head>(HEAD, value)?.version,
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
            hash: Self::hash(text),
        };
        // The object comes first, so that no head names a missing text.
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.store
            .put_object(&object_name(&edit.hash), body)
            .await?;
        self.commit(row, edit).await
    }

    /// Sends the transaction until its outcome is known. Sending it again is
    /// harmless: the condition on the whole head row, which contains the edit
    /// id, holds at most once.
    async fn commit(&self, head: Option<String>, edit: Edit) -> Result<Outcome> {
        let key = history_key(edit.version);
        let conditions = [
            match head {
                Some(value) => Condition::equals(HEAD, value),
                None => Condition::absent(HEAD),
            },
            Condition::absent(&key),
        ];
        let writes = [
            Write::put(
                HEAD,
                written(&Head {
                    version: edit.version,
                    hash: Arc::clone(&edit.hash),
                    edit_id: edit.id,
                    author: Arc::clone(&edit.author),
                })?,
            ),
            Write::put(&key, written(&edit)?),
        ];
        let mut in_doubt = false;
        let mut wait = self.settings.initial_backoff;
        let mut last = None;
        for attempt in 0..self.settings.max_attempts.max(1) {
            if attempt > 0 {
                tokio::time::sleep(wait).await;
                wait *= 2;
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
                Kind::Invalid if !in_doubt => return Err(error),
                // A conflict may be with an earlier attempt of this edit, so
                // the history row decides here as well.
                Kind::Conflict | Kind::Unavailable | Kind::Invalid => in_doubt = true,
            }
            if in_doubt {
                match self.resolve(&edit).await {
                    // Without the row after a conflict, no earlier attempt
                    // took effect, and none can while the head differs.
                    Ok(Outcome::Unknown(_)) if kind == Kind::Conflict => {
                        return Ok(self.conflict(edit.base, edit.base).await);
                    }
                    Ok(Outcome::Unknown(_)) | Err(_) => {}
                    Ok(known) => return Ok(known),
                }
            }
            last = Some(error);
        }
        match last {
            Some(error) if !in_doubt => Err(error),
            _ => Ok(Outcome::Unknown(edit)),
        }
    }

    /// Finds out what became of an unproven edit. It stays unproven while no
    /// edit has made its version, since its write may still be on the way.
    pub async fn resolve(&self, edit: &Edit) -> Result<Outcome> {
        let key = history_key(edit.version);
        let Some(value) = self.store.row(&key).await? else {
            return Ok(Outcome::Unknown(edit.clone()));
        };
        let found: Edit = parsed(&key, &value)?;
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
