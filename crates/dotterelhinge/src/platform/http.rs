//! [`Store`] over HTTP/1.1.

use std::time::Duration;

use actix_web::http::{StatusCode, header};
use bytes::Bytes;
use error_stack::Report;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Condition, Current, Error, Host, Kind, Result, Row, Store, Write};

/// Limits of a single call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Timeout of a call to the table or the host list.
    #[serde(rename = "call")]
    pub call_timeout: Duration,
    /// Timeout of reading or writing an object.
    #[serde(rename = "object")]
    pub object_timeout: Duration,
    /// Maximum size of a response other than an object, in bytes.
    #[serde(rename = "response_bytes")]
    pub max_response_bytes: usize,
    /// Maximum size of an object that is read, in bytes.
    #[serde(rename = "object_bytes")]
    pub max_object_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            object_timeout: Duration::from_secs(10),
            max_response_bytes: 8 << 20,
            max_object_bytes: 64 << 20,
        }
    }
}

/// HTTP client of the platform at a base URL.
pub struct Http {
    client: awc::Client,
    base: String,
    limits: Limits,
}

#[derive(Serialize)]
struct Transaction<'a> {
    conditions: &'a [Condition],
    writes: &'a [Write],
}

#[derive(Deserialize)]
struct Conflict {
    current: Vec<Current>,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

/// Status and complete body of a response.
struct Response {
    status: StatusCode,
    body: Bytes,
}

impl Http {
    /// Creates a client for the platform at `base`, such as
    /// `http://127.0.0.1:8000`. The client can be used only on the thread that
    /// creates it.
    pub fn new(base: &str, limits: Limits) -> Self {
        Self {
            client: awc::Client::builder()
                .timeout(limits.call_timeout.max(limits.object_timeout))
                .disable_redirects()
                .finish(),
            base: base.trim_end_matches('/').to_owned(),
            limits,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Returns the URL of an object. Names are restricted to path segments that
    /// need no escaping and do not start with `.`, so that no name leads to
    /// another path of the platform.
    fn object_url(&self, name: &str) -> Result<String> {
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let is_valid = name
            .split('/')
            .all(|part| !part.is_empty() && !part.starts_with('.') && part.bytes().all(is_plain));
        if is_valid {
            Ok(self.url(&format!("/v1/objects/{name}")))
        } else {
            let message = format!(
                "invalid object name {name:?}: empty segment, leading dot or character that is not allowed"
            );
            Err(Report::new(Error::new(Kind::Invalid, message)))
        }
    }

    /// Sends a request and reads the complete response, of at most `max_bytes`,
    /// within `timeout`.
    async fn send(
        &self,
        request: awc::ClientRequest,
        body: impl Into<Bytes>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Response> {
        let call = format!("{} {}", request.get_method(), request.get_uri());
        let unavailable =
            |cause: String| Report::new(Error::new(Kind::Unavailable, format!("{call}: {cause}")));
        let exchange = async {
            let mut response = request
                .send_body(body.into())
                .await
                .map_err(|error| unavailable(error.to_string()))?;
            let body = response
                .body()
                .limit(max_bytes)
                .await
                .map_err(|error| unavailable(error.to_string()))?;
            Ok::<_, Report<Error>>(Response {
                status: response.status(),
                body,
            })
        };
        let response = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| {
                unavailable(format!(
                    "no complete response within {} ms",
                    timeout.as_millis()
                ))
            })??;
        let kind = match response.status {
            StatusCode::TOO_MANY_REQUESTS => Kind::RateLimited,
            status if status.is_success() => return Ok(response),
            // What these two statuses mean depends on the call.
            StatusCode::NOT_FOUND | StatusCode::CONFLICT => return Ok(response),
            status if status.is_client_error() => Kind::Invalid,
            _ => Kind::Unavailable,
        };
        let message = format!("{call}: status {}", response.status);
        Err(Report::new(Error::new(kind, message)))
    }

    async fn call(&self, request: awc::ClientRequest, body: impl Into<Bytes>) -> Result<Response> {
        self.send(
            request,
            body,
            self.limits.call_timeout,
            self.limits.max_response_bytes,
        )
        .await
    }
}

/// Decodes the body of a response. A body that cannot be decoded shows nothing
/// about the effect of the call, so it counts as no response.
fn decode<T: DeserializeOwned>(call: &str, response: &Response) -> Result<T> {
    serde_json::from_slice(&response.body).map_err(|error| {
        let message = format!("{call}: response body cannot be decoded: {error}");
        Report::new(Error::new(Kind::Unavailable, message))
    })
}

/// Returns the error for a status that the interface does not define for this
/// call.
fn unexpected_status(call: &str, response: &Response) -> Report<Error> {
    let message = format!("{call}: unexpected status {}", response.status);
    Report::new(Error::new(Kind::Invalid, message))
}

impl Store for Http {
    fn transact<'a>(
        &'a self,
        conditions: &'a [Condition],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let body = serde_json::to_vec(&Transaction { conditions, writes })
                .map_err(|error| Report::new(Error::new(Kind::Invalid, error.to_string())))?;
            let request = self
                .client
                .post(self.url("/v1/table/transact"))
                .insert_header((header::CONTENT_TYPE, "application/json"));
            let response = self.call(request, body).await?;
            match response.status {
                StatusCode::OK => Ok(()),
                StatusCode::CONFLICT => {
                    let conflict: Conflict = decode("transact", &response)?;
                    Err(Report::new(Error::conflict(conflict.current)))
                }
                _ => Err(unexpected_status("transact", &response)),
            }
        }
        .boxed_local()
    }

