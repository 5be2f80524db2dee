#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/camphorwayd ] || {
    echo "build the deploy file's program and review/build.sh first"
    exit 2
}
# The program that plays the case and its fronts are one process group.
set -m
target/review/cases old-page review/5 &
cases=$!
trap 'kill -KILL -- "-$cases"; exit 2' INT TERM
wait "$cases"
