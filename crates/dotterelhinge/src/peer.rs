//! Client and server of the messages between daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use actix::Addr;
use actix_web::{HttpResponse, web};
use error_stack::{Report, ResultExt};
use serde::{Serialize, de::DeserializeOwned};

use dotterelhinge_policy::{
    configuration as configuration_policy, idempotency as idempotency_policy,
};

use crate::{configuration, context, coordinator, idempotency, membership, metrics, wire};

/// Maximum size of a message. A complete configuration at the target size is
/// well below it.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Bytes that the traffic counters add for the head of a request or answer, not
/// including the path and the address.
const HEAD_BYTES: u64 = 96;

/// Reason that a message failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// No connection could be opened, so that nothing was delivered.
    #[error("the peer can't be reached")]
    Unreachable,
    /// No answer arrived in time; the message may have been delivered.
    #[error("the peer did not answer in time")]
    Silent,
    /// The message can't be encoded, or its answer has an error status or can't be
    /// decoded.
    #[error("the peer's answer is not valid")]
    Invalid,
}

/// Sends messages to other daemons from the thread that created it.
#[derive(Clone)]
pub(crate) struct Client {
    http: awc::Client,
    context: Arc<context::Context>,
}

impl Client {
    /// Creates a client with its own connections.
    pub(crate) fn new(context: Arc<context::Context>) -> Self {
        let connector = awc::Connector::new()
            .limit(0)
            .timeout(Duration::from_millis(500))
            .conn_keep_alive(Duration::from_secs(15));
        Self {
            http: awc::Client::builder()
                .connector(connector)
                .disable_redirects()
                .disable_timeout()
                .no_default_headers()
                .finish(),
            context,
        }
    }

    /// Sends `message` and returns the answer, which must arrive within `timeout`.
    pub(crate) async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        timeout: Duration,
    ) -> Result<A, Report<Error>> {
        let body = rmp_serde::to_vec(message).change_context(Error::Invalid)?;
        let counters = &self.context.metrics.counters;
        metrics::Registry::add(
            &counters.control_bytes_sent,
            body.len() as u64 + HEAD_BYTES + path.len() as u64,
        );
        let exchange = async {
            let mut answer = self
                .http
                .post(format!("http://{address}{path}"))
                .content_type(wire::CONTENT_TYPE)
                .send_body(body)
                .await
                .map_err(|error| {
                    let kind = match &error {
                        awc::error::SendRequestError::Connect(
                            awc::error::ConnectError::Disconnected,
                        ) => Error::Silent,
                        awc::error::SendRequestError::Connect(_) => Error::Unreachable,
                        _ => Error::Silent,
                    };
                    Report::new(kind).attach(error.to_string())
                })?;
            if !answer.status().is_success() {
                return Err(Report::new(Error::Invalid).attach(answer.status().to_string()));
            }
            answer
                .body()
                .limit(MAX_MESSAGE_BYTES)
                .await
                .change_context(Error::Silent)
        };
        let bytes = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Report::new(Error::Silent))??;
        metrics::Registry::add(
            &counters.control_bytes_received,
            bytes.len() as u64 + HEAD_BYTES,
        );
        rmp_serde::from_slice(&bytes).change_context(Error::Invalid)
    }
}

fn decode<M: DeserializeOwned>(
    context: &context::Context,
    body: &[u8],
) -> Result<M, actix_web::Error> {
    metrics::Registry::add(
        &context.metrics.counters.control_bytes_received,
        body.len() as u64 + HEAD_BYTES,
    );
    rmp_serde::from_slice(body).map_err(actix_web::error::ErrorBadRequest)
}

