PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install format lint types test binary demo soak experiment clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: install
	$(BIN)/black --quiet tamarackhatch standins soak fleetmodel scripts conftest.py

lint: install
	$(BIN)/black --check --quiet tamarackhatch standins soak fleetmodel scripts conftest.py
	$(BIN)/flake8 tamarackhatch standins soak fleetmodel scripts conftest.py

types: install
	$(BIN)/mypy

test: install
	$(BIN)/python -m pytest

binary: install
	sh scripts/build-binary.sh dist/tamarackhatch

demo: install
	$(BIN)/python -m standins.demo

# Random faults on real processes: make soak SEEDS=50 FIRST=1 SECONDS=45
SEEDS ?= 10
FIRST ?= 1
SECONDS ?= 45
soak: install
	$(BIN)/python -m soak --seed $(FIRST) --seeds $(SEEDS) --seconds $(SECONDS)

# Compares policies: make experiment VARIANTS='-v "" -v patience=4'
experiment: install
	$(BIN)/python -m fleetmodel $(VARIANTS)

clean:
	rm -rf $(VENV) build dist *.egg-info
