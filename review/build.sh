#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in common/*.cpp */Case.cpp; do
    object=build/$(echo "$source" | tr '/' '-' | sed 's/cpp$/o/')
    echo "g++ -std=c++20 -O1 -Wall -Wextra -pthread -c $source -o $object"
done | xargs -P 4 -I{} sh -c '{}'
for case in */Case.cpp; do
    number=${case%%/*}
    g++ -pthread "build/$number-Case.o" build/common-*.o -o "build/case-$number"
done
