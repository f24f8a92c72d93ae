# Targets for developers and CI. `make` without a target lists them.
BUILD := build/release

.PHONY: help packages build demo test format-check lint models bench clean

help:
	@echo "make demo          install packages, build, run a short demonstration on loopback"
	@echo "make test          install packages, build, run all tests and the models"
	@echo "make build         build the program and the tests"
	@echo "make models        check the Promela models with Spin"
	@echo "make format-check  fail if the formatter would change a file"
	@echo "make lint          run the linter; warnings are errors"
	@echo "make bench         compare calls through an entry instance with direct calls"

packages:
	@Tools/install-packages

build: packages
	@test -f $(BUILD)/build.ninja || cmake --preset release > /dev/null
	@cmake --build $(BUILD)

demo: build
	@echo "demo: starts an entry instance and the stand-ins in one process on loopback, sends requests, prints the responses and exits"
	@$(BUILD)/tanagerbay demo

test: build
	@echo "test: runs the unit tests, the scenarios, the installed-library test and the models"
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

models: packages
	@Models/run

format-check: packages
	@Tools/check-format

lint: build
	@Tools/lint $(BUILD)

bench: build
	@Bench/entry-overhead $(BUILD)/tanagerbay

clean:
	rm -rf build
