#!/usr/bin/env bash
# Builds everything and runs scenarios of the benchmark (all without names).
# Arguments go to `standin-experiment bench`; --scale small is for trials.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --locked
exec target/release/standin-experiment bench "$@"
