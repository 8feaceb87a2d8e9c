//! Shared parts of the programs: the ready line, termination and logging.

use std::io::{self, Write};

use tokio::signal::unix;

/// Prints the ready line to standard output and flushes it.
pub fn print_ready(ready: &serde_json::Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{ready}")?;
    out.flush()
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_termination() -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Starts logging to standard error, filtered by `RUST_LOG`.
pub fn start_log() {
    env_logger::Builder::from_default_env()
        .target(env_logger::Target::Stderr)
        .init();
}
