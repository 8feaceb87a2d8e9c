//! Serves one connection of a backend server.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::backend::answer::{self, Answer};
use crate::backend::fault::Plan;
use crate::backend::record;
use crate::backend::server::{Connection, Server};
use crate::http::{body, head};

/// Longest time for which unread bytes are drained after an early answer.
/// Closing a socket with unread bytes resets the connection, and the peer may
/// then lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of an answer body if the query doesn't set `bytes`.
const DEFAULT_BODY_BYTES: usize = 200;

/// Number of parts in which an answer is sent if the query sets `send_ms`.
const SEND_PARTS: usize = 20;

/// Largest answer body, which bounds the memory of one answer.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Why a connection ends.
enum End {
    /// The peer closed it, or a read or write failed.
    Closed,
    /// The server closes it after the answer.
    Close,
    /// It stays open and sends nothing from now on.
    Silent,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        End::Closed
    }
}

struct Stream {
    socket: TcpStream,
    buffer: BytesMut,
}

impl Stream {
    /// Reads more bytes. The end of the stream is an error.
    async fn fill(&mut self) -> Result<(), End> {
        match self.socket.read_buf(&mut self.buffer).await? {
            0 => Err(End::Closed),
            _ => Ok(()),
        }
    }

    /// Waits for `work`, or returns an error if the peer closes the connection
    /// first.
    async fn unless_closed<T>(&mut self, work: impl Future<Output = T>) -> Result<T, End> {
        tokio::pin!(work);
        loop {
            // Bytes of the next request are buffered, up to the maximum head size.
            let has_room = self.buffer.len() < head::MAX_BYTES;
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                filled = self.fill(), if has_room => filled?,
            }
        }
    }

    /// Discards what the peer sends until it closes the connection.
    async fn discard(&mut self) {
        self.buffer.clear();
        while self.fill().await.is_ok() {
            self.buffer.clear();
        }
    }
}

/// Serves a connection until it is closed.
pub async fn serve(server: Arc<Server>, connection: Connection, socket: TcpStream) {
    // Each answer is written in one call, so Nagle's algorithm only adds latency.
    let _ = socket.set_nodelay(true);
    let mut stream = Stream {
        socket,
        buffer: BytesMut::new(),
    };
    if !server.settings.connect_delay.is_zero() {
        time::sleep(server.settings.connect_delay).await;
    }
    let end = loop {
        if let Err(end) = exchange(&server, &connection, &mut stream).await {
            break end;
        }
    };
    match end {
        End::Closed => {}
        End::Close => {
            let _ = stream.socket.shutdown().await;
            let _ = time::timeout(LINGER_TIMEOUT, stream.discard()).await;
        }
        End::Silent => stream.discard().await,
    }
}

async fn exchange(
    server: &Arc<Server>,
    connection: &Connection,
    stream: &mut Stream,
) -> Result<(), End> {
    let head = loop {
        match head::Request::take(&mut stream.buffer) {
            Ok(Some(head)) => break head,
            Ok(None) => stream.fill().await?,
            Err(error) => {
                let answer = Answer::error(400, &error.to_string());
                write(server, connection, stream, answer).await?;
                return Err(End::Close);
            }
        }
    };
    if server.is_silent(connection.number) {
        return Err(End::Silent);
    }
    let arrived = Instant::now();
    let Ok(decoder) = head.body() else {
        write(
            server,
            connection,
            stream,
            Answer::error(400, "bad framing"),
        )
        .await?;
        return Err(End::Close);
    };
    let keeps_alive = head.keeps_alive() && decoder.is_done();
    let is_probe = head.path() == "/health";
    let id = head.headers.get("x-request-id").unwrap_or_default();
    let arrival = (!is_probe).then(|| server.record.arrive(id, server.index));
    let mut answer = if is_probe {
        probe(server, stream).await?
    } else if head
        .headers
        .get("x-expect-instance")
        .is_some_and(|expected| expected != &*server.name)
    {
        Answer::misdirected(&head)
    } else {
        let class = class(&head);
        let plan = server.plan(&head, &class);
        if let Some(begin) = plan.hang {
            server.count_hung();
            let _begun = begin.then(|| begin_request(server, &head, &class));
            return Err(stream
                .unless_closed(std::future::pending::<End>())
                .await
                .unwrap_or_else(|end| end));
        }
        if plan.is_shed {
            server.count_shed();
            let mut answer = Answer::not_run(&head);
            answer.retry_after = plan.retry_after;
            answer
        } else if let Some(slot) = server.take_slot() {
            let begun = begin_request(server, &head, &class);
            let mut answer = execute(server, stream, &head, decoder, &plan, arrived).await?;
            if answer.is_abandoned {
                drop(begun);
            } else {
                begun.finish();
            }
            // The slot must be free by the time the caller has the answer.
            drop(slot);
            answer.keep_alive = head.keeps_alive();
            answer.arrival = arrival;
            return write(server, connection, stream, answer).await;
        } else {
            Answer::not_run(&head)
        }
    };
    // The body of a request that was not begun is not read.
    answer.keep_alive = keeps_alive;
    answer.arrival = arrival;
    write(server, connection, stream, answer).await
}

fn class(head: &head::Request) -> String {
    head.headers.get("x-class").map_or_else(
        || {
            let path = head.path().trim_start_matches('/');
            path.split('/').next().unwrap_or_default().to_owned()
        },
        str::to_owned,
    )
}

