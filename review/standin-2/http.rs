//! HTTP/1.1 messages as the stand-ins need them.

use std::io::{self, Read};

/// The head of a request or an answer, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header; empty without one.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the second word of the first line: a target or a status.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the announced length of the body.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.second().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(0), bytes.next().unwrap_or(0)];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads messages from a stream.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a head; the error is `UnexpectedEof` if the stream ends before it.
    pub fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Message {
            start,
            headers,
            body: Vec::new(),
        })
    }

    /// Reads a message with its body, by its length or in chunks. Fails if the
    /// stream ends before that.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }

    /// Reads the body of the message with the head `head`.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if !head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let part = self.bytes(size)?;
            body.extend_from_slice(&part);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads bytes until `length` of them are there, and returns how many that are. It
    /// is fewer if the stream ends before.
    pub fn fill_up_to(&mut self, length: usize) -> usize {
        while self.buffer.len() < length {
            if self.fill().is_err() {
                break;
            }
        }
        self.buffer.len()
    }

    /// Drops `length` of the bytes that were read.
    pub fn skip(&mut self, length: usize) {
        self.buffer.drain(..length.min(self.buffer.len()));
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
