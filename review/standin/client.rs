//! A stand-in for clients.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::standin::{fleet::HOST, http};

/// What a client got.
#[derive(Debug)]
pub struct Answer {
    pub head: http::Head,
    pub body: Vec<u8>,
    /// Why the answer isn't complete.
    pub broken: Option<String>,
}

/// A connection to a daemon.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// A request to send.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Connection {
    /// Connects within the second that the clients allow.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and waits for the answer until its deadline. Fails if the
    /// connection ends before the head of the answer.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<Answer> {
        let Request {
            method,
            path,
            id,
            deadline_ms,
            body,
        } = request;
        let wait = Duration::from_millis(deadline_ms + 500);
        self.writer.set_read_timeout(Some(wait))?;
        self.writer.set_write_timeout(Some(wait))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        );
        if *method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        self.writer.write_all(head.as_bytes())?;
        // The answer may come before the whole body was sent.
        let _ = self.writer.write_all(body);
        let head = http::read_head(&mut self.reader)?
            .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))?;
        let mut body = Vec::new();
        let read = http::read_body(&mut self.reader, &head, false, &mut body);
        Ok(Answer {
            head,
            body,
            broken: read.err().map(|error| error.to_string()),
        })
    }
}

/// Gets a path and returns the status of the answer.
pub fn fetch(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(900)))
        .ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let head = http::read_head(&mut BufReader::new(stream)).ok()??;
    Some(head.status())
}