fn begin_request(server: &Arc<Server>, head: &head::Request, class: &str) -> record::Begun {
    server.count_begun();
    let header = |name| head.headers.get(name).map(str::to_owned);
    server.record.begin(
        header("x-request-id"),
        header("idempotency-key"),
        class.to_owned(),
        server.index,
    )
}

async fn probe(server: &Server, stream: &mut Stream) -> Result<Answer, End> {
    if server.hangs_probes() {
        server.count_hung();
        stream.unless_closed(std::future::pending::<()>()).await?;
    }
    stream
        .unless_closed(time::sleep(server.settings.probe_time))
        .await?;
    server.count_probe();
    Ok(if server.fails_probes() {
        Answer::error(500, "unhealthy")
    } else {
        Answer::new(200, json!({"status": "ok"}).to_string().into_bytes())
    })
}

/// Receives the body, waits for the service time and builds the answer.
async fn execute(
    server: &Server,
    stream: &mut Stream,
    head: &head::Request,
    mut decoder: body::Decoder,
    plan: &Plan,
    arrived: Instant,
) -> Result<Answer, End> {
    let is_upload = !decoder.is_done();
    let mut received = 0;
    let mut checksum = crc32fast::Hasher::new();
    if is_upload && head.headers.has_token("expect", "100-continue") {
        stream
            .socket
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await?;
    }
    while !decoder.is_done() {
        match decoder.take(&mut stream.buffer).map_err(|_| End::Closed)? {
            Some(part) => {
                received += part.len() as u64;
                checksum.update(&part);
            }
            None if decoder.is_done() => {}
            None => stream.fill().await?,
        }
    }

    let deadline = head
        .headers
        .get("x-deadline-ms")
        .and_then(|value| value.trim().parse::<f64>().ok())
        .and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok())
        .and_then(|remaining| arrived.checked_add(remaining));
    let mut is_past_deadline = false;
    let service_time = milliseconds(head, "work_ms").unwrap_or(plan.service_time);
    let mut until = Instant::now().checked_add(service_time);
    if let Some(deadline) = deadline {
        if let Some(by) = plan.lateness {
            until = until.max(deadline.checked_add(by));
        } else if server.settings.honours_deadlines && until.is_none_or(|until| until > deadline) {
            until = Some(deadline);
            is_past_deadline = true;
        }
    }
    match until {
        // The timer rounds up to 1 ms even if the time has already passed.
        Some(until) if until <= Instant::now() => {}
        Some(until) => {
            stream
                .unless_closed(time::sleep_until(until.into()))
                .await?
        }
        None => stream.unless_closed(std::future::pending::<()>()).await?,
    }
    if is_past_deadline {
        let mut answer = Answer::error(504, "deadline passed");
        answer.is_abandoned = true;
        answer.echo(head.headers.get("x-request-id"));
        return Ok(answer);
    }

    let own = head.headers.get("x-request-id").unwrap_or_default();
    let last = server.replace_last_id(own);
    let id = if plan.is_crossed {
        last.unwrap_or_else(|| uuid::Uuid::new_v4().to_string())
    } else {
        own.to_owned()
    };
    let bytes = if is_upload {
        json!({"bytes": received, "crc32": format!("{:08x}", checksum.finalize())})
            .to_string()
            .into_bytes()
    } else {
        let size = head
            .query("bytes")
            .and_then(|value| value.parse().ok())
            .unwrap_or(DEFAULT_BODY_BYTES);
        answer::fill_body(&id, size.min(MAX_BODY_BYTES))
    };
    let mut answer = Answer::new(plan.status, bytes);
    answer.echo(Some(&id).filter(|id| !id.is_empty()).map(String::as_str));
    answer.is_chunked = head.query("chunked") == Some("1");
    answer.is_truncated = plan.is_cut;
    answer.is_draining = plan.is_draining;
    answer.has_body = head.method != "HEAD";
    answer.send_time = milliseconds(head, "send_ms").unwrap_or_default();
    Ok(answer)
}

/// Returns the time in milliseconds that the query of a request sets as `name`.
fn milliseconds(head: &head::Request, name: &str) -> Option<Duration> {
    let value = head.query(name)?.parse().ok()?;
    Some(Duration::from_millis(value))
}

async fn write(
    server: &Server,
    connection: &Connection,
    stream: &mut Stream,
    mut answer: Answer,
) -> Result<(), End> {
    if server.is_silent(connection.number) {
        return Err(End::Silent);
    }
    answer.is_draining |= server.drains();
    if let Some(arrival) = answer.arrival {
        answer.is_leaving = server.leaves();
        server
            .record
            .answer(arrival, answer.is_leaving, answer.retry_after);
    }
    answer.keep_alive &= !answer.is_draining && !answer.is_truncated;
    let message = answer.encode(&server.name);
    if answer.send_time.is_zero() {
        stream.socket.write_all(&message).await?;
    } else {
        for part in message.chunks(message.len().div_ceil(SEND_PARTS)) {
            stream.socket.write_all(part).await?;
            time::sleep(answer.send_time / SEND_PARTS as u32).await;
        }
    }
    if answer.keep_alive {
        Ok(())
    } else {
        Err(End::Close)
    }
}
