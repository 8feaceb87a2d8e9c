//! Canonical JSON, its hash and its compressed form.

use std::{
    io::{self, Read, Write},
    sync::Arc,
};

use bytes::Bytes;
use error_stack::Report;
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use xxhash_rust::xxh3::Xxh3;

use super::{Error, Kind};

/// Largest canonical JSON that is unpacked, so that a damaged message does not
/// fill the memory.
const UNPACKED_BYTES: u64 = 256 << 20;

/// Canonical JSON, compressed, since the plain form of a large text would take
/// much of the memory that a daemon may use.
#[derive(Clone, Debug)]
pub(super) struct Packed {
    pub(super) gzip: Bytes,
    pub(super) hash: Arc<str>,
}

impl Packed {
    /// Writes the canonical JSON of a document. `serde_json` keeps members
    /// sorted by name, as its feature `preserve_order` is off.
    pub(super) fn new(document: &serde_json::Value) -> Self {
        let tee = Tee {
            hash: Xxh3::new(),
            gzip: GzEncoder::new(Vec::new(), Compression::fast()),
        };
        let mut writer = io::BufWriter::with_capacity(64 << 10, tee);
        serde_json::to_writer(&mut writer, document).expect("writing to memory succeeds");
        let Ok(tee) = writer.into_inner() else {
            unreachable!("writing to memory succeeds");
        };
        let mut gzip = tee.gzip.finish().expect("writing to memory succeeds");
        gzip.shrink_to_fit();
        Self {
            gzip: Bytes::from(gzip),
            hash: Arc::from(format!("{:032x}", tee.hash.digest128())),
        }
    }

    pub(super) fn unpack(&self) -> Vec<u8> {
        unpack(&self.gzip).expect("own packed text unpacks")
    }
}

/// Reads the compressed form.
pub(super) fn unpack(gzip: &[u8]) -> Result<Vec<u8>, Report<Error>> {
    let mut plain = Vec::new();
    GzDecoder::new(gzip)
        .take(UNPACKED_BYTES + 1)
        .read_to_end(&mut plain)
        .map_err(|error| Error::with_detail(Kind::Delta, format_args!("gzip: {error}")))?;
    if plain.len() as u64 > UNPACKED_BYTES {
        return Err(Error::with_detail(
            Kind::Delta,
            format_args!("more than {UNPACKED_BYTES} bytes"),
        ));
    }
    Ok(plain)
}

struct Tee {
    hash: Xxh3,
    gzip: GzEncoder<Vec<u8>>,
}

impl Write for Tee {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.hash.update(bytes);
        self.gzip.write_all(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
