PY = .venv/bin/python

.PHONY: setup demo test lint bench soak faults fuzz slopes mutants messages

setup: .venv/installed

.venv/installed: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet -e '.[dev]'
	touch .venv/installed

demo: setup
	$(PY) -m primrosehitch_lab.cli demo

test: setup
	$(PY) -m pytest

lint: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check --quiet .
	.venv/bin/flake8 .

bench: setup
	$(PY) -m primrosehitch_lab.cli bench

soak: setup
	$(PY) -m primrosehitch_lab.cli soak --seed $(or $(SEED),1)

faults: setup
	$(PY) -m primrosehitch_lab.cli faults --seed $(or $(SEED),1)

fuzz: setup
	FUZZ=explore $(PY) -m pytest -q --deselect tests/test_processes.py

slopes: setup
	$(PY) -m primrosehitch_lab.cli slopes

mutants: setup
	$(PY) tools/mutants.py

messages: setup
	$(PY) tools/generate_messages.py
	$(PY) tools/generate_types.py
	$(PY) tools/generate_events.py
	$(PY) tools/generate_checks.py
	.venv/bin/ruff check --select I --fix --quiet primrosehitch
	.venv/bin/ruff format --quiet primrosehitch
