//! The platform over HTTP/1.1.

use std::time::Duration;

use actix_web::http::{StatusCode, header};
use bytes::Bytes;
use error_stack::Report;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Condition, Current, Error, Host, Kind, Result, Row, Store, Write};

/// Limits of one call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Time for a call to the table or the host list.
    #[serde(rename = "call")]
    pub call_timeout: Duration,
    /// Time for reading or writing an object.
    #[serde(rename = "object")]
    pub object_timeout: Duration,
    /// Largest accepted response of the table or the host list.
    #[serde(rename = "response_bytes")]
    pub max_response_bytes: usize,
    /// Largest accepted object.
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

/// The platform at a base URL.
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
struct Refused {
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

/// Status and body of a response.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Http {
    /// A client for the platform at `base`, such as `http://127.0.0.1:8000`.
    /// It belongs to the thread that creates it.
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

    /// The URL of an object. Names are restricted to characters that need no
    /// escaping, so that no name can reach another path of the platform.
    fn object_url(&self, name: &str) -> Result<String> {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let valid = name
            .split('/')
            .all(|part| !part.is_empty() && !part.starts_with('.') && part.bytes().all(plain));
        if valid {
            Ok(self.url(&format!("/v1/objects/{name}")))
        } else {
            let message = format!("object name {name:?} has characters that are not allowed");
            Err(Report::new(Error::new(Kind::Invalid, message)))
        }
    }

    /// Sends a request and reads the whole response within `limit`.
    async fn answer(
        &self,
        request: awc::ClientRequest,
        body: impl Into<Bytes>,
        limit: Duration,
        bytes: usize,
    ) -> Result<Answer> {
        let what = format!("{} {}", request.get_method(), request.get_uri());
        let unavailable =
            |cause: String| Report::new(Error::new(Kind::Unavailable, format!("{what}: {cause}")));
        let exchange = async {
            let mut response = request
                .send_body(body.into())
                .await
                .map_err(|error| unavailable(error.to_string()))?;
            let body = response
                .body()
                .limit(bytes)
                .await
                .map_err(|error| unavailable(error.to_string()))?;
            Ok::<_, Report<Error>>(Answer {
                status: response.status(),
                body,
            })
        };
        let answer = tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| unavailable(format!("no answer within {} ms", limit.as_millis())))??;
        let kind = match answer.status {
            StatusCode::TOO_MANY_REQUESTS => Kind::RateLimited,
            status if status.is_success() => return Ok(answer),
            // Each call gives these two a meaning of its own.
            StatusCode::NOT_FOUND | StatusCode::CONFLICT => return Ok(answer),
            status if status.is_client_error() => Kind::Invalid,
            _ => Kind::Unavailable,
        };
        let message = format!("{what}: status {}", answer.status);
        Err(Report::new(Error::new(kind, message)))
    }

    async fn call(&self, request: awc::ClientRequest, body: impl Into<Bytes>) -> Result<Answer> {
        self.answer(
            request,
            body,
            self.limits.call_timeout,
            self.limits.max_response_bytes,
        )
        .await
    }
}

/// The value in a body. A body that cannot be read says nothing about the
/// effect of the call, so it counts as no answer.
fn parsed<T: DeserializeOwned>(what: &str, answer: &Answer) -> Result<T> {
    serde_json::from_slice(&answer.body).map_err(|error| {
        let message = format!("{what}: unreadable body: {error}");
        Report::new(Error::new(Kind::Unavailable, message))
    })
}

/// Refuses a status that the interface does not define for this call.
fn unexpected(what: &str, answer: &Answer) -> Report<Error> {
    let message = format!("{what}: unexpected status {}", answer.status);
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
            let answer = self.call(request, body).await?;
            match answer.status {
                StatusCode::OK => Ok(()),
                StatusCode::CONFLICT => {
                    let refused: Refused = parsed("transact", &answer)?;
                    Err(Report::new(Error::conflict(refused.current)))
                }
                _ => Err(unexpected("transact", &answer)),
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
            let answer = self.call(request, Bytes::new()).await?;
            match answer.status {
                StatusCode::OK => Ok(Some(parsed::<Row>("row", &answer)?.value)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unexpected("row", &answer)),
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
            let answer = self.call(request, Bytes::new()).await?;
            match answer.status {
                StatusCode::OK => Ok(parsed::<Rows>("rows", &answer)?.rows),
                _ => Err(unexpected("rows", &answer)),
            }
        }
        .boxed_local()
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            let request = self.client.put(self.object_url(name)?);
            let limits = &self.limits;
            let answer = self
                .answer(
                    request,
                    body,
                    limits.object_timeout,
                    limits.max_response_bytes,
                )
                .await?;
            match answer.status {
                status if status.is_success() => Ok(()),
                _ => Err(unexpected("object put", &answer)),
            }
        }
        .boxed_local()
    }

    fn get_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<Option<Bytes>>> {
        async move {
            let request = self.client.get(self.object_url(name)?);
            let limits = &self.limits;
            let answer = self
                .answer(
                    request,
                    Bytes::new(),
                    limits.object_timeout,
                    limits.max_object_bytes,
                )
                .await?;
            match answer.status {
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unexpected("object get", &answer)),
            }
        }
        .boxed_local()
    }

    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<Host>>> {
        async move {
            let request = self.client.get(self.url("/v1/hosts"));
            let answer = self.call(request, Bytes::new()).await?;
            match answer.status {
                StatusCode::OK => Ok(parsed::<Hosts>("hosts", &answer)?.hosts),
                _ => Err(unexpected("hosts", &answer)),
            }
        }
        .boxed_local()
    }
}
