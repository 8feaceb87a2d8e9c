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

/// Limit for decompressed JSON, so that a damaged message cannot exhaust
/// memory.
const MAX_DECOMPRESSED_BYTES: u64 = 256 << 20;

/// Canonical JSON in compressed form, since the plain form of a large
/// configuration would take much of the memory that a daemon may use.
#[derive(Clone, Debug)]
pub(super) struct Compressed {
    pub(super) gzip: Bytes,
    pub(super) hash: Arc<str>,
}

impl Compressed {
    /// Serializes a document. The result is canonical because `serde_json`
    /// sorts members by name while its feature `preserve_order` is off.
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

    pub(super) fn decompress(&self) -> Vec<u8> {
        decompress(&self.gzip).expect("own gzip is valid")
    }
}

/// Decompresses canonical JSON. Fails on damaged input and above
/// [`MAX_DECOMPRESSED_BYTES`].
pub(super) fn decompress(gzip: &[u8]) -> Result<Vec<u8>, Report<Error>> {
    let mut json = Vec::new();
    GzDecoder::new(gzip)
        .take(MAX_DECOMPRESSED_BYTES + 1)
        .read_to_end(&mut json)
        .map_err(|error| Error::with_detail(Kind::Delta, format_args!("gzip: {error}")))?;
    if json.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(Error::with_detail(
            Kind::Delta,
            format_args!("decompressed JSON exceeds {MAX_DECOMPRESSED_BYTES} bytes"),
        ));
    }
    Ok(json)
}

/// Hashes and compresses the same bytes.
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
