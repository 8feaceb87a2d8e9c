#!/usr/bin/env bash
# Builds everything and runs a tour of the whole path on loopback (about 20 s).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --locked
exec target/release/standin-experiment quickstart "$@"