fn encode<A: Serialize>(context: &context::Context, answer: &A) -> HttpResponse {
    match rmp_serde::to_vec(answer) {
        Ok(body) => {
            metrics::Registry::add(
                &context.metrics.counters.control_bytes_sent,
                body.len() as u64 + HEAD_BYTES,
            );
            HttpResponse::Ok()
                .content_type(wire::CONTENT_TYPE)
                .body(body)
        }
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// State of the server on the peer port.
#[derive(Clone)]
pub(crate) struct Server {
    /// State shared by the threads of the daemon.
    pub context: Arc<context::Context>,
    /// The coordinators on this daemon.
    pub(crate) coordinator: Addr<coordinator::Actor>,
    /// The failure detector.
    pub(crate) membership: Addr<membership::Actor>,
    /// The key ranges of this daemon.
    pub(crate) idempotency: Addr<idempotency::Actor>,
    /// The configuration in force and its dissemination.
    pub(crate) configuration: Addr<configuration::Actor>,
}

async fn acquire(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message: wire::Acquire = decode(&server.context, &body)?;
    let answer = server
        .coordinator
        .send(coordinator::Acquire(message))
        .await
        .unwrap_or(wire::Answer::NotCoordinator);
    Ok(encode(&server.context, &answer))
}

async fn wait(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message: wire::Await = decode(&server.context, &body)?;
    let answer = server
        .coordinator
        .send(coordinator::Await(message))
        .await
        .unwrap_or(wire::Answer::NotCoordinator);
    Ok(encode(&server.context, &answer))
}

async fn report(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message: wire::Report = decode(&server.context, &body)?;
    let receipt = server
        .coordinator
        .send(coordinator::Report(message))
        .await
        .unwrap_or_default();
    Ok(encode(&server.context, &receipt))
}

async fn membership(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message = decode(&server.context, &body)?;
    let answer = server.membership.send(membership::Request(message)).await;
    match answer {
        Ok(Some(answer)) => Ok(encode(&server.context, &answer)),
        _ => Ok(HttpResponse::ServiceUnavailable().finish()),
    }
}

fn version(in_force: &context::Configuration) -> configuration_policy::Version {
    configuration_policy::Version {
        number: in_force.version,
        hash: Arc::clone(in_force.document.hash()),
    }
}

async fn get_version(server: web::Data<Server>) -> HttpResponse {
    let in_force = server.context.in_force.load_full();
    encode(&server.context, &in_force.as_deref().map(version))
}

async fn get_document(server: web::Data<Server>) -> HttpResponse {
    let in_force = server.context.in_force.load_full();
    let document = in_force.as_deref().map(|in_force| wire::Document {
        version: version(in_force),
        gzip: in_force.document.gzip().to_vec(),
    });
    encode(&server.context, &document)
}

async fn offer(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message = decode(&server.context, &body)?;
    server.configuration.do_send(configuration::Offer(message));
    Ok(encode(&server.context, &()))
}

async fn key_begin(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message = decode(&server.context, &body)?;
    let verdict = server
        .idempotency
        .send(idempotency::Begin(message))
        .await
        .unwrap_or(idempotency_policy::Verdict::Unfenced);
    Ok(encode(&server.context, &verdict))
}

async fn key_end(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message: idempotency::End = decode(&server.context, &body)?;
    match server.idempotency.send(message).await {
        Ok(ended) => Ok(encode(&server.context, &ended)),
        Err(_) => Ok(HttpResponse::ServiceUnavailable().finish()),
    }
}

async fn key_handover(
    server: web::Data<Server>,
    body: web::Bytes,
) -> Result<HttpResponse, actix_web::Error> {
    let message = decode(&server.context, &body)?;
    match server
        .idempotency
        .send(idempotency::Handover(message))
        .await
    {
        Ok(incarnation) => Ok(encode(&server.context, &incarnation)),
        Err(_) => Ok(HttpResponse::ServiceUnavailable().finish()),
    }
}

/// Adds the routes of the peer port.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_MESSAGE_BYTES))
        .route("/peer/v1/acquire", web::post().to(acquire))
        .route("/peer/v1/await", web::post().to(wait))
        .route("/peer/v1/membership", web::post().to(membership))
        .route("/peer/v1/version", web::post().to(get_version))
        .route("/peer/v1/text", web::post().to(get_document))
        .route("/peer/v1/offer", web::post().to(offer))
        .route("/peer/v1/key-begin", web::post().to(key_begin))
        .route("/peer/v1/key-end", web::post().to(key_end))
        .route("/peer/v1/key-handover", web::post().to(key_handover))
        .route("/peer/v1/report", web::post().to(report));
}
