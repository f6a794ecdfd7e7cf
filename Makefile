# make [build|test|lint|run]; what they need is listed under packages in deploy/balancer.toml.
SOURCES := $(shell git ls-files '*.cpp' '*.h')

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake --workflow --preset ci

lint:
	clang-format --dry-run --Werror $(SOURCES)

# Needs ROUTER_CONFIG, the path of a configuration as the README describes it.
run: build
	exec build/willowrail

.PHONY: build test lint run
