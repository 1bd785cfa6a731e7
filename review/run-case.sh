#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# The harness ends by itself after 110 s at the latest.
case_name=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
harness=target/review/release/review-harness
[ -x "$harness" ] && [ -x target/release/sprucelink ] || { echo "could not run: build first" >&2; exit 2; }
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
# Ends the processes that a harness which did not end by itself has left.
end_all() {
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
"$harness" "$case_name" "$folder" &
child=$!
trap 'kill -KILL $child 2>/dev/null; wait $child 2>/dev/null; end_all; exit 2' INT TERM HUP
wait $child
status=$?
case $status in
0 | 1 | 2)
    # The harness has ended and waited for all that it started: the ids may belong to others by now.
    rm -f "$REVIEW_PIDS"
    ;;
*)
    echo "could not run: the harness ended with $status" >&2
    end_all
    status=2
    ;;
esac
exit $status
