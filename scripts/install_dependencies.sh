#!/usr/bin/env bash
# Installs the Debian packages needed to build, test and lint anvilloom.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config curl git
  clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
  libboost-system1.81-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev
  libeasyloggingpp-dev liburcu-dev libxxhash-dev libssl-dev
  catch2 libtrompeloeil-cpp-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
