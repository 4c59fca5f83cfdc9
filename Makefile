# Short front to CMake and the test scripts.

BUILD ?= build
DEPLOYMENT ?= workshop
SEED ?= 1
N ?= 20
EVENTS ?= 100000
SEEDS ?= 1
JOBS ?= 300
SECONDS_OF_FAULTS ?= 15

.PHONY: all deps build check demo demo-repeat fleet soak chaos bench scale mutants slopes \
	format lint clean

all: build

deps:
	@scripts/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -DCMAKE_RULE_MESSAGES=OFF \
		-DCMAKE_TARGET_MESSAGES=OFF >/dev/null
	@$(MAKE) -C $(BUILD) --no-print-directory -j$$(nproc)

check: build
	@tests/check.sh

demo: build
	@tests/scripts/demo.sh $(DEPLOYMENT) $(SEED) $(JOBS)

demo-repeat: build
	@tests/scripts/demo-repeat.sh $(DEPLOYMENT) $(N)

fleet: build
	@$(BUILD)/tests/fleet --seed $(SEED) --seeds $(SEEDS)

soak: build
	@$(BUILD)/tests/soak --seed $(SEED) --seeds $(SEEDS) --events $(EVENTS)

chaos: build
	@tests/scripts/chaos.sh $(SEED) $(SEEDS) $(SECONDS_OF_FAULTS)

bench: build
	@$(BUILD)/tests/bench --seed $(SEED)

scale: build
	@$(BUILD)/tests/scale

mutants: build
	@tests/scripts/mutants.sh

slopes: build
	@tests/scripts/slopes.sh

format:
	@scripts/sources.sh | xargs clang-format -i

lint: build
	@scripts/lint.sh $(BUILD)

clean:
	@rm -rf build build-asan
