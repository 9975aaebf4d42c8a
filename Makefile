# Development commands. Each one sets up what it needs.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
WORKERS ?= 6

.PHONY: setup format lint types tests test demo

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt --editable ".[dev]"
	touch $(STAMP)

format: setup
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --fix --quiet .

lint: setup
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m ruff check --quiet .

types: setup
	$(PYTHON) -m mypy

tests: setup
	$(PYTHON) -m pytest -n $(WORKERS) --dist loadgroup

test: lint types tests

SCENARIO ?= himal
ARGS ?=
demo: setup
	$(PYTHON) -m lab demo --scenario $(SCENARIO) $(ARGS)
