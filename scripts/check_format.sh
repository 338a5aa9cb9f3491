#!/usr/bin/env bash
# Fails if a source file does not match the format in .clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cc' |
  grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
