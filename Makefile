# The index of chores. `make` alone lists them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SITE ?= consortium
SEED ?= 1
STEPS ?= 2000

.PHONY: help install run cell test unit lint format types soak storm bench clean

help:  ## Lists the chores.
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(BIN)/mulberryhitch: pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(BIN)/mulberryhitch

install: $(BIN)/mulberryhitch  ## Makes the virtual environment.

run: install  ## Starts a whole cell in one process on 127.0.0.1:8700.
	$(BIN)/mulberryhitch-local

cell: install  ## Starts SITE's cell as separate processes on loopback.
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/cell.sh $(SITE)

test: install lint types unit  ## Lint, types and tests: what CI runs.

unit: install  ## The tests alone.
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check mulberryhitch tests benchmarks
	$(BIN)/flake8 mulberryhitch

types: install
	$(BIN)/mypy

format: install  ## Formats the code.
	$(BIN)/ruff format mulberryhitch tests benchmarks

soak: install  ## A long randomised run: make soak SEED=1 STEPS=2000.
	SOAK_SEED=$(SEED) SOAK_STEPS=$(STEPS) $(BIN)/python -m tests.soak

storm: install  ## The platform's programs under faults: make storm SEED=1.
	$(BIN)/python -m tests.storm --seed $(SEED)

bench: install  ## Every benchmark, one after another.
	for each in benchmarks/bench_*.py; do $(BIN)/python -m benchmarks.$$(basename $$each .py); done

clean:  ## Removes what the chores made.
	rm -rf $(VENV) build data .mypy_cache .ruff_cache .pytest_cache
