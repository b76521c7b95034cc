# Build, test, lint and run weldbend.
PYTHON := .venv/bin/python
CONFIG ?= deploy/example.json

.PHONY: build test lint run demo

build: .venv/built

.venv/built: requirements.txt requirements-dev.txt requirements-lab.txt requirements-fleet.txt pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

demo: build
	$(PYTHON) -m weldbend lab demo

test: build
	$(PYTHON) .ci/known_red.py

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	$(PYTHON) -O -m weldbend serve --config $(CONFIG)
