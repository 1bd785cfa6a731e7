#!/bin/sh
# Builds the stand-ins of cases 11 to 15 with the compiler alone; called by review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
mkdir -p target/review-3 || exit 2
exec rustc --edition 2021 -O -D warnings -o target/review-3/review-3 review/standins-3/main.rs
