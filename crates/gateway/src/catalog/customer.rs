//! Customers, their keys and their limits.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
};

use dotterelhinge_policy::rate_limit;
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3;

/// Maximum length of a key, in bytes. Keys are random strings or signed tokens;
/// the latter take up to a few kilobytes.
pub const MAX_KEY_BYTES: usize = 4096;

/// SHA-256 digest of a key. Keys are not held in clear, so that no log line,
/// memory dump or copy of the catalog shows one. Digests are compared instead of keys, so
/// that the time of a comparison tells nothing about a key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Who sends requests and answers for them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Unique name.
    pub name: Arc<str>,
    /// Priority of the customer's requests, instead of that of their routes.
    pub priority: Option<u8>,
    /// Limit on the customer's requests over all hosts, if there is one.
    pub limit: Option<rate_limit::Limit>,
}

impl Customer {
    /// Returns the key by which hosts call the customer in their reports.
    pub fn key(&self) -> u64 {
        xxh3::xxh3_64(self.name.as_bytes())
    }
}

/// A customer and the digests of its keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holder {
    /// The customer.
    pub customer: Arc<Customer>,
    /// Digests of its keys. A customer without any can't send requests.
    pub keys: Vec<KeyDigest>,
}

/// Why customers can't be configured together.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A name can't be the value of a header: it is empty, begins or ends with
    /// white space, or contains a control character.
    #[error("{0:?} can't be the name of a customer")]
    Name(Arc<str>),
    /// Two customers have the same name.
    #[error("two customers have the name {0:?}")]
    SharedName(Arc<str>),
    /// Two customers hold the same key.
    #[error("the customers {0:?} and {1:?} hold the same key")]
    SharedKey(Arc<str>, Arc<str>),
}

/// All customers, with an index by the digests of their keys. Without any, no key is
/// valid.
///
/// A copy for another host holds the list alone; the index is built again from it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(try_from = "Vec<Holder>")]
pub struct Customers {
    holders: Vec<Holder>,
    by_key: HashMap<KeyDigest, Arc<Customer>>,
}

impl Customers {
    /// Creates the customers of a configuration. Fails if a name is invalid or
    /// not unique, or if two customers hold the same key.
    pub fn new(holders: Vec<Holder>) -> Result<Self, Error> {
        let mut names = HashSet::with_capacity(holders.len());
        let mut by_key: HashMap<KeyDigest, Arc<Customer>> = HashMap::with_capacity(holders.len());
        for Holder { customer, keys } in &holders {
            let name = &customer.name;
            if name.is_empty() || name.trim() != &**name || name.chars().any(char::is_control) {
                return Err(Error::Name(Arc::clone(name)));
            }
            if !names.insert(Arc::clone(name)) {
                return Err(Error::SharedName(Arc::clone(name)));
            }
            for key in keys {
                let other = by_key.insert(*key, Arc::clone(customer));
                if let Some(other) = other.filter(|other| other.name != *name) {
                    return Err(Error::SharedKey(Arc::clone(&other.name), Arc::clone(name)));
                }
            }
        }
        Ok(Self { holders, by_key })
    }

    /// Returns the number of customers, including those without a key.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the customers that have a key, each once.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        let with_key = self.holders.iter().filter(|holder| !holder.keys.is_empty());
        with_key.map(|holder| &holder.customer)
    }

    /// Returns the customer whose key has the digest `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }
}

impl TryFrom<Vec<Holder>> for Customers {
    type Error = Error;

    fn try_from(holders: Vec<Holder>) -> Result<Self, Error> {
        Self::new(holders)
    }
}

impl Serialize for Customers {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.holders.serialize(serializer)
    }
}
