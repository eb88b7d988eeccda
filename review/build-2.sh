#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
