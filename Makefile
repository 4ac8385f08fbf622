# Development tasks; `make` without a target lists them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SITE ?= consortium
SEED ?= 1
STEPS ?= 2000

.PHONY: help install run cell test unit lint format types soak storm bench clean

help:  ## Lists the targets.
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(BIN)/mulberryhitch: pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(BIN)/mulberryhitch

install: $(BIN)/mulberryhitch  ## Creates the virtual environment.

run: install  ## Runs a whole cell in one process on 127.0.0.1:8700.
	$(BIN)/mulberryhitch-local

cell: install  ## Runs SITE's cell as separate processes on loopback.
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/cell.sh $(SITE)

test: install lint types unit  ## Runs lint, types and tests, as CI does.

unit: install  ## Runs the tests only.
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check mulberryhitch tests benchmarks
	$(BIN)/flake8 mulberryhitch

types: install
	$(BIN)/mypy

format: install  ## Formats the code.
	$(BIN)/ruff format mulberryhitch tests benchmarks

soak: install  ## Runs a long randomised test: make soak SEED=1 STEPS=2000.
	SOAK_SEED=$(SEED) SOAK_STEPS=$(STEPS) $(BIN)/python -m tests.soak

storm: install  ## Runs the platform's programs under faults: make storm SEED=1.
	$(BIN)/python -m tests.storm --seed $(SEED)

bench: install  ## Runs every benchmark, one after another.
	for file in benchmarks/bench_*.py; do $(BIN)/python -m benchmarks.$$(basename $$file .py); done

clean:  ## Removes the virtual environment, caches, build output and data.
	rm -rf $(VENV) build data .mypy_cache .ruff_cache .pytest_cache
