#!/usr/bin/env bash
# Measures ways to keep records; docs/design/store.md has the figures. Needs, beside the packages of [build]:
# libsqlite3-dev liblmdb-dev. Builds and writes in a folder of its own under the current one: name a real disk's.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
out=$(mktemp -d "$PWD/store-probe.XXXXXX")
trap 'rm -r "$out"' EXIT

build() {  # NAME SOURCES AND LIBRARIES...
  local name=$1
  shift
  g++ -std=c++20 -O2 -I"$root/src" -DPROBE_"$name" "$root/bench/libraries/store_probe.cpp" "$@" -o "$out/$name"
  strip "$out/$name"
}

build PLAIN
build LMDB -llmdb
build SQLITE "$root/src/store/store.cpp" -lsqlite3
for name in PLAIN LMDB SQLITE; do
  echo "$name: $(stat -c %s "$out/$name") bytes stripped, $(ldd "$out/$name" | grep -c '=>') libraries"
  "$out/$name" "$out/$name.db"
done
