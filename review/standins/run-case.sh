#!/usr/bin/env bash
# run-case.sh CASE FOLDER [TROUBLE]: plays a case, without its disruption if TROUBLE is 0, writes
# FOLDER/record.txt, and ends all processes that it started. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(cd "$2" && pwd)"
program="$here/target/release/review-case"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
work="$(mktemp -d)" || exit 2
set -m
"$program" "$1" "$root" "$work" "$folder/record.txt" "${3:-${TROUBLE:-1}}" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$work"' EXIT
( sleep 115; kill -KILL -- "-$group" 2>/dev/null ) &
limit=$!
wait "$group"
code=$?
{ kill -KILL -- "-$limit"; wait "$limit"; } 2>/dev/null
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
