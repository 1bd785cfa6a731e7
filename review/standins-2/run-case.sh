#!/bin/sh
# Runs one case: run-case.sh NUMBER NAME. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/review-2/cases ] || [ ! -x target/release/sprucelink ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
# In memory where there is a folder for it: DEPLOY counts `$TMPDIR` as memory, and a busy disk would delay the program.
CASE_TMP=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d) || exit 2
RECORD="$PWD/review/$1/record.txt"
export CASE_TMP RECORD
trap 'rm -rf "$CASE_TMP"' EXIT
timeout -k 2 110 target/review-2/cases "$2" &
running=$!
# Ended from outside, it ends the stand-in too, and the programs die with that.
trap 'kill "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT HUP
wait "$running"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
