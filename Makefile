PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: capacity demo test lint format

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo.run

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
