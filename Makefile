# `setup` runs again only after the pinned versions or a package definition change; VENV may name a
# shared environment.
VENV ?= .venv
PYTHON ?= python3.11
STAMP := $(VENV)/.installed
PACKAGES := packages/carawayshore packages/carawayd packages/carawayctl packages/standins
SOURCES := $(CURDIR)/packages/carawayshore/src:$(CURDIR)/packages/carawayd/src:$(CURDIR)/packages/carawayctl/src:$(CURDIR)/packages/standins/src
export PYTHONPATH := $(SOURCES)
RUN := $(VENV)/bin/python

.PHONY: setup demo serve test lint format bench matrix fleet-matrix mutations

setup: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $(STAMP)

# Runs two data centres on loopback and prints the verdicts on the documented guarantees; JSON=1
# prints one JSON object.
demo: setup
	@$(RUN) -m carawayshore_standins.demo $(if $(JSON),--json)

# Runs the demonstration deployment until interrupted; JSON=1 prints one JSON object.
serve: setup
	@$(RUN) -m carawayshore_standins.launcher $(if $(JSON),--json)

test: setup
	@$(RUN) tools/check.py

lint: setup
	$(RUN) -m black --check --quiet packages features benchmarks tools
	$(RUN) -m ruff check packages features benchmarks tools

format: setup
	$(RUN) -m black --quiet packages features benchmarks tools
	$(RUN) -m ruff check --fix --quiet packages features benchmarks tools

bench: setup
	@$(RUN) -m benchmarks

# Runs the fault matrix of requests, or the part that ARGUMENTS selects (docs/fault-matrix.md).
matrix: setup
	@$(RUN) tools/matrix.py $(ARGUMENTS)

# Runs the fault matrix of the fleet (about 25 minutes), or the part that ARGUMENTS selects.
fleet-matrix: setup
	@$(RUN) tools/fleet_matrix.py $(ARGUMENTS)

# Mutation test: disables one guard at a time and writes docs/mutations.md.
mutations: setup
	@$(RUN) tools/mutations.py
