#!/bin/sh
# Builds the stand-ins of all cases: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
