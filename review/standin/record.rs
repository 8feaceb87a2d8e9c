//! Writes what was sent, answered and run to `record.txt`, and random numbers.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

/// The record of one run.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record in the folder that `REVIEW_CASE` names.
    pub fn create() -> Self {
        let folder = std::env::var("REVIEW_CASE").unwrap_or_else(|_| ".".to_owned());
        let path = format!("{folder}/record.txt");
        let file =
            File::create(&path).unwrap_or_else(|error| unusable(&format!("{path}: {error}")));
        Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes one line with its time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.seconds(), text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn show(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Ends the run because the case could not run.
pub fn unusable(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2);
}

/// Whether the run is one with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns `size` bytes that differ at each place.
    pub fn bytes(&mut self, size: usize) -> Vec<u8> {
        let words = size.div_ceil(8);
        let mut bytes: Vec<u8> = (0..words).flat_map(|_| self.next().to_le_bytes()).collect();
        bytes.truncate(size);
        bytes
    }
}