    fn row<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<String>>> {
        async move {
            let request = self
                .client
                .get(self.url("/v1/table/row"))
                .query(&[("key", key)])
                .map_err(|error| Report::new(Error::new(Kind::Invalid, error.to_string())))?;
            let response = self.call(request, Bytes::new()).await?;
            match response.status {
                StatusCode::OK => Ok(Some(decode::<Row>("row", &response)?.value)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unexpected_status("row", &response)),
            }
        }
        .boxed_local()
    }

    fn rows<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>>> {
        async move {
            let limit = limit.to_string();
            let request = self
                .client
                .get(self.url("/v1/table/rows"))
                .query(&[("prefix", prefix), ("after", after), ("limit", &limit)])
                .map_err(|error| Report::new(Error::new(Kind::Invalid, error.to_string())))?;
            let response = self.call(request, Bytes::new()).await?;
            match response.status {
                StatusCode::OK => Ok(decode::<Rows>("rows", &response)?.rows),
                _ => Err(unexpected_status("rows", &response)),
            }
        }
        .boxed_local()
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let request = self.client.put(self.object_url(name)?);
            let limits = &self.limits;
            let response = self
                .send(
                    request,
                    body,
                    limits.object_timeout,
                    limits.max_response_bytes,
                )
                .await?;
            match response.status {
                status if status.is_success() => Ok(()),
                _ => Err(unexpected_status("object put", &response)),
            }
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move {
            let request = self.client.get(self.object_url(name)?);
            let limits = &self.limits;
            let response = self
                .send(
                    request,
                    Bytes::new(),
                    limits.object_timeout,
                    limits.max_object_bytes,
                )
                .await?;
            match response.status {
                StatusCode::OK => Ok(Some(response.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unexpected_status("object get", &response)),
            }
        }
        .boxed_local()
    }

    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>> {
        async move {
            let request = self.client.get(self.url("/v1/hosts"));
            let response = self.call(request, Bytes::new()).await?;
            match response.status {
                StatusCode::OK => Ok(decode::<Hosts>("hosts", &response)?.hosts),
                _ => Err(unexpected_status("hosts", &response)),
            }
        }
        .boxed_local()
    }
}
