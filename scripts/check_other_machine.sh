#!/usr/bin/env bash
# Compiles the sources for the other kind of machine, arm64 on x86-64 and the
# reverse, with the compile commands of BUILD_FOLDER, the first argument. Some
# warnings depend on the machine, since inlining does. Discards the result.
# Needs the package g++-aarch64-linux-gnu or g++-x86-64-linux-gnu; not part of
# the CI script. Further arguments limit it to sources below these folders.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
folders=("${@:-.}")

if [ "$(uname -m)" = x86_64 ]; then
  compiler=aarch64-linux-gnu-g++
else
  compiler=x86_64-linux-gnu-g++
fi
command -v "$compiler" >/dev/null || {
  echo "$compiler is not installed." >&2
  exit 2
}

# The headers of this machine come last: those of the C library and of the
# compiler are the other machine's, and libraries are the same on both.
headers="-idirafter /usr/include -idirafter /usr/include/$(uname -m)-linux-gnu"
# Removes GCC's precompiled header, which is for this machine.
commands=$(grep '"command":' "$build/compile_commands.json" |
  sed -E 's/^ *"command": "(.*)",?$/\1/; s/\\(["\\])/\1/g;
    s/ -Winvalid-pch//; s/ -include [^ ]*cmake_pch\.hxx//; s/ -fpch-preprocess//;
    s/ -o [^ ]*\.o / -o \/dev\/null /' |
  sed -E "s|^[^ ]*c\+\+ |$compiler $headers |" |
  grep -v ' -c /[^ ]*\.hxx\.cxx$')

selected=$(for folder in "${folders[@]}"; do
  grep -F -- "-c $(cd "$folder" && pwd)/" <<<"$commands"
done)
tr '\n' '\0' <<<"$selected" |
  xargs -0 -P "$(nproc)" -I{} bash -c '{}'
echo "compiled $(wc -l <<<"$selected") sources with $compiler"
