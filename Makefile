PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
BENCH ?= all
EXAMPLE ?= receita-continua

SEED ?= 1
EXAMPLES ?= 20
WORKERS ?= 4
SECONDS ?= 60

.PHONY: try test crowds explore lint bench soak clean

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

try: $(VENV)/ready
	$(BIN)/python -m foxtrestle.trial examples/$(EXAMPLE).toml

test: $(VENV)/ready
	$(BIN)/python -m pytest -n $(WORKERS) --dist worksteal -m "not crowd"
	$(MAKE) crowds

crowds: $(VENV)/ready
	$(BIN)/python -m pytest -m crowd

explore: $(VENV)/ready
	FOXTRESTLE_EXAMPLES=$(EXAMPLES) $(BIN)/python -m pytest -n $(WORKERS) -m hypothesis --hypothesis-profile=fresh

lint: $(VENV)/ready
	$(BIN)/ruff format --check src tests benches soak
	$(BIN)/ruff check src tests benches soak
	$(BIN)/mypy

bench: $(VENV)/ready
	@$(BIN)/python -m benches $(BENCH)

soak: $(VENV)/ready
	$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf $(VENV)
