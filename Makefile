# make [demo|build|test|lint|run|bench-path|bench-module]. What they need is listed under packages in
# deploy/balancer.toml; demo and the benches also need python3, binutils, libpcg-cpp-dev and libbenchmark-dev.
SOURCES := $(shell git ls-files '*.cpp' '*.h')
BENCH := build-bench

# Builds, then runs the real program for ten seconds beside a small stand-in fleet, on loopback.
demo: bench
	python3 bench/rig.py --build $(BENCH) demo

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake --workflow --preset ci

lint:
	clang-format --dry-run --Werror $(SOURCES)
	python3 .ci/check_rooms.py

# Needs ROUTER_CONFIG, the path of a configuration as the README describes it.
run: build
	exec build/willowrail

bench:
	cmake -B $(BENCH) -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-g -DWILLOWRAIL_BENCH=ON
	cmake --build $(BENCH) -j4

# What a request costs, a line of JSON for each number of nodes and rate, held against the committed budget.
bench-path: bench
	python3 bench/rig.py --build $(BENCH) path --rows 12x160,100x160 --check bench/path_budget.json

# The module by itself: nanoseconds and allocations an arrival, a probe answer, a change of the list.
bench-module: bench
	$(BENCH)/bench/module_bench

.PHONY: demo build test lint run bench bench-path bench-module
