//! The route table.

use std::collections::HashMap;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Target of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// Position in [`Snapshot::services`](super::Snapshot::services).
    pub service: usize,
    /// Position in [`Snapshot::classes`](super::Snapshot::classes).
    pub class: usize,
}

/// A route as configured.
pub(super) struct Rule<'a> {
    pub(super) host: Option<&'a str>,
    pub(super) methods: &'a [String],
    pub(super) prefix: &'a str,
    pub(super) route: Route,
}

/// Identifier that stands for any method; it sorts after all others.
const ANY_METHOD: u32 = u32::MAX;

/// Path prefixes of one host.
#[derive(Clone, Copy, Debug)]
struct Host {
    id: u32,
    /// Number of segments of its longest prefix. Further segments of a request
    /// path are not hashed.
    depth: usize,
}

/// A host and a path prefix with at least one rule.
#[derive(Clone, Copy, Debug)]
struct Node {
    host: u32,
    /// Byte range of the prefix in `Table::prefixes`.
    start: u32,
    end: u32,
    /// Range in `Table::methods`.
    first: u32,
    last: u32,
}

/// Open-addressing hash table from (host, path prefix) to rules by method.
///
/// A lookup hashes each segment of the path once and then probes from the
/// longest prefix to the shortest, so that its cost depends on the depth of
/// the path and not on the number of routes. All prefixes share one string, and
/// each (service, class) target is stored once.
///
/// Invariant: at least half of the entries of `buckets` are 0, so that every
/// probe sequence terminates.
#[derive(Debug)]
pub(super) struct Table {
    hosts: HashMap<Box<str>, Host>,
    any: Host,
    method_ids: HashMap<Box<str>, u32>,
    /// Position in `nodes` plus one, or 0.
    buckets: Box<[u32]>,
    nodes: Box<[Node]>,
    prefixes: Box<str>,
    /// Method and position in `targets`, sorted by method within a node.
    methods: Box<[(u32, u32)]>,
    targets: Box<[Route]>,
}

