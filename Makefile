# `make demo` and `make test` are the two commands of the README.
PY = .venv/bin/python
STAMP = .venv/.installed

.PHONY: demo up test lint types format measure mutants soak binary

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.lock
	.venv/bin/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m tools.demo

ROUTERS ?= 3
ENGINES ?= 2
up: $(STAMP)
	$(PY) -m tools.up --routers $(ROUTERS) --engines $(ENGINES)

test: $(STAMP)
	$(PY) -m tests

lint: $(STAMP)
	.venv/bin/ruff format --check src tests tools
	.venv/bin/flake8 src tests tools

types: $(STAMP)
	.venv/bin/mypy src
	.venv/bin/mypy tests tools

format: $(STAMP)
	.venv/bin/ruff format src tests tools

measure: $(STAMP)
	$(PY) -m tools.measure

SEEDS ?= 50
soak: $(STAMP)
	$(PY) -m tests.soak --fresh $(SEEDS)

mutants: $(STAMP)
	$(PY) -m tools.mutants

binary: $(STAMP)
	mkdir -p dist
	.venv/bin/shiv -q -e dykemast._internal.cli.main:main \
		--root /dev/shm/dykemast -o dist/dykemast -r requirements.run.lock .
