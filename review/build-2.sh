#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 and later start, into
# target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for name in platform engine consumers call; do
  g++ -std=c++20 -O2 -Wall -Wextra -I. -o "$out/$name" \
    "review/support-2/$name.cc" review/support-2/net.cc \
    -lboost_json -lpthread &
done
wait
for name in platform engine consumers call; do
  test -x "$out/$name"
done
