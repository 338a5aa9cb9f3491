#!/usr/bin/env bash
# Fails if a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cc' |
  grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
