//! Encoding of answers, complete or truncated.

use std::time::Duration;

use serde_json::json;

use crate::http::head;

/// Returns a body of the given size that repeats the request's id, so that a
/// body of another request is detected.
pub(crate) fn fill_body(id: &str, size: usize) -> Vec<u8> {
    let pattern = format!("{id}\n");
    pattern.bytes().cycle().take(size).collect()
}

/// An answer and the faults applied to it.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) keep_alive: bool,
    pub(crate) is_chunked: bool,
    pub(crate) is_truncated: bool,
    pub(crate) is_draining: bool,
    pub(crate) is_leaving: bool,
    pub(crate) retry_after: Option<f64>,
    /// Number of the request among the arrivals of the record.
    pub(crate) arrival: Option<usize>,
    pub(crate) is_abandoned: bool,
    pub(crate) has_body: bool,
    /// Time over which it is sent.
    pub(crate) send_time: Duration,
}

impl Answer {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        let checksum = format!("{:08x}", crc32fast::hash(&body));
        Answer {
            status,
            headers: vec![("x-checksum", checksum)],
            body,
            keep_alive: false,
            is_chunked: false,
            is_truncated: false,
            is_draining: false,
            is_leaving: false,
            retry_after: None,
            arrival: None,
            is_abandoned: false,
            has_body: true,
            send_time: Duration::ZERO,
        }
    }

    pub(crate) fn error(status: u16, reason: &str) -> Self {
        Self::new(status, json!({"error": reason}).to_string().into_bytes())
    }

    pub(crate) fn not_run(head: &head::Request) -> Self {
        let mut answer = Self::error(503, "not run");
        answer.headers.push(("x-not-run", "1".to_owned()));
        answer.headers.push(("x-not-executed", "1".to_owned()));
        answer.echo(head.headers.get("x-request-id"));
        answer
    }

    /// Returns the answer to a request that expects another server.
    pub(crate) fn misdirected(head: &head::Request) -> Self {
        let mut answer = Self::error(421, "another server");
        answer.echo(head.headers.get("x-request-id"));
        answer
    }

    pub(crate) fn echo(&mut self, id: Option<&str>) {
        if let Some(id) = id {
            self.headers.push(("x-request-id", id.to_owned()));
        }
    }

    /// Encodes the message; if `is_truncated`, only its first part.
    pub(crate) fn encode(&self, server: &str) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        head.push_str(&format!("x-server: {server}\r\n"));
        if self.status != 503 && self.status != 421 {
            head.push_str(&format!("x-server-stamp: {server}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.is_draining {
            head.push_str("x-draining: 1\r\n");
        }
        if self.is_leaving {
            head.push_str("server-leaving: 1\r\n");
        }
        if let Some(seconds) = self.retry_after {
            head.push_str(&format!("retry-after: {seconds}\r\n"));
        }
        if !self.keep_alive {
            head.push_str("connection: close\r\n");
        }
        if self.is_chunked {
            head.push_str("transfer-encoding: chunked\r\n\r\n");
        } else {
            head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        }
        let mut message = head.into_bytes();
        let head_length = message.len();
        if self.has_body {
            if self.is_chunked {
                for part in self.body.chunks(16 * 1024) {
                    message.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    message.extend_from_slice(part);
                    message.extend_from_slice(b"\r\n");
                }
                message.extend_from_slice(b"0\r\n\r\n");
            } else {
                message.extend_from_slice(&self.body);
            }
        }
        if self.is_truncated {
            let body_length = message.len() - head_length;
            // A message without a body is truncated within the head.
            let length = if body_length > 1 {
                head_length + body_length / 2
            } else {
                head_length / 2
            };
            message.truncate(length);
        }
        message
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
