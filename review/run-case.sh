#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
case_name=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/sprucelink ] || { echo "could not run: build first" >&2; exit 2; }
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_all() {
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
"$harness" "$case_name" "$folder" &
child=$!
trap 'kill -KILL $child 2>/dev/null; end_all; exit 2' INT TERM HUP
wait $child
status=$?
# The processes have ended by now: what the harness started it ends and waits for. The ids are not used again.
rm -f "$REVIEW_PIDS"
[ $status -le 2 ] || status=2
exit $status
