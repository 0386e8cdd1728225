#!/usr/bin/env bash
# Runs every benchmark of BUILD_DIR against bench/bounds.ini; fails when one misses a bound.
set -uo pipefail
build=$1
cd "$(dirname "$0")/.."
failed=0
for program in "$build"/bench_*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    [ "$(basename "$program")" = bench_capacity ] && continue
    echo "== $(basename "$program")"
    "$program" --bounds=bench/bounds.ini || failed=1
done
exit "$failed"
