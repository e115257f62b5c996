# Every target works from a fresh clone with Python 3.11 and nothing else.
VENV ?= .venv
PYTHON ?= python3.11
RUN = PYTHONPATH=$(CURDIR) PYTHONHASHSEED=0 $(VENV)/bin/python
SEED ?= 1

BENCH ?=
SITES ?=

.PHONY: help regression test lint format reference golden core-soak soak bench demo kill-test measure-entry live-round

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/\t/'

$(VENV)/.installed: pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -e '.[test]'
	touch $@

lint: $(VENV)/.installed  ## Run the formatter's check and the linter.
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/.installed  ## Format the code.
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

reference: $(VENV)/.installed  ## Make docs/settings.md and docs/errors.md from the code.
	$(RUN) -m sassafrasloft.operators.reference

golden: $(VENV)/.installed  ## Rewrite the golden files of sessions; read the diff.
	$(RUN) -m sassafrasloft.testing.sessions

core-soak: $(VENV)/.installed  ## Run the trial version's cores in an event queue with SEED.
	$(RUN) -m benchmarks.soak --seeds=$(SEED)

soak: $(VENV)/.installed  ## Run instances as processes with faults; SEED is 1, 1-20 or 3,7.
	cd platform && PYTHONPATH=$(CURDIR) PYTHONHASHSEED=0 ../$(VENV)/bin/python -m soak --seeds=$(SEED)

test: lint  ## Run formatter, linter and all tests.
	$(RUN) -m pytest -n 4
	cd platform && PYTHONHASHSEED=0 ../$(VENV)/bin/python -m pytest -n 2
	cd platform && PYTHONHASHSEED=0 ../$(VENV)/bin/python -m pytest hostile_clients

demo: $(VENV)/.installed  ## Show a whole service of real processes on loopback.
	$(RUN) -m benchmarks.demo

kill-test: $(VENV)/.installed  ## End or pause an entry instance amid jobs.
	$(RUN) -m benchmarks.kill_test

measure-entry: $(VENV)/.installed  ## Measure an entry process: processor time, memory.
	$(RUN) -m benchmarks.measure_entry

bench: $(VENV)/.installed  ## Compare policies with their baselines on both deployments.
	$(RUN) -m benchmarks.policies --output=benchmarks/results/policies.json

live-round: $(VENV)/.installed  ## Run the same jobs on real processes and in the event queue.
	$(RUN) -m benchmarks.live_round --loads=0.3,0.7

regression: $(VENV)/.installed  ## Score SITES with the users' bench BENCH and compare.
	for site in $(SITES); do $(BENCH) score $$site --why "regression" || exit 1; done
	$(RUN) -m benchmarks.compare_scores
