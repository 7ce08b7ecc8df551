PY := .venv/bin/python
CONTRACT ?= examples/tabuleiro.contract
SECONDS ?= 60
MINUTES ?= 5
PACKAGES := packages/dotterelgrade packages/dotterelgrade-routing \
	packages/dotterelgrade-front platform packages/dotterelgrade-entry \
	packages/dotterelgrade-agent packages/dotterelgrade-standins
SOURCES := packages platform examples benchmarks

.PHONY: demo test lint format fuzz soak mutants bench capacity

.venv/installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv .venv
	$(PY) -m pip install -q -c constraints.txt setuptools wheel
	$(PY) -m pip install -q --no-build-isolation -c constraints.txt \
		$(addprefix -e ,$(PACKAGES))
	touch $@

demo: .venv/installed
	$(PY) -m dotterelgrade_standins demo --contract $(CONTRACT)

test: .venv/installed
	$(PY) -m pytest

lint: .venv/installed
	.venv/bin/ruff format --check $(SOURCES)
	.venv/bin/ruff check $(SOURCES)

format: .venv/installed
	.venv/bin/ruff format $(SOURCES)
	.venv/bin/ruff check --fix $(SOURCES)

fuzz: .venv/installed
	$(PY) -m dotterelgrade_standins fuzz --seconds $(SECONDS)

soak: .venv/installed
	$(PY) -m dotterelgrade_standins soak --minutes $(MINUTES)

mutants: .venv/installed
	$(PY) -m dotterelgrade_standins mutants

bench: .venv/installed
	$(PY) -m dotterelgrade_standins bench

capacity: .venv/installed
	$(PY) -m dotterelgrade_standins capacity
