//! Responses of the daemons' admin port, and a client for many daemons.

use std::{net::SocketAddr, time::Duration};

use futures_util::stream::{self, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum number of concurrent requests to daemons.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Time for a request and its complete response. A daemon that needs longer is
/// reported as unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body; `/upstreams` has about 200 bytes for each
/// upstream and class.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Response of `GET /status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Version of the configuration in force; `null` before the first one.
    pub version: Option<u64>,
    /// Hash of the configuration in force.
    pub hash: Option<String>,
    /// Whether the daemon accepts requests.
    pub ready: bool,
    /// Services that it coordinates.
    pub coordinator_of: Vec<String>,
    /// Number of live daemons in its member list, itself included.
    pub members: u64,
}

/// An item of the response of `GET /upstreams`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Upstream {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the request class; `null` for all classes.
    pub class: Option<String>,
    /// Health state.
    pub state: String,
    /// Slots that may be granted.
    pub slots: u32,
    /// Slots granted.
    pub in_use: u32,
    /// Detection statistic divided by the threshold for ejection, if the daemon
    /// reports it.
    pub suspicion: Option<f64>,
    /// Duration after which an attempt counts as overdue, in milliseconds.
    pub slow_after_ms: Option<u64>,
    /// Term of the coordinator.
    pub term: Option<u64>,
    /// Time since the upstream entered this state, in milliseconds, if the
    /// daemon reports it.
    pub since_ms: Option<u64>,
    /// Reason for the state, if the daemon reports it.
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
    /// Maximum, in microseconds.
    pub max_us: u64,
    /// Histogram of microseconds, HdrHistogram V2 in Base64.
    pub histogram: String,
}

/// Response of `GET /latency`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Latency {
    /// Distributions by class.
    pub by_class: Vec<Series>,
    /// Distributions by customer.
    pub by_customer: Vec<Series>,
}

/// HTTP client for the admin addresses of daemons.
pub(super) struct Client {
    pub(super) addresses: Vec<SocketAddr>,
}

/// Response of one daemon, or a description of the failure.
pub(super) type Reply<T> = (SocketAddr, Result<T, String>);

impl Client {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// Sends a `GET` to all daemons and returns their responses in the order of
    /// `addresses`.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Vec<Reply<T>> {
        let client = http();
        stream::iter(&self.addresses)
            .map(|&address| {
                let request = client.get(format!("http://{address}{path}"));
                async move { (address, fetch(request).await) }
            })
            .buffered(MAX_CONCURRENT_REQUESTS)
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
        .timeout(REQUEST_TIMEOUT)
        .disable_redirects()
        .finish()
}

async fn fetch<T: DeserializeOwned>(request: awc::ClientRequest) -> Result<T, String> {
    let body = send(request).await?;
    serde_json::from_slice(&body).map_err(|error| format!("unexpected response: {error}"))
}

async fn send(request: awc::ClientRequest) -> Result<bytes::Bytes, String> {
    let exchange = async {
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("responded with status {}", response.status()));
        }
        response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| error.to_string())
    };
    // The timeout of the client covers only the time until the response head.
    tokio::time::timeout(REQUEST_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| {
            Err(format!(
                "no complete response within {} s",
                REQUEST_TIMEOUT.as_secs()
            ))
        })
}
