#!/usr/bin/env bash
# Builds the scripts' programs into target/review, after the build of the deploy
# file. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/*/case.rs; do
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review/case-$case" "$source"
done
