#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 14 start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
