PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: bench-path bench-recovery capacity demo test explore soak lint format

$(VENV)/.installed: pyproject.toml constraints.txt
	@$(PYTHON) -c 'import sys; sys.version_info >= (3, 11) or sys.exit("Python 3.11 or later is needed, this is %d.%d; name another one: make PYTHON=python3.11 ..." % sys.version_info[:2])'
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo.run
	$(BIN)/python -m demo.fleet

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

bench-path: $(VENV)/.installed
	$(BIN)/python -m bench.request_path

bench-recovery: $(VENV)/.installed
	$(BIN)/python -m bench.recovery

test: $(VENV)/.installed
	$(BIN)/python -m tests.run

# A few minutes: the seeds that once broke something, then new ones.
soak: $(VENV)/.installed
	$(BIN)/python -m soak.run
	$(BIN)/python -m soak.run --fresh 4

explore: $(VENV)/.installed
	$(BIN)/python -m tests.explore_ownership

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
