#!/usr/bin/env bash
# Runs clang-tidy on all sources with the compile commands of BUILD_FOLDER, the
# first argument. Skips a file if neither it nor a project header that it
# includes has changed since its last clean run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/anvilloom-lint
mkdir -p "$cache"

# Removes GCC's precompiled header and warning flags from the compile commands,
# because clang does not support them.
lint_commands=$(mktemp -d)
trap 'rm -r "$lint_commands"' EXIT
sed -E 's/ -Winvalid-pch//; s/ -include [^ ]*cmake_pch\.hxx//; s/ -fpch-preprocess//; s/ -Wno-tsan//; s/ -Wno-maybe-uninitialized//; s/ -Wno-mismatched-new-delete//' \
  "$build/compile_commands.json" >"$lint_commands/compile_commands.json"

export build cache lint_commands
lint_one() {
  local source=$1 key
  key=$({ cat .clang-tidy "$source"
    # Project headers that the file includes, directly or indirectly.
    g++ -std=c++20 -I. -MM "$source" 2>/dev/null | tr ' \\' '\n\n' |
      grep '\.h$' | grep -v '^/' | sort -u | xargs cat; } | sha256sum |
    cut -d' ' -f1)
  if [ -e "$cache/$key" ]; then return 0; fi
  if clang-tidy --quiet -p "$lint_commands" "$source" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "clang-tidy reported errors in $source" >&2
    return 1
  fi
}
export -f lint_one

git ls-files --cached --others --exclude-standard '*.cc' | grep -v '\.pb\.' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
