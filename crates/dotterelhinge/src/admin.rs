//! The admin port: for operators and for the platform's balancer.
//!
//! | path | answer |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 if new callers should be sent here, otherwise 503 with the reason |
//! | `GET /status` | version in force, members, duties, counters |
//! | `GET /upstreams` | state of each upstream that this daemon coordinates |
//! | `GET /latency` | histograms by class and by customer, in microseconds |
//! | `POST /drain` | begins a planned stop |

use std::sync::{Arc, atomic::Ordering};

use actix::Addr;
use actix_web::{HttpResponse, web};
use hdrhistogram::{
    Histogram,
    serialization::{Serializer, V2Serializer},
};
use serde_json::{Value, json};

use crate::{context, coordinator};

/// State of the admin server.
#[derive(Clone)]
pub(crate) struct Server {
    /// Shared state of the daemon.
    pub context: Arc<context::Context>,
    /// The coordinators on this daemon.
    pub coordinator: Addr<coordinator::Actor>,
    /// Wakes the planned stop.
    pub shutdown: Arc<tokio::sync::Notify>,
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(server: web::Data<Server>) -> HttpResponse {
    let context = &server.context;
    let reason = if context.is_stopping() {
        "stopping"
    } else if context.in_force.load().is_none() {
        "no text in force"
    } else if context.is_version_check_due() {
        "version not compared since a pause"
    } else {
        return HttpResponse::Ok().body("ready\n");
    };
    HttpResponse::ServiceUnavailable().body(format!("{reason}\n"))
}

async fn status(server: web::Data<Server>) -> HttpResponse {
    let context = &server.context;
    let in_force = context.in_force.load_full();
    let members = context.members.load_full();
    let counters = &context.metrics.counters;
    let coordinates: Vec<Arc<str>> = in_force.as_ref().map_or_else(Vec::new, |in_force| {
        in_force
            .snapshot
            .services
            .iter()
            .filter(|service| {
                members
                    .coordinator(&service.name)
                    .is_some_and(|member| member.host == context.settings.host)
            })
            .map(|service| Arc::clone(&service.name))
            .collect()
    });
    HttpResponse::Ok().json(json!({
        "host": context.settings.host,
        "incarnation": context.incarnation,
        "availability_zone": context.settings.availability_zone,
        "version": in_force.as_ref().map(|in_force| in_force.version),
        "hash": in_force.as_ref().map(|in_force| Arc::clone(in_force.document.hash())),
        "ready": context.is_ready(),
        "stopping": context.is_stopping(),
        "coordinator_of": coordinates,
        "members": members.members().len(),
        "counters": {
            "requests": counters.requests.load(Ordering::Relaxed),
            "attempts": counters.attempts.load(Ordering::Relaxed),
            "fallbacks": counters.fallbacks.load(Ordering::Relaxed),
            "control_bytes_sent": counters.control_bytes_sent.load(Ordering::Relaxed),
            "control_bytes_received": counters.control_bytes_received.load(Ordering::Relaxed),
        },
    }))
}

async fn upstreams(server: web::Data<Server>) -> HttpResponse {
    match server.coordinator.send(coordinator::Inspect).await {
        Ok(rows) => HttpResponse::Ok().json(rows),
        Err(error) => HttpResponse::ServiceUnavailable().body(error.to_string()),
    }
}

fn row(name: &Arc<str>, histogram: &Histogram<u64>) -> Value {
    let mut bytes = Vec::new();
    // Writing to a vector does not fail.
    let _ = V2Serializer::new().serialize(histogram, &mut bytes);
    json!({
        "name": name,
        "count": histogram.len(),
        "p50_us": histogram.value_at_quantile(0.5),
        "p99_us": histogram.value_at_quantile(0.99),
        "p999_us": histogram.value_at_quantile(0.999),
        "max_us": histogram.max(),
        "histogram": base64::Engine::encode(&base64::engine::general_purpose::STANDARD, bytes),
    })
}

async fn latency(server: web::Data<Server>) -> HttpResponse {
    let [classes, customers] = server.context.metrics.histograms();
    let rows = |list: Vec<(Arc<str>, Histogram<u64>)>| -> Vec<Value> {
        list.iter().map(|(name, h)| row(name, h)).collect()
    };
    HttpResponse::Ok().json(json!({
        "by_class": rows(classes),
        "by_customer": rows(customers),
    }))
}

async fn drain(server: web::Data<Server>) -> HttpResponse {
    server.shutdown.notify_one();
    HttpResponse::Accepted().json(json!({"draining": true}))
}

/// Adds the paths of the admin port.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready))
        .route("/status", web::get().to(status))
        .route("/upstreams", web::get().to(upstreams))
        .route("/latency", web::get().to(latency))
        .route("/drain", web::post().to(drain));
}
