#!/usr/bin/env bash
# Builds what the scripts of the review start besides the programs of the deploy
# file: the stand-in for the platform, and the driver of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -S . -B target/review/standins -DCMAKE_BUILD_TYPE=Release \
  >/dev/null
cmake --build target/review/standins --target standin_platform
for driver in review/[0-9]*/*.cc; do
  case=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread "$driver" \
    review/support/harness.cc -o "target/review/case-$case"
done
