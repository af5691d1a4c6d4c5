#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They have no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
