#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler and its standard library alone. The build of the deploy
# file comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standins-2/cases.rs -o target/review-2/cases
