//! Blocking HTTP client for control calls in tests and tools.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use error_stack::{Report, ResultExt};

use crate::http::head;

/// Default time-out for connecting and for each read and write.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A request that got no complete answer.
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
    /// Whether the connection may carry another request.
    pub keeps_alive: bool,
    /// Header fields.
    pub headers: head::Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// Sends a `GET` request on a new connection.
pub fn get(address: &str, path: &str) -> Result<Answer, Report<Error>> {
    request(address, "GET", path, &[], b"", TIMEOUT)
}

/// Sends a `POST` request with a JSON body on a new connection.
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

/// Sends one request on a new connection and waits for its complete answer.
/// `timeout` bounds the connect and each read and write.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, Report<Error>> {
    let mut headers = headers.to_vec();
    headers.push(("connection", "close"));
    Connection::open(address, timeout)
        .and_then(|mut connection| connection.send(method, path, &headers, body))
        .change_context_lazy(|| Error {
            method: method.to_owned(),
            path: path.to_owned(),
            address: address.to_owned(),
        })
}

/// Why no complete answer was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Cause {
    /// The address does not resolve.
    #[error("address does not resolve")]
    Address,
    /// The connection could not be opened.
    #[error("connection failed")]
    Connection,
    /// A read timed out.
    #[error("no answer in time")]
    Timeout,
    /// The answer is not valid HTTP.
    #[error("answer is malformed")]
    Malformed,
    /// The connection ended before the answer was complete.
    #[error("connection ended before the answer was complete")]
    Truncated,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    /// Whether the body is sent in two chunks, and its length not announced.
    pub is_chunked: bool,
    /// Pause in the middle of the body.
    pub pause: Duration,
}

/// A connection for several requests, one after the other.
#[derive(Debug)]
pub struct Connection {
    address: String,
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    /// Connects to `address`. `timeout` bounds the connect and each read and write.
    pub fn open(address: &str, timeout: Duration) -> Result<Self, Report<Cause>> {
        let resolved = address
            .to_socket_addrs()
            .change_context(Cause::Address)?
            .next()
            .ok_or(Cause::Address)?;
        let stream =
            TcpStream::connect_timeout(&resolved, timeout).change_context(Cause::Connection)?;
        stream
            .set_read_timeout(Some(timeout))
            .and_then(|()| stream.set_write_timeout(Some(timeout)))
            .change_context(Cause::Connection)?;
        Ok(Self {
            address: address.to_owned(),
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Sends a request and waits for its complete answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, Report<Cause>> {
        self.send_at(Pace::default(), method, path, headers, body)
    }

    /// Sends a request as `pace` tells and waits for its complete answer.
    pub fn send_at(
        &mut self,
        pace: Pace,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, Report<Cause>> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\n", self.address);
        if pace.is_chunked {
            head.push_str("transfer-encoding: chunked\r\n");
        } else {
            head.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.write(pace, head.into_bytes(), body)
            .change_context(Cause::Truncated)?;
        let response = loop {
            match head::Response::take(&mut self.buffer).change_context(Cause::Malformed)? {
                Some(response) if response.status / 100 == 1 => {}
                Some(response) => break response,
                None if self.fill()? == 0 => return Err(Report::new(Cause::Truncated)),
                None => {}
            }
        };
        let mut decoder = response.body(method).change_context(Cause::Malformed)?;
        let mut content = Vec::new();
        while !decoder.is_done() {
            match decoder
                .take(&mut self.buffer)
                .change_context(Cause::Malformed)?
            {
                Some(part) => content.extend_from_slice(&part),
                None if decoder.is_done() => {}
                None if self.fill()? == 0 => {
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
            keeps_alive: response.keeps_alive(),
            headers: response.headers,
            body: content,
        })
    }

    /// Writes a message whose first bytes are `message`.
    fn write(&mut self, pace: Pace, mut message: Vec<u8>, body: &[u8]) -> io::Result<()> {
        let (first, second) = body.split_at(body.len() / 2);
        for part in [first, second] {
            if pace.is_chunked && !part.is_empty() {
                message.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                message.extend_from_slice(part);
                message.extend_from_slice(b"\r\n");
            } else {
                message.extend_from_slice(part);
            }
            if !pace.pause.is_zero() {
                self.stream.write_all(&message)?;
                message.clear();
                thread::sleep(pace.pause / 2);
            }
        }
        if pace.is_chunked {
            message.extend_from_slice(b"0\r\n\r\n");
        }
        self.stream.write_all(&message)
    }

    fn fill(&mut self) -> Result<usize, Report<Cause>> {
        let mut chunk = [0; 16 * 1024];
        let read = self
            .stream
            .read(&mut chunk)
            .map_err(|error| match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => Report::new(Cause::Timeout),
                _ => Report::new(error).change_context(Cause::Truncated),
            })?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}
