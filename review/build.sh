#!/usr/bin/env bash
# Builds what the scripts of the review start besides the programs of the deploy
# file, whose build must have run: the stand-in for the platform, with the
# libraries in target/, and the driver of each case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review

libraries=()
for name in platform entry links wire instances contracts domains common \
  easylogging; do
  libraries+=("$(find target -name "libanvilloom_$name.a" -not -path '*/review/*')")
done
read -ra packages < <(pkg-config --libs libzmq protobuf liburcu-memb libxxhash \
  libcrypto)
g++ -std=c++20 -O1 -I. -pthread -DBOOST_LEAF_CFG_DIAGNOSTICS=0 \
  -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE -DBOOST_ASIO_NO_DEPRECATED \
  platform/standin/platform_api.cc standins/fault_injector.cc \
  platform/standin/programs/standin_platform.cc \
  -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
  "${packages[@]}" -lboost_json -lboost_program_options -lboost_system \
  -o target/review/standin_platform

for driver in review/[0-9]*/*.cc; do
  case=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread "$driver" \
    review/support/harness.cc -o "target/review/case-$case"
done
