#!/bin/sh
# Builds the stand-ins of the review's cases into target/review-rig. Needs no network: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-rig" cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml
