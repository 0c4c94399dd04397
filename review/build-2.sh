#!/usr/bin/env bash
# Builds what the cases in review/6 to review/10 start: the programs of the project, and the stand-ins, which need the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked || cargo build --release --workspace --locked --offline
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
