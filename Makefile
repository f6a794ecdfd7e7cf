# `make help` lists the targets. What they need is listed in deploy/packages.txt and installed by `make setup`.
BENCH := build-bench
LINT := build-lint
KIT := ../given/kit
SITE := $(KIT)/sites/riga-main.toml
PYTHON_SCRIPTS := .ci bench tests .ci/acceptance
SHELL_SCRIPTS := .ci/run .ci/setup .ci/trial $(wildcard bench/libraries/*.sh)
TRIAL := $(KIT)/more/mass/bin/lbreal
MASS_DAYS := roll+mass split+mass join+mass herd+mass zone+mass calm+mass
WHY ?= The tree as it stands
# Builds and tests use all cores; where the variables are set already, as many jobs as these say.
export CMAKE_BUILD_PARALLEL_LEVEL ?= $(shell nproc)
export CTEST_PARALLEL_LEVEL ?= $(shell nproc)

# Builds, then runs the real program for ten seconds beside a small stand-in fleet, on loopback.
demo: bench ## ten seconds of the real program beside a small stand-in fleet
	python3 bench/rig.py --build $(BENCH) demo

help: ## this list
	@sed -n 's/^\([a-z-]*\):[^#]*## \(.*\)/\1|\2/p' $(firstword $(MAKEFILE_LIST)) | \
	  while IFS='|' read -r name what; do printf '  make %-14s %s\n' "$$name" "$$what"; done

setup: ## installs the packages that are missing; says nothing where none is
	@.ci/setup

build: ## build/cluster_manager and build/simulator_adapter
	@.ci/setup build
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build

faults: ## real processes with faults between them: make faults [SEEDS=3] [JOBS=4] [SCENARIOS="hall-cut island"]
	@.ci/setup build bench
	cmake -B $(BENCH) -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-g -DWILLOWRAIL_BUILD_BENCHMARKS=ON
	cmake --build $(BENCH) --target standin faults cluster_manager
	python3 bench/faults/trial.py --build $(BENCH) run $(SCENARIOS) --seeds $(or $(SEEDS),1) --jobs $(or $(JOBS),4)

replay: ## one entry of KNOWN-RED.txt again: make replay ENTRY=1 [COPIES=24] [ROUNDS=4] [BUSY=8] [KEEP=folder]
	python3 .ci/replay.py "$(ENTRY)" --copies $(or $(COPIES),24) --rounds $(or $(ROUNDS),4) --busy $(or $(BUSY),8) \
	  $(if $(KEEP),--keep "$(KEEP)")

test: ## the tests but those of KNOWN-RED.txt, with warnings as errors, ASan and UBSan
	@.ci/setup build test
	cmake --preset ci
	cmake --build --preset ci
	python3 .ci/run_tests.py build-ci

soak: ## shutdowns, signals and crowds from seeds: make soak [SEEDS=1-50] [JOBS=4] [LENGTH=30] [KEEP=folder]
	@.ci/setup build bench
	cmake -B $(BENCH) -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-g -DWILLOWRAIL_BUILD_BENCHMARKS=ON
	cmake --build $(BENCH) --target standin faults cluster_manager
	python3 bench/faults/soak.py --build $(BENCH) run --seeds $(or $(SEEDS),1-50) --jobs $(or $(JOBS),4) \
	  --length $(or $(LENGTH),30) $(if $(KEEP),--keep "$(KEEP)")

lint: ## C++, Python and shell style, clang-tidy over .ci/lint_folders.txt, includes, sizes, names, packages
	@.ci/setup build test bench lint
	find bench include src tests -name '*.cpp' -o -name '*.h' | xargs clang-format --dry-run --Werror
	python3 .ci/check_includes.py
	python3 .ci/check_sizes.py
	python3 .ci/check_test_names.py
	python3 .ci/check_packages.py
	python3 .ci/check_names.py
	black --check --quiet --diff $(PYTHON_SCRIPTS)
	flake8 $(PYTHON_SCRIPTS)
	shellcheck $(SHELL_SCRIPTS)
	cmake -B $(LINT) -DCMAKE_EXPORT_COMPILE_COMMANDS=ON -DBUILD_TESTING=ON -DWILLOWRAIL_BUILD_BENCHMARKS=ON
	python3 .ci/check_tidy.py $(LINT)
	python3 .ci/check_tidy.py $(LINT) --folders .ci/function_size_folders.txt --config-file .ci/function_size.yaml

run: build ## the program; needs ROUTER_CONFIG, the path of a configuration as the README describes it
	exec build/cluster_manager

bench: ## builds the stand-ins, the rigs and the benchmarks
	@.ci/setup build bench
	cmake -B $(BENCH) -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-g -DWILLOWRAIL_BUILD_BENCHMARKS=ON
	cmake --build $(BENCH)

# What a request costs, a line of JSON for each number of nodes and rate, held against the committed budget.
bench-path: bench ## what a request costs, counted, against the committed budget
	python3 bench/rig.py --build $(BENCH) path --rows 12x160,100x160 --check bench/path_budget.json

# The module by itself: nanoseconds and allocations an arrival, a probe answer, a change of the list.
bench-module: bench ## the decision module alone
	$(BENCH)/bench/module_bench

# The operators' bench is not part of this repository; docs/operators/fleet-trial.md says how to read it.
trial-quick: ## the operators' fleet trial, three days; WHY="one plain sentence"
	@.ci/trial "$(TRIAL)" "$(SITE)" "$(WHY)" --quick

trial: ## the operators' fleet trial, all days; WHY="one plain sentence"
	@.ci/trial "$(TRIAL)" "$(SITE)" "$(WHY)"

# What the bench wants beside a site file; laid there from the kit, and git-ignored.
sites: ## lays the bench's companion files beside our own sites in deploy/sites
	@[ -r $(KIT)/sites/real.json ] || { echo "sites: no kit in $(KIT). Set KIT=folder where it is." >&2; exit 2; }
	install -m 644 $(addprefix $(KIT)/sites/,real.json wire.json unlock.txt) deploy/sites

# One row a play goes to logs-acceptance/plays.tsv; docs/operators/fleet-trial.md says how to play.
acceptance: ## days seed by seed: make acceptance [SITE=...] [DAYS="roll+mass"] [SEEDS=1-3] [NODES=30,60] [JOBS=3]
	@.ci/acceptance "$(TRIAL)" "$(SITE)" --days "$(or $(DAYS),$(MASS_DAYS))" --seeds "$(or $(SEEDS),1-3)" \
	  --nodes "$(or $(NODES),30)" --jobs "$(or $(JOBS),3)" $(if $(SOCKETS),--sockets $(SOCKETS))

.PHONY: demo help setup build test lint run bench bench-path bench-module trial trial-quick faults sites acceptance
