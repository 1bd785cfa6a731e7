#!/bin/sh
# Runs one case: run-case.sh NUMBER NAME. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# It builds its stand-ins itself, because review/build-2.sh belongs to an earlier review and stays as it is.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/sprucelink ]; then
    echo "build first: the build of the deploy file" >&2
    exit 2
fi
built=target/review-3/review-3
if [ ! -x "$built" ] || [ -n "$(find review/standins-3 -name '*.rs' -newer "$built")" ]; then
    sh review/standins-3/build.sh >&2 || exit 2
fi
# In memory where there is a folder for it: DEPLOY counts `$TMPDIR` as memory.
CASE_TMP=$(mktemp -d -p /dev/shm 2>/dev/null || mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
timeout -k 2 110 "$built" "$2" "review/$1" &
running=$!
# Ended from outside, it ends the stand-ins too, and the workload manager dies with them.
trap 'kill "$running" 2>/dev/null; wait "$running"; exit 2' TERM INT HUP
wait "$running"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
