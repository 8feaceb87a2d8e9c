//! Decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::http::Error;

/// Longest accepted chunk-size line or trailer line, in bytes.
const MAX_LINE: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Incremental decoder of one message body.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Returns a decoder of a body of a known length.
    pub fn length(length: u64) -> Self {
        let state = if length == 0 {
            State::Done
        } else {
            State::Length(length)
        };
        Decoder { state }
    }

    /// Returns a decoder of a chunked body.
    pub fn chunked() -> Self {
        Decoder {
            state: State::ChunkSize,
        }
    }

    /// Returns a decoder of a body that ends when the connection closes.
    pub fn until_close() -> Self {
        Decoder {
            state: State::UntilClose,
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is complete if the connection closes now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Removes the next part of the body from the buffer. Returns `None` if more
    /// bytes are needed or the body is complete, and an error if the chunk
    /// framing is invalid.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                _ if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Length(left) => {
                    let part = take_up_to(buffer, left);
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::Done
                    } else {
                        State::Length(left)
                    };
                    return Ok(Some(part));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    let digits = line.split(';').next().unwrap_or_default().trim();
                    let size = u64::from_str_radix(digits, 16)
                        .map_err(|_| Error::Framing("chunk size is not a number"))?;
                    self.state = if size == 0 {
                        State::Trailer
                    } else {
                        State::ChunkData(size)
                    };
                }
                State::ChunkData(left) => {
                    let part = take_up_to(buffer, left);
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::ChunkData(left)
                    };
                    return Ok(Some(part));
                }
                State::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(Error::Framing("chunk is longer than its size")),
                },
                State::Trailer => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) => {}
                },
            }
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Bytes {
    let length = usize::try_from(limit).map_or(buffer.len(), |limit| limit.min(buffer.len()));
    buffer.split_to(length).freeze()
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<String>, Error> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MAX_LINE {
            return Err(Error::Framing("line is too long"));
        }
        return Ok(None);
    };
    let line = buffer.split_to(end);
    buffer.advance(1);
    let line = line.strip_suffix(b"\r").unwrap_or(&line);
    Ok(Some(String::from_utf8_lossy(line).into_owned()))
}
