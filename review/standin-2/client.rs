//! Clients of the daemons.

use std::{
    io::{self, Read, Write},
    net::{SocketAddrV4, TcpStream},
    os::fd::FromRawFd,
    time::{Duration, Instant},
};

use super::http::{Message, Reader};

/// What a client got.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    /// The complete answer, or why there is none.
    pub answer: Result<Message, String>,
}

/// Returns the bytes of a request.
pub fn request(method: &str, target: &str, id: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    request_with(method, target, id, deadline, "", body)
}

/// As [`request`], with more header lines, each with its line end.
pub fn request_with(
    method: &str,
    target: &str,
    id: &str,
    deadline: Duration,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n{more}",
        deadline.as_millis()
    );
    if method != "GET" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and waits for the answer.
pub fn send(front: &str, method: &str, target: &str, id: &str, body: &[u8]) -> Outcome {
    send_with(front, method, target, id, "", body)
}

/// As [`send`], with more header lines, each with its line end.
pub fn send_with(
    front: &str,
    method: &str,
    target: &str,
    id: &str,
    more: &str,
    body: &[u8],
) -> Outcome {
    const DEADLINE: Duration = Duration::from_secs(4);
    let sent = Instant::now();
    let exchange = || -> io::Result<Message> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))?;
        stream.write_all(&request_with(method, target, id, DEADLINE, more, body))?;
        Reader::new(stream).message()
    };
    let answer = exchange().map_err(|error| error.to_string());
    Outcome {
        id: id.to_owned(),
        sent,
        answer,
    }
}

/// A stream that is read slowly: at most `bytes` at a time, and then a pause.
pub struct Slow {
    pub stream: TcpStream,
    pub bytes: usize,
    pub pause: Duration,
}

impl Read for Slow {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        std::thread::sleep(self.pause);
        let length = buffer.len().min(self.bytes);
        self.stream.read(&mut buffer[..length])
    }
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// An IPv4 address as the system calls take it.
#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// Connects with a receive buffer of `bytes`, which has to be set before.
pub fn connect_with_buffer(front: &str, bytes: i32) -> io::Result<TcpStream> {
    let to: SocketAddrV4 = front.parse().map_err(io::Error::other)?;
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are valid, and the descriptor has no other owner.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let length = size_of::<i32>() as u32;
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, length) != 0
            || connect(descriptor, &address, size_of::<Address>() as u32) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
