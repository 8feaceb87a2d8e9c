#!/usr/bin/env bash
# Reruns every measurement of docs/CAPACITY.md and prints the figures.
# All parts take tens of minutes; arguments choose parts:
#   fleet rates texts model memory text policy
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_BUILD_JOBS="${CARGO_BUILD_JOBS:-3}"
parts=("$@")
[ ${#parts[@]} -gt 0 ] || parts=(fleet rates texts model memory text policy)

cargo build --release --locked --bins -p dotterelhinge -p dotterelhinge-standin
target="${CARGO_TARGET_DIR:-target}/release"
for part in "${parts[@]}"; do
    echo "== $part, $(git rev-parse --short HEAD), $(date -u +%FT%TZ), load $(cut -d' ' -f1-3 /proc/loadavg)"
    case $part in
    fleet) "$target/standin-capacity" sizes ;;
    rates) "$target/standin-capacity" rates ;;
    texts) "$target/standin-capacity" texts ;;
    model) cargo run --release --locked -q -p dotterelhinge-policy --example fleet_model -- --members 48 480 1000 ;;
    memory) cargo run --release --locked -q -p dotterelhinge-policy --example memory ;;
    text) cargo bench --locked -p dotterelhinge --bench text ;;
    policy) cargo bench --locked -p dotterelhinge-policy --bench coordinator --bench membership ;;
    *)
        echo "unknown part $part" >&2
        exit 2
        ;;
    esac
    echo "== end of $part, load $(cut -d' ' -f1-3 /proc/loadavg)"
done
