#!/bin/bash
# Plays inside-event or crashing-part, which are no cases (see REPORT-2.md). Exit codes and TROUBLE as in the cases.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=2 115 "$root/target/review-2/other-$1" "$root" "$folder" "$scratch"