impl Table {
    /// Builds the table. Rules must be distinct and prefixes valid.
    pub(super) fn new<'a>(rules: impl Iterator<Item = Rule<'a>>) -> Self {
        let mut any = Host { id: 0, depth: 0 };
        let mut hosts = HashMap::<Box<str>, Host>::new();
        let mut method_ids = HashMap::<Box<str>, u32>::new();
        let mut target_ids = HashMap::<Route, u32>::new();
        let mut targets = Vec::new();
        let mut entries = Vec::<(u32, &str, u32, u32)>::new();
        for rule in rules {
            let next = hosts.len() as u32 + 1;
            let host = match rule.host {
                None => &mut any,
                Some(name) => hosts
                    .entry(Box::from(name))
                    .or_insert(Host { id: next, depth: 0 }),
            };
            let prefix = if rule.prefix == "/" { "" } else { rule.prefix };
            host.depth = host.depth.max(prefix.matches('/').count());
            let target = *target_ids.entry(rule.route).or_insert_with(|| {
                targets.push(rule.route);
                targets.len() as u32 - 1
            });
            if rule.methods.is_empty() {
                entries.push((host.id, prefix, ANY_METHOD, target));
            }
            for method in rule.methods {
                let next = method_ids.len() as u32;
                let method = *method_ids.entry(Box::from(&**method)).or_insert(next);
                entries.push((host.id, prefix, method, target));
            }
        }
        entries.sort_unstable();

        let mut nodes = Vec::<Node>::new();
        let mut prefixes = String::new();
        let mut methods = Vec::with_capacity(entries.len());
        for (host, prefix, method, target) in entries {
            let same = nodes.last().is_some_and(|node| {
                node.host == host && &prefixes[node.start as usize..node.end as usize] == prefix
            });
            if !same {
                let start = prefixes.len() as u32;
                prefixes.push_str(prefix);
                nodes.push(Node {
                    host,
                    start,
                    end: prefixes.len() as u32,
                    first: methods.len() as u32,
                    last: methods.len() as u32,
                });
            }
            methods.push((method, target));
            if let Some(node) = nodes.last_mut() {
                node.last = methods.len() as u32;
            }
        }

        let mut buckets = vec![0; (nodes.len() * 2).next_power_of_two().max(2)];
        let mask = buckets.len() - 1;
        for (position, node) in nodes.iter().enumerate() {
            let prefix = &prefixes[node.start as usize..node.end as usize];
            let hash = boundaries(node.host, prefix, usize::MAX)
                .last()
                .map_or(0, |boundary| boundary.0);
            let mut bucket = hash as usize & mask;
            while buckets[bucket] != 0 {
                bucket = (bucket + 1) & mask;
            }
            buckets[bucket] = position as u32 + 1;
        }
        Self {
            hosts,
            any,
            method_ids,
            buckets: buckets.into_boxed_slice(),
            nodes: nodes.into_boxed_slice(),
            prefixes: prefixes.into_boxed_str(),
            methods: methods.into_boxed_slice(),
            targets: targets.into_boxed_slice(),
        }
    }

    /// Returns the target of a request, if any rule matches. The query after `?`
    /// is not part of the path.
    pub(super) fn find(&self, host: Option<&str>, method: &str, path: &str) -> Option<&Route> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        if !path.starts_with('/') {
            return None;
        }
        let method = self.method_ids.get(method).copied();
        let specific = host.and_then(|host| self.host(host));
        specific
            .into_iter()
            .chain([self.any])
            .find_map(|host| self.longest(host, method, path))
    }

    fn host(&self, name: &str) -> Option<Host> {
        if self.hosts.is_empty() {
            return None;
        }
        let name = without_port(name);
        if !name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            return self.hosts.get(name).copied();
        }
        self.hosts.get(&*name.to_ascii_lowercase()).copied()
    }

    /// Returns the target of the longest matching prefix that has the method.
    fn longest(&self, host: Host, method: Option<u32>, path: &str) -> Option<&Route> {
        boundaries(host.id, path, host.depth)
            .iter()
            .rev()
            .find_map(|&(hash, end)| {
                let node = self.node(hash, host.id, &path[..end])?;
                let methods = &self.methods[node.first as usize..node.last as usize];
                let exact = method.and_then(|method| {
                    let position = methods.binary_search_by_key(&method, |entry| entry.0);
                    position.ok().map(|position| methods[position].1)
                });
                let any = || {
                    let last = methods.last();
                    last.filter(|entry| entry.0 == ANY_METHOD)
                        .map(|entry| entry.1)
                };
                Some(&self.targets[exact.or_else(any)? as usize])
            })
    }

    fn node(&self, hash: u64, host: u32, prefix: &str) -> Option<&Node> {
        let mask = self.buckets.len() - 1;
        let mut bucket = hash as usize & mask;
        loop {
            let position = self.buckets[bucket].checked_sub(1)?;
            let node = &self.nodes[position as usize];
            if node.host == host && &self.prefixes[node.start as usize..node.end as usize] == prefix
            {
                return Some(node);
            }
            bucket = (bucket + 1) & mask;
        }
    }
}

/// Returns the hash and the end of each prefix of a path that ends on a
/// segment boundary, shortest first, with at most `depth` segments.
fn boundaries(host: u32, path: &str, depth: usize) -> SmallVec<[(u64, usize); 16]> {
    let mut hash = u64::from(host);
    let mut end = 0;
    let mut boundaries = SmallVec::from_slice(&[(hash, end)]);
    for segment in path.split('/').skip(1).take(depth) {
        hash = xxh3::xxh3_64_with_seed(segment.as_bytes(), hash);
        end += 1 + segment.len();
        boundaries.push((hash, end));
    }
    boundaries
}

/// Removes the port from the value of a `Host` header, and the final dot of an
/// absolute domain name.
fn without_port(host: &str) -> &str {
    let name = if host.starts_with('[') {
        host.find(']').map_or(host, |end| &host[..=end])
    } else {
        host.split_once(':').map_or(host, |(name, _)| name)
    };
    name.strip_suffix('.').unwrap_or(name)
}
