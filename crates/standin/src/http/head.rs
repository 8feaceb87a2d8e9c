//! Parsing of request and response heads.

use bytes::{Buf, BytesMut};

use crate::http::{Error, body};

/// Longest accepted head, in bytes. It bounds the memory per connection.
pub const MAX_BYTES: usize = 64 * 1024;

const MAX_HEADERS: usize = 100;

/// Header fields in the order of the message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a header field. Names are case-insensitive.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated header field contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.0
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .flat_map(|(_, v)| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        Headers(
            parsed
                .iter()
                .map(|h| {
                    (
                        h.name.to_owned(),
                        String::from_utf8_lossy(h.value).into_owned(),
                    )
                })
                .collect(),
        )
    }

    fn content_length(&self) -> Result<Option<u64>, Error> {
        self.get("content-length")
            .map(|v| {
                v.trim()
                    .parse()
                    .map_err(|_| Error::Framing("content-length is not a number"))
            })
            .transpose()
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// Minor version of HTTP/1.
    pub minor: u8,
}

impl Request {
    /// Removes a head from the front of the buffer. Returns `None` if it is
    /// incomplete, and an error if it is malformed or too long.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut fields);
        let (head, length) = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => (
                Request {
                    method: parsed.method.unwrap_or_default().to_owned(),
                    target: parsed.path.unwrap_or_default().to_owned(),
                    headers: Headers::from_parsed(parsed.headers),
                    minor: parsed.version.unwrap_or_default(),
                },
                length,
            ),
            Ok(httparse::Status::Partial) if buffer.len() > MAX_BYTES => {
                return Err(Error::Head("too long".to_owned()));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(Error::Head(error.to_string())),
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Returns the value of a query parameter, without percent decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// Returns the decoder of the request body.
    pub fn body(&self) -> Result<body::Decoder, Error> {
        if self.headers.has_token("transfer-encoding", "chunked") {
            return Ok(body::Decoder::chunked());
        }
        Ok(body::Decoder::length(
            self.headers.content_length()?.unwrap_or(0),
        ))
    }

    /// Whether the connection may carry another request after this one.
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.headers.has_token("connection", "close")
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Minor version of HTTP/1.
    pub minor: u8,
}

impl Response {
    /// Removes a head from the front of the buffer. Returns `None` if it is
    /// incomplete, and an error if it is malformed or too long.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let (head, length) = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => (
                Response {
                    status: parsed.code.unwrap_or_default(),
                    headers: Headers::from_parsed(parsed.headers),
                    minor: parsed.version.unwrap_or_default(),
                },
                length,
            ),
            Ok(httparse::Status::Partial) if buffer.len() > MAX_BYTES => {
                return Err(Error::Head("too long".to_owned()));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(Error::Head(error.to_string())),
        };
        buffer.advance(length);
        Ok(Some(head))
    }

    /// Returns the decoder of the response body, given the request method.
    pub fn body(&self, method: &str) -> Result<body::Decoder, Error> {
        if method == "HEAD" || self.status / 100 == 1 || matches!(self.status, 204 | 304) {
            return Ok(body::Decoder::length(0));
        }
        if self.headers.has_token("transfer-encoding", "chunked") {
            return Ok(body::Decoder::chunked());
        }
        Ok(match self.headers.content_length()? {
            Some(length) => body::Decoder::length(length),
            None => body::Decoder::until_close(),
        })
    }

    /// Whether the connection may carry another request after this response.
    pub fn keeps_alive(&self) -> bool {
        self.minor == 1 && !self.headers.has_token("connection", "close")
    }
}
