#!/bin/sh
# Builds the stand-ins of cases 11 and 12 with the compiler and its standard library alone; run-case.sh calls it.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/review-3
rustc --edition 2021 -O -D warnings review/standins-3/main.rs -o "target/review-3/new.$$"
mv "target/review-3/new.$$" target/review-3/review-3
