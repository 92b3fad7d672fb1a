VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint behave bench bench-hop bench-control bench-settings bench-fleet bench-quarantine experiment fuzz soak clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip --disable-pip-version-check -q install -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m standins.demo

lint: $(STAMP)
	$(VENV)/bin/black --check -q src standins bench soak features
	$(VENV)/bin/ruff check -q src standins bench soak features
	$(VENV)/bin/mypy --no-error-summary

behave: $(STAMP)
	$(PY) -m features.run

test: lint behave

bench: $(STAMP)
	$(PY) -m bench.replay

bench-hop: $(STAMP)
	$(PY) -m bench.hop

fuzz: $(STAMP)
	$(PY) -m bench.fuzz

# SEED and SEEDS choose the plans: make soak SEED=7 SEEDS=3
soak: $(STAMP)
	$(PY) -m soak --first $(or $(SEED),1) --seeds $(or $(SEEDS),1)

bench-control: $(STAMP)
	$(PY) -m bench.control

bench-settings: $(STAMP)
	$(PY) -m bench.settings_cost

bench-fleet: $(STAMP)
	$(PY) -m bench.fleet

bench-quarantine: $(STAMP)
	$(PY) -m bench.quarantine

# Paired comparison of two selectors on the fixed deployments, and how far the oracle comes.
experiment: $(STAMP)
	$(PY) -m bench.model bounds

clean:
	rm -rf $(VENV) out
