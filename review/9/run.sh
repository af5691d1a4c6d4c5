#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")"
record=$PWD/record.txt
cd ../..
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
program=target/review-2/release/review-standin-2
if [ ! -x "$program" ] || [ ! -x target/release/persimmond ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
"$program" paused "$folder" "$record"
