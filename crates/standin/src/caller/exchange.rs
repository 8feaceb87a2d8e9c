//! One request on one connection.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, tcp};
use tokio::sync::Notify;
use tokio::time;

use crate::caller::judge::{Answer, Reading};
use crate::caller::mix::Kind;
use crate::http::head;

/// Bytes of an answer body that are kept for judgement.
const KEEP_BYTES: usize = 64 * 1024;

/// Size of the parts in which a request body is sent.
const PART_BYTES: u64 = 16 * 1024;

/// Longest wait for `100 Continue`. A server may never send one (RFC 9110,
/// section 10.1.1).
const CONTINUE: Duration = Duration::from_secs(1);

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its kind.
    pub kind: &'a Kind,
    /// `x-request-id`.
    pub id: &'a str,
    /// `idempotency-key`.
    pub key: Option<&'a str>,
    /// Address of the target.
    pub target: &'a str,
    /// Whether the connection is used again.
    pub keep_alive: bool,
}

/// Content of the request body at an offset. It starts with the request id,
/// so that the bodies of two requests differ.
fn fill_body(id: &str, offset: u64, part: &mut [u8]) {
    for (position, byte) in (offset..).zip(part.iter_mut()) {
        let index = usize::try_from(position).unwrap_or(usize::MAX);
        // 251 is prime, so that shifted parts do not look alike.
        *byte = id
            .as_bytes()
            .get(index)
            .copied()
            .unwrap_or((position % 251) as u8);
    }
}

/// Sizes of the parts of a body.
fn parts(length: u64) -> impl Iterator<Item = (u64, usize)> {
    (0..length.div_ceil(PART_BYTES)).map(move |number| {
        let offset = number * PART_BYTES;
        (offset, (length - offset).min(PART_BYTES) as usize)
    })
}

impl Request<'_> {
    fn head(&self) -> String {
        let kind = self.kind;
        let mut head = format!("{} {} HTTP/1.1\r\n", kind.method, kind.target());
        let mut add = |name: &str, value: &str| head.push_str(&format!("{name}: {value}\r\n"));
        add("host", kind.host.as_deref().unwrap_or(self.target));
        add("x-request-id", self.id);
        if let Some(key) = self.key {
            add("idempotency-key", key);
        }
        if let Some(deadline) = kind.deadline_ms.filter(|_| kind.send_deadline) {
            add("x-deadline-ms", &deadline.to_string());
        }
        for (name, value) in &kind.headers {
            add(name, value);
        }
        if kind.chunked {
            add("transfer-encoding", "chunked");
        } else if kind.body_bytes > 0 || !matches!(kind.method.as_str(), "GET" | "HEAD") {
            add("content-length", &kind.body_bytes.to_string());
        }
        if kind.expect {
            add("expect", "100-continue");
        }
        if !self.keep_alive {
            add("connection", "close");
        }
        head.push_str("\r\n");
        head
    }

    async fn send(
        &self,
        to: &mut tcp::WriteHalf<'_>,
        proceed: &Notify,
        checksum: &mut crc32fast::Hasher,
    ) -> std::io::Result<()> {
        let kind = self.kind;
        to.write_all(self.head().as_bytes()).await?;
        if kind.expect {
            let _ = time::timeout(CONTINUE, proceed.notified()).await;
        }
        let start = Instant::now();
        let mut message = Vec::new();
        for (offset, length) in parts(kind.body_bytes) {
            if let Some(rate) = kind.body_rate {
                let due = Duration::from_secs_f64(offset as f64 / rate as f64);
                time::sleep_until((start + due).into()).await;
            }
            message.clear();
            if kind.chunked {
                message.extend_from_slice(format!("{length:x}\r\n").as_bytes());
            }
            let body = message.len();
            message.resize(body + length, 0);
            fill_body(self.id, offset, &mut message[body..]);
            checksum.update(&message[body..]);
            if kind.chunked {
                message.extend_from_slice(b"\r\n");
            }
            to.write_all(&message).await?;
        }
        if kind.chunked {
            to.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// Result of an exchange.
#[derive(Debug)]
pub struct Exchange {
    /// What came back.
    pub reading: Reading,
    /// CRC-32 of the request body as far as it was sent.
    pub body_checksum: u32,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// Sends a request and reads its answer, also while the body is sent.
pub async fn exchange(stream: &mut TcpStream, request: &Request<'_>) -> Exchange {
    let proceed = Notify::new();
    let (mut from, mut to) = stream.split();
    let mut sent = false;
    let mut checksum = crc32fast::Hasher::new();
    let (reading, keeps_alive) = {
        let send = request.send(&mut to, &proceed, &mut checksum);
        let receive = receive(&mut from, &request.kind.method, &proceed);
        tokio::pin!(send, receive);
        loop {
            tokio::select! {
                biased;
                read = &mut receive => break read,
                // After a failed write the answer may still be there to read.
                result = &mut send, if !sent => sent = result.is_ok() || {
                    break receive.await;
                },
            }
        }
    };
    Exchange {
        reading,
        body_checksum: checksum.finalize(),
        reusable: sent && keeps_alive && request.keep_alive,
    }
}

async fn receive(from: &mut tcp::ReadHalf<'_>, method: &str, proceed: &Notify) -> (Reading, bool) {
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    let head = loop {
        match head::Response::take(&mut buffer) {
            Ok(Some(head)) if head.status == 100 => proceed.notify_one(),
            Ok(Some(head)) => break head,
            Ok(None) => match from.read_buf(&mut buffer).await {
                Ok(0) | Err(_) if buffer.is_empty() => return (Reading::Closed, false),
                Ok(0) | Err(_) => return (Reading::Truncated, false),
                Ok(_) => {}
            },
            Err(_) => return (Reading::Malformed, false),
        }
    };
    let Ok(mut decoder) = head.body(method) else {
        return (Reading::Malformed, false);
    };
    let mut checksum = crc32fast::Hasher::new();
    let mut answer = Answer {
        status: head.status,
        ..Default::default()
    };
    while !decoder.is_done() {
        match decoder.take(&mut buffer) {
            Ok(Some(part)) => {
                answer.length += part.len() as u64;
                checksum.update(&part);
                let room = KEEP_BYTES - answer.start.len();
                answer
                    .start
                    .extend_from_slice(&part[..part.len().min(room)]);
            }
            Ok(None) if decoder.is_done() => {}
            Ok(None) => match from.read_buf(&mut buffer).await {
                Ok(0) if decoder.is_complete_at_close() => break,
                Ok(0) | Err(_) => return (Reading::Truncated, false),
                Ok(_) => {}
            },
            Err(_) => return (Reading::Malformed, false),
        }
    }
    answer.checksum = checksum.finalize();
    // Bytes after the answer belong to nothing that was asked.
    let keeps_alive = head.keeps_alive() && decoder.is_done() && buffer.is_empty();
    answer.headers = head.headers;
    (Reading::Complete(answer), keeps_alive)
}
