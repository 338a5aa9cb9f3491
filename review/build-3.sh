#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 and later, with the stand-ins
# that they start, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"

compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -Wno-mismatched-new-delete -I. \
    -c "$1" -o "$out/$(basename "$1" .cc).o"
}
export -f compile
export out
printf '%s\n' review/programs-3/*.cc review/programs-3/programs/*.cc |
  xargs -P "$(nproc)" -I{} bash -c 'set -e; compile {}'

shared=()
for source in review/programs-3/*.cc; do
  shared+=("$out/$(basename "$source" .cc).o")
done
for source in review/programs-3/programs/*.cc; do
  name=$(basename "$source" .cc)
  g++ -o "$out/$name" "$out/$name.o" "${shared[@]}" -lboost_json -pthread
done
