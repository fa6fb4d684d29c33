# Entry points for people and for CI; CMake does the work.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build test demo format check-format lint measure

packages:
	tools/install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: packages build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: packages build
	testing/demo/run-demo $(BUILD)

format:
	tools/format

check-format:
	tools/format --check

lint: build
	tools/lint $(BUILD)
