//! Answers of the daemons' admin port, and a client that asks many daemons.

use std::{net::SocketAddr, time::Duration};

use futures_util::stream::{self, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Daemons that are asked at the same time.
const PARALLEL: usize = 64;

/// Wait for one answer. A daemon that needs longer is reported as unreachable.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer; `/upstreams` has about 200 bytes for each upstream and
/// class.
const ANSWER_BYTES: usize = 64 << 20;

/// Response of `GET /status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Version of the text in force; `null` before the first one.
    pub version: Option<u64>,
    /// Hash of the text in force.
    pub hash: Option<String>,
    /// Whether the daemon takes requests.
    pub ready: bool,
    /// Services that it coordinates.
    pub coordinator_of: Vec<String>,
    /// Live daemons that it knows, itself included.
    pub members: u64,
}

/// An item of the response of `GET /upstreams`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Upstream {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the request class; `null` for the whole upstream.
    pub class: Option<String>,
    /// Health state.
    pub state: String,
    /// Slots that may be granted.
    pub slots: u32,
    /// Slots granted.
    pub in_use: u32,
    /// Detection statistic as a share of the value at which the upstream is
    /// ejected, if the daemon reports it.
    pub suspicion: Option<f64>,
    /// Time from which an attempt counts as overdue, in milliseconds.
    pub slow_after_ms: Option<u64>,
    /// Term of the coordinator.
    pub term: Option<u64>,
    /// Time in this state, in milliseconds, if the daemon reports it.
    pub since_ms: Option<u64>,
    /// Why it is in this state, if the daemon reports it.
    pub reason: Option<String>,
}

/// One latency distribution of the response of `GET /latency`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Series {
    /// Name of the class or customer.
    pub name: String,
    /// Number of requests.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Largest value, in microseconds.
    pub max_us: u64,
    /// Histogram of microseconds, HdrHistogram V2 in Base64.
    pub histogram: String,
}

/// Response of `GET /latency`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Latency {
    /// Requests by class.
    pub by_class: Vec<Series>,
    /// Requests by customer.
    pub by_customer: Vec<Series>,
}

/// Asks daemons at their admin addresses.
pub(super) struct Client {
    pub(super) addresses: Vec<SocketAddr>,
}

/// Response of one daemon, or why there is none.
pub(super) type Reply<T> = (SocketAddr, Result<T, String>);

impl Client {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// Asks all daemons, and returns their answers in the order of addresses.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Vec<Reply<T>> {
        let client = http();
        stream::iter(&self.addresses)
            .map(|&address| {
                let request = client.get(format!("http://{address}{path}"));
                async move { (address, answer(request).await) }
            })
            .buffered(PARALLEL)
            .collect()
            .await
    }

    /// Sends an empty `POST` to one daemon.
    pub(super) async fn post(&self, address: SocketAddr, path: &str) -> Result<(), String> {
        send(http().post(format!("http://{address}{path}")))
            .await
            .map(|_| ())
    }
}

fn http() -> awc::Client {
    awc::Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish()
}

async fn answer<T: DeserializeOwned>(request: awc::ClientRequest) -> Result<T, String> {
    let body = send(request).await?;
    serde_json::from_slice(&body).map_err(|error| format!("unexpected answer: {error}"))
}

async fn send(request: awc::ClientRequest) -> Result<bytes::Bytes, String> {
    let exchange = async {
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("answered {}", response.status()));
        }
        response
            .body()
            .limit(ANSWER_BYTES)
            .await
            .map_err(|error| error.to_string())
    };
    // The timeout of the client ends with the head of the response.
    tokio::time::timeout(TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {} s", TIMEOUT.as_secs())))
}
