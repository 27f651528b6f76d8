# One build script for the whole workspace; every target does its own set-up.
PYTHON ?= python3
BIN := .venv/bin
# An environment of another kind of machine or interpreter is made anew.
MACHINE := $(shell $(PYTHON) -c 'import platform; print(platform.machine(), platform.python_version(), sep="-")')
STAMP := .venv/.installed-$(MACHINE)
PACKAGES := $(foreach p,core node ctl lab,-e packages/$(p)) -e platform
SOURCES := packages platform tests
TOOLS := hypothesis import-linter mypy pytest ruff testtools types-tabulate

.PHONY: setup test lint format types contract docs check demo bench soak slopes capacity

setup: $(STAMP)

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv --clear .venv
	$(BIN)/pip install --quiet -c constraints.txt setuptools wheel
	$(BIN)/pip install --quiet -c constraints.txt $(TOOLS)
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation $(PACKAGES)
	touch $(STAMP)

docs: $(STAMP)
	$(BIN)/python -m pytest tests/quality

test: $(STAMP)
	$(BIN)/python -m pytest tests

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

types: $(STAMP)
	$(BIN)/python -m mypy

contract: $(STAMP)
	$(BIN)/lint-imports

check: lint types contract docs test

demo: $(STAMP)
	$(BIN)/tamarack lab demo

bench: $(STAMP)
	$(BIN)/tamarack lab bench --output out/bench.json

slopes: $(STAMP)
	$(BIN)/tamarack lab slopes --output out/slopes.json

soak: $(STAMP)
	TAMARACK_PROFILE=soak $(BIN)/python -m pytest -s tests/slow

capacity: $(STAMP)
	$(BIN)/tamarack capacity --targets-file docs/capacity/sizes.json --page docs/CAPACITY.md
