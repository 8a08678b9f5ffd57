#!/bin/bash
# Plays the case of review/standin-3, which review/build-3.sh has built. With TROUBLE=0, without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
export REVIEW_PIDS="$(mktemp)"
stop() {
    if [ -s "$REVIEW_PIDS" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
    fi
    rm -f "$REVIEW_PIDS"
}
trap stop EXIT
trap 'exit 2' INT TERM
target/review-3/standin-3 "$here/record.txt"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
