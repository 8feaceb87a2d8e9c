//! A minimal HTTP/1.1 message reader for the stand-ins.

use std::io::{self, BufRead, Read};

/// A request or an answer: its first line and its headers with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    /// A parameter of the query of a request, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(percent_decode(pair))
    }

    /// Whether the other end closes the connection after this message.
    pub fn closes(&self) -> bool {
        let named = self.get("connection").unwrap_or_default();
        named.to_ascii_lowercase().contains("close")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken("the line broke off"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut head = Head {
        line,
        headers: Vec::new(),
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head broke off"))?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        head.headers
            .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body of a message with a length or in chunks. A message with
/// neither has no body if `is_request`, else it ends with the connection. Fails
/// if the body breaks off. `taken` gets the bytes in either case.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    is_request: bool,
    taken: &mut Vec<u8>,
) -> io::Result<()> {
    let coding = head.get("transfer-encoding").unwrap_or_default();
    if coding.to_ascii_lowercase().contains("chunked") {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("the chunks broke off"))?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
            if size == 0 {
                while !read_line(reader)?
                    .ok_or_else(|| broken("no end"))?
                    .is_empty()
                {}
                return Ok(());
            }
            take(reader, size, taken)?;
            if !read_line(reader)?
                .ok_or_else(|| broken("no chunk end"))?
                .is_empty()
            {
                return Err(broken("a chunk is longer than announced"));
            }
        }
    }
    match head.get("content-length") {
        Some(length) => {
            let length = length.parse().map_err(|_| broken("no length"))?;
            take(reader, length, taken)
        }
        None if is_request => Ok(()),
        None => reader.read_to_end(taken).map(|_| ()),
    }
}

fn take(reader: &mut impl BufRead, size: usize, taken: &mut Vec<u8>) -> io::Result<()> {
    let before = taken.len();
    reader.take(size as u64).read_to_end(taken)?;
    if taken.len() - before < size {
        return Err(broken("the body broke off"));
    }
    Ok(())
}

/// A checksum of bytes (FNV-1a).
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}
