//! Cross-field rules of a document that satisfies the schema.

use std::{
    collections::{HashMap, hash_map},
    hash::Hash,
    net::SocketAddr,
};

use crate::border;

use super::Fault;

/// Returns all violations of cross-field rules.
pub(super) fn check(document: &border::text::Text) -> Vec<Fault> {
    let mut faults = Vec::new();
    let zones = names(
        &mut faults,
        "/availability_zones",
        document.availability_zones.iter().map(|zone| &*zone.name),
    );
    names(
        &mut faults,
        "/customers",
        document.customers.iter().map(|customer| &*customer.name),
    );
    let classes = names(
        &mut faults,
        "/classes",
        document.classes.iter().map(|class| &*class.name),
    );
    let services = names(
        &mut faults,
        "/services",
        document.services.iter().map(|service| &*service.name),
    );
    upstreams(&mut faults, document, &zones);
    dependencies(&mut faults, document, &services);
    routes(&mut faults, document, &services, &classes);
    faults
}

/// Parses an IP address and port that can be connected to; `None` for port 0
/// and for an unspecified address.
pub(crate) fn address(text: &str) -> Option<SocketAddr> {
    text.parse::<SocketAddr>()
        .ok()
        .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
}

/// Records the position of the first use of a key and adds a fault for each
/// later use. Paths are formatted for faults only, since a document can have
/// 100,000 keys.
fn unique<K: Eq + Hash, P: Copy>(
    seen: &mut HashMap<K, P>,
    faults: &mut Vec<Fault>,
    key: K,
    position: P,
    path: impl Fn(P) -> String,
    value: impl FnOnce() -> String,
    what: &str,
) {
    match seen.entry(key) {
        hash_map::Entry::Occupied(first) => faults.push(Fault::with_description(
            path(position),
            value(),
            format!("unique {what}; also at {}", path(*first.get())),
        )),
        hash_map::Entry::Vacant(entry) => {
            entry.insert(position);
        }
    }
}

/// Checks that names are unique and returns their positions.
fn names<'a>(
    faults: &mut Vec<Fault>,
    path: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
) -> HashMap<&'a str, usize> {
    let mut seen = HashMap::with_capacity(names.len());
    for (index, name) in names.enumerate() {
        let path = |index| format!("{path}/{index}/name");
        unique(&mut seen, faults, name, index, path, || quote(name), "name");
    }
    seen
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Adds a fault unless `name` is declared.
fn known(
    faults: &mut Vec<Fault>,
    names: &HashMap<&str, usize>,
    path: impl FnOnce() -> String,
    name: &str,
    what: &str,
) {
    if !names.contains_key(name) {
        faults.push(Fault::with_description(
            path(),
            quote(name),
            format!("name of {what}"),
        ));
    }
}

fn upstreams(faults: &mut Vec<Fault>, document: &border::text::Text, zones: &HashMap<&str, usize>) {
    let mut addresses = HashMap::new();
    let address_path = |(service, upstream): (usize, usize)| {
        format!("/services/{service}/upstreams/{upstream}/address")
    };
    for (number, service) in document.services.iter().enumerate() {
        let base = format!("/services/{number}");
        if service.floor as usize > service.upstreams.len() {
            faults.push(Fault::with_description(
                format!("{base}/floor"),
                service.floor,
                format!(
                    "at most the number of upstreams, {}",
                    service.upstreams.len()
                ),
            ));
        }
        names(
            faults,
            &format!("{base}/upstreams"),
            service.upstreams.iter().map(|upstream| &*upstream.name),
        );
        for (index, upstream) in service.upstreams.iter().enumerate() {
            known(
                faults,
                zones,
                || format!("{base}/upstreams/{index}/availability_zone"),
                &upstream.availability_zone,
                "an availability zone",
            );
            match address(&upstream.address) {
                // If two services had one address, each would grant all of its
                // slots.
                Some(address) => unique(
                    &mut addresses,
                    faults,
                    address,
                    (number, index),
                    address_path,
                    || quote(&upstream.address),
                    "address",
                ),
                None => faults.push(Fault::with_description(
                    address_path((number, index)),
                    quote(&upstream.address),
                    "IP address and port to connect to",
                )),
            }
        }
    }
}

/// Checks that dependencies exist and form no cycle. Each cycle is reported at
/// the dependency that closes it.
fn dependencies(
    faults: &mut Vec<Fault>,
    document: &border::text::Text,
    services: &HashMap<&str, usize>,
) {
    for (index, service) in document.services.iter().enumerate() {
        for (position, name) in service.depends_on.iter().enumerate() {
            let path = || format!("/services/{index}/depends_on/{position}");
            known(faults, services, path, name, "a service");
        }
    }

    #[derive(Clone, Copy, PartialEq)]
    enum Visit {
        Unvisited,
        OnPath,
        Finished,
    }
    let mut visits = vec![Visit::Unvisited; document.services.len()];
    for start in 0..document.services.len() {
        if visits[start] != Visit::Unvisited {
            continue;
        }
        visits[start] = Visit::OnPath;
        // Depth-first search. Each entry is a service on the current path and
        // the position of its next dependency.
        let mut chain = vec![(start, 0)];
        while let Some((service, position)) = chain.last_mut() {
            let service = *service;
            let Some(name) = document.services[service].depends_on.get(*position) else {
                visits[service] = Visit::Finished;
                chain.pop();
                continue;
            };
            let position = std::mem::replace(position, *position + 1);
            let Some(&next) = services.get(&**name) else {
                continue;
            };
            match visits[next] {
                Visit::Unvisited => {
                    visits[next] = Visit::OnPath;
                    chain.push((next, 0));
                }
                Visit::OnPath => {
                    let cycle = chain
                        .iter()
                        .skip_while(|(service, _)| *service != next)
                        .map(|(service, _)| &*document.services[*service].name)
                        .chain([&**name])
                        .collect::<Vec<_>>();
                    faults.push(Fault::with_description(
                        format!("/services/{service}/depends_on/{position}"),
                        quote(name),
                        format!("no dependency cycle: {}", cycle.join(" -> ")),
                    ));
                }
                Visit::Finished => {}
            }
        }
    }
}

fn routes(
    faults: &mut Vec<Fault>,
    document: &border::text::Text,
    services: &HashMap<&str, usize>,
    classes: &HashMap<&str, usize>,
) {
    let mut seen = HashMap::with_capacity(document.routes.len());
    let path = |(route, method): (usize, Option<usize>)| match method {
        Some(method) => format!("/routes/{route}/methods/{method}"),
        None => format!("/routes/{route}"),
    };
    for (index, route) in document.routes.iter().enumerate() {
        let service = || format!("/routes/{index}/service");
        known(faults, services, service, &route.service, "a service");
        let class = || format!("/routes/{index}/class");
        known(faults, classes, class, &route.class, "a class");

        let host = route.host.as_deref();
        let prefix = &*route.path_prefix;
        let value = |method: &str| {
            let host = host.unwrap_or("any host");
            format!("{method} {host} {prefix}")
        };
        if route.methods.is_empty() {
            let key = (host, prefix, "");
            unique(
                &mut seen,
                faults,
                key,
                (index, None),
                path,
                || value("any method"),
                "route",
            );
            continue;
        }
        for (position, method) in route.methods.iter().enumerate() {
            let key = (host, prefix, &**method);
            let place = (index, Some(position));
            unique(
                &mut seen,
                faults,
                key,
                place,
                path,
                || value(method),
                "route",
            );
        }
    }
}
