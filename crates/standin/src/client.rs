//! Blocking HTTP client for control calls in tests and tools.

use std::io::{Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

use bytes::BytesMut;
use error_stack::{Report, ResultExt};

use crate::http::head;

/// Longest wait for one read or write.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A call that got no complete answer.
#[derive(Debug, thiserror::Error)]
#[error("no complete answer to {method} {path} from {address}")]
pub struct Error {
    method: String,
    path: String,
    address: String,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: head::Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// `GET` of a path.
pub fn get(address: &str, path: &str) -> Result<Answer, Report<Error>> {
    request(address, "GET", path, &[], b"", TIMEOUT)
}

/// `POST` of a JSON body.
pub fn post(address: &str, path: &str, body: &serde_json::Value) -> Result<Answer, Report<Error>> {
    request(
        address,
        "POST",
        path,
        &[("content-type", "application/json")],
        body.to_string().as_bytes(),
        TIMEOUT,
    )
}

/// One request on a connection of its own.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, Report<Error>> {
    exchange(address, method, path, headers, body, timeout).change_context_lazy(|| Error {
        method: method.to_owned(),
        path: path.to_owned(),
        address: address.to_owned(),
    })
}

#[derive(Debug, thiserror::Error)]
enum Cause {
    #[error("address does not resolve")]
    Address,
    #[error("connection failed")]
    Connection,
    #[error("answer is malformed")]
    Malformed,
    #[error("connection ended before the answer was complete")]
    Truncated,
}

fn exchange(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, Report<Cause>> {
    let resolved = address
        .to_socket_addrs()
        .change_context(Cause::Address)?
        .next()
        .ok_or(Cause::Address)?;
    let mut stream =
        TcpStream::connect_timeout(&resolved, timeout).change_context(Cause::Connection)?;
    stream
        .set_read_timeout(Some(timeout))
        .and_then(|()| stream.set_write_timeout(Some(timeout)))
        .change_context(Cause::Connection)?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream
        .write_all(&message)
        .change_context(Cause::Connection)?;

    let mut buffer = BytesMut::new();
    let response = loop {
        match head::Response::take(&mut buffer).change_context(Cause::Malformed)? {
            Some(response) if response.status / 100 == 1 => {}
            Some(response) => break response,
            None if fill(&mut stream, &mut buffer)? == 0 => {
                return Err(Report::new(Cause::Truncated));
            }
            None => {}
        }
    };
    let mut decoder = response.body(method).change_context(Cause::Malformed)?;
    let mut whole = Vec::new();
    while !decoder.is_done() {
        match decoder.take(&mut buffer).change_context(Cause::Malformed)? {
            Some(part) => whole.extend_from_slice(&part),
            None if decoder.is_done() => {}
            None if fill(&mut stream, &mut buffer)? == 0 => {
                if decoder.is_complete_at_close() {
                    break;
                }
                return Err(Report::new(Cause::Truncated));
            }
            None => {}
        }
    }
    Ok(Answer {
        status: response.status,
        headers: response.headers,
        body: whole,
    })
}

fn fill(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<usize, Report<Cause>> {
    let mut chunk = [0; 16 * 1024];
    let read = stream.read(&mut chunk).change_context(Cause::Connection)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read)
}
