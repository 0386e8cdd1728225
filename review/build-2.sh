#!/bin/bash
# Builds the stand-ins and drivers of the cases 6 to 10 and of review/other-2 into target/review-2/, after the build of
# the deploy file. Needs only packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() { g++ -std=c++20 -O1 -Wall -Wextra -I. "$1" -o "target/review-2/$2" -pthread; }
build review/common-2/Worker.cpp worker &
jobs=($!)
for number in 6 7 8 9 10; do
    [ -f "review/$number/Scenario.cpp" ] || continue
    build "review/$number/Scenario.cpp" "case-$number" &
    jobs+=($!)
done
for other in inside-event crashing-part; do
    build "review/other-2/$other.cpp" "other-$other" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
