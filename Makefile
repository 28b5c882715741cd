VENV ?= .venv
PYTHON ?= python3
STAMP := $(VENV)/.installed

.PHONY: demo test lint measure proofs slopes clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(STAMP)
	VENV=$(VENV) scripts/demo.sh

test: $(STAMP)
	$(VENV)/bin/python -m tests

lint: $(STAMP)
	$(VENV)/bin/black --check -q .
	$(VENV)/bin/ruff check -q .

measure: $(STAMP)
	$(VENV)/bin/python scripts/measure_path.py

# Some ten minutes; make slopes ONLY="path nodes" runs those alone and keeps the other figures.
slopes: $(STAMP)
	$(VENV)/bin/python scripts/slopes.py $(ONLY)
	PYTHONPATH=. $(VENV)/bin/python scripts/capacity.py

proofs: $(STAMP)
	PYTHONHASHSEED=0 $(VENV)/bin/python -m tests.matrix

clean:
	rm -rf $(VENV)
