//! A backend server whose answers a test writes byte by byte, for faults that
//! no HTTP library produces.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Instant,
};

use bytes::BytesMut;
use serde_json::{Value, json};

use crate::{http::head, socket};

/// A request that the server received whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request line and header fields.
    pub head: head::Request,
    /// Body.
    pub body: Vec<u8>,
    /// When it was complete.
    pub received_at: Instant,
}

impl Request {
    /// Returns the value of `x-request-id`; empty without one.
    pub fn id(&self) -> &str {
        self.head.headers.get("x-request-id").unwrap_or_default()
    }
}

/// A connection that the script of a server answers.
#[derive(Debug)]
pub struct Connection {
    /// Number in the order of acceptance, from 0.
    pub number: usize,
    /// The socket, to which the script writes.
    pub socket: TcpStream,
    buffer: BytesMut,
    received: Arc<Mutex<Vec<Request>>>,
}

impl Connection {
    /// Reads the head of the next request, which is not recorded.
    pub fn read_head(&mut self) -> io::Result<Request> {
        loop {
            let head = head::Request::take(&mut self.buffer).map_err(io::Error::other)?;
            if let Some(head) = head {
                return Ok(Request {
                    head,
                    body: Vec::new(),
                    received_at: Instant::now(),
                });
            }
            self.fill()?;
        }
    }

    /// Reads the next request and records it. Fails if the connection ends
    /// before the request is complete.
    pub fn read_request(&mut self) -> io::Result<Request> {
        let request = self.read_head()?;
        self.read_body(request)
    }

    /// Reads the body of `request`, of which only the head was read, and records it.
    pub fn read_body(&mut self, request: Request) -> io::Result<Request> {
        let Request { head, mut body, .. } = request;
        let mut decoder = head.body().map_err(io::Error::other)?;
        while !decoder.is_done() {
            match decoder.take(&mut self.buffer).map_err(io::Error::other)? {
                Some(part) => body.extend_from_slice(&part),
                None if decoder.is_done() => {}
                None => self.fill()?,
            }
        }
        let request = Request {
            head,
            body,
            received_at: Instant::now(),
        };
        lock(&self.received).push(request.clone());
        Ok(request)
    }

    /// Writes a complete answer to `request`, with the header lines `fields`.
    pub fn answer(
        &mut self,
        request: &Request,
        status: &str,
        fields: &[&str],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 {status}\r\nx-request-id: {}\r\ncontent-length: {}\r\n",
            request.id(),
            body.len()
        );
        for field in fields {
            head.push_str(field);
            head.push_str("\r\n");
        }
        head.push_str("\r\n");
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        self.socket.write_all(&message)
    }

    /// Writes a success that the daemons accept.
    pub fn succeed(&mut self, request: &Request) -> io::Result<()> {
        self.answer(request, "200 OK", &["x-server-stamp: scripted"], b"done")
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 64 << 10];
        match self.socket.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }
}

/// The server. It listens until the process ends.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Request>>>,
}

impl Server {
    /// Starts a server that runs `script` on a thread of its own for each
    /// connection, which closes when the script returns. An error of the script
    /// ends the connection, as the daemon may close it at any time.
    pub fn start(
        script: impl Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_at("127.0.0.1:0", script)
    }

    /// As [`start`](Self::start), on a given address.
    pub fn start_at(
        address: &str,
        script: impl Fn(&mut Connection) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = socket::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            received: Arc::default(),
        };
        let received = Arc::clone(&server.received);
        let script = Arc::new(script);
        thread::spawn(move || {
            for (number, socket) in listener.incoming().flatten().enumerate() {
                let script = Arc::clone(&script);
                let mut connection = Connection {
                    number,
                    socket,
                    buffer: BytesMut::new(),
                    received: Arc::clone(&received),
                };
                thread::spawn(move || script(&mut connection));
            }
        });
        Ok(server)
    }

    /// Returns the requests that were received whole.
    pub fn received(&self) -> Vec<Request> {
        lock(&self.received).clone()
    }

    /// Returns the server's entry in the store of
    /// [`gateway::Fleet`](crate::gateway::Fleet), in the state `state`.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "address": self.address.to_string(),
            "info": {"service": "desk", "version": "v1", "zone": "zone-0", "slots": 3},
            "status": {"state": state, "seq": 1, "coldLeft": "0ms"},
        })
    }
}

fn lock(received: &Mutex<Vec<Request>>) -> MutexGuard<'_, Vec<Request>> {
    received.lock().unwrap_or_else(PoisonError::into_inner)
}
