#!/usr/bin/env bash
# Measures libraries that stand for hand-written pieces; docs/design/libraries.md has the figures. Needs, beside
# the packages of [build]: libmicrohttpd-dev libboost-dev prometheus-cpp-dev python3. Builds in a folder of its own.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=$(mktemp -d)
trap 'rm -r "$out"' EXIT
net="src/net/connection.cpp src/net/listener.cpp src/net/loop.cpp src/net/log.cpp src/net/timer_wheel.cpp"

build() {  # NAME SOURCES AND LIBRARIES...
  local name=$1 begin end
  shift
  begin=$(date +%s%N)
  g++ -std=c++20 -O2 -Isrc -DPROBE_"$name" bench/libraries/probe.cpp "$@" -o "$out/$name"
  end=$(date +%s%N)
  strip "$out/$name"
  echo "$name: built in $(((end - begin) / 1000000)) ms, $(stat -c %s "$out/$name") bytes stripped"
}

build BASE
build HTTP_PARSER src/admin/request.cpp -lhttp_parser
build BEAST
# shellcheck disable=SC2086
build ADMIN src/admin/admin.cpp src/admin/calls.cpp src/admin/request.cpp $net src/containers/block_pool.cpp \
  -lev -lhttp_parser
build MICROHTTPD -lmicrohttpd
build COUNTERS
build PROMETHEUS -lprometheus-cpp-core
for name in BASE HTTP_PARSER BEAST ADMIN MICROHTTPD COUNTERS PROMETHEUS; do
  echo "$name"
  "$out/$name"
done
python3 - "$out" <<'PYTHON'
import statistics, subprocess, sys, time
names = ["BASE", "HTTP_PARSER", "BEAST", "ADMIN", "MICROHTTPD", "COUNTERS", "PROMETHEUS"]
took = {name: [] for name in names}
for _ in range(200):
    for name in names:
        begin = time.perf_counter()
        subprocess.run([f"{sys.argv[1]}/{name}", "start"], check=True)
        took[name].append((time.perf_counter() - begin) * 1000)
for name in names:
    print(f"{name}: started and ended in {statistics.median(took[name]):.2f} ms (median), {min(took[name]):.2f} ms (least)")
PYTHON
