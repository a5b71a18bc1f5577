#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start: the project's own store and the review's own crate.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p filbertwheel-platform-standin
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
