# Entry points of the project; every target installs what it needs.
BUILD := build
SANITIZED := build-sanitized
LINT := build-lint
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := true
export CCACHE_SLOPPINESS := pch_defines,time_macros,include_file_mtime,include_file_ctime

# Runs of `make soak`, and the seed of the first one. SANITIZE=1 plays them with programs under ASan and UBSan.
SEEDS ?= 50
FIRST_SEED ?= 1
SANITIZE ?= 0
SANITIZED_PROCESSES := build-sanitized-processes
SOAK_BUILD := $(if $(filter 1,$(SANITIZE)),$(SANITIZED_PROCESSES),$(BUILD))

.PHONY: all packages demo test soak bench lint bench-capacity format clean

all: $(BUILD)/build.ninja
	cmake --build $(BUILD)

packages:
	@scripts/install-packages.sh

$(BUILD)/build.ninja: CMakeLists.txt | packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

$(SANITIZED)/build.ninja: CMakeLists.txt | packages
	cmake -S . -B $(SANITIZED) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DLYCHEE_SANITIZE=ON

$(SANITIZED_PROCESSES)/build.ninja: CMakeLists.txt | packages
	cmake -S . -B $(SANITIZED_PROCESSES) -G Ninja -DCMAKE_BUILD_TYPE=Debug -DLYCHEE_SANITIZE_PROCESSES=ON

demo: $(BUILD)/build.ninja
	cmake --build $(BUILD) --target lycheecoursed lycheectl standins demo
	$(BUILD)/demo --build_dir=$(BUILD)

test: $(BUILD)/build.ninja $(SANITIZED)/build.ninja
	cmake --build $(BUILD)
	cmake --build $(SANITIZED)
	scripts/run-tests.sh $(BUILD)
	scripts/run-tests.sh $(SANITIZED)

soak: $(SOAK_BUILD)/build.ninja
	cmake --build $(SOAK_BUILD) --target soak lycheecoursed standins
	mkdir -p $(SOAK_BUILD)/soak-logs
	$(SOAK_BUILD)/soak --build_dir=$(SOAK_BUILD) --seeds=$(SEEDS) --first_seed=$(FIRST_SEED) \
		--seed_file=tests/soak/regressions.txt --log_dir=$(SOAK_BUILD)/soak-logs

bench: $(BUILD)/build.ninja
	cmake --build $(BUILD)
	scripts/bench.sh $(BUILD)

bench-capacity: $(BUILD)/build.ninja
	cmake --build $(BUILD)
	$(BUILD)/bench_capacity

lint: packages
	cmake -S . -B $(LINT) -G Ninja -DLYCHEE_LINT=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	scripts/lint.sh $(LINT)

format: packages
	clang-format -i $$(git ls-files -co --exclude-standard '*.cpp' '*.h')

clean:
	rm -rf $(BUILD) $(SANITIZED) $(SANITIZED_PROCESSES) $(LINT)
