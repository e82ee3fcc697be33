# Two commands: `make demo` and `make test`.
VENV ?= .venv
PACKAGES := $(wildcard packages/*/src)
empty :=
space := $(empty) $(empty)
# Set order follows the hash seed; a fixed one gives tests the same verdict.
export PYTHONHASHSEED := 0
export PYTHONPATH := $(subst $(space),:,$(abspath $(PACKAGES))):$(CURDIR):$(CURDIR)/platform
PY := $(VENV)/bin/python
STAMP := $(VENV)/.requirements.stamp
SEED ?= 1
STEPS ?= 200
SECONDS ?= 20
COUNT ?= 1
KNOWN_RED := $(shell sed -n 's/^  deselect: //p' KNOWN-RED.txt)

.PHONY: setup test check format demo fuzz bench capacity soak
setup: $(STAMP)

$(STAMP): requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-build-isolation --no-deps $(addprefix -e ,$(wildcard packages/*))
	touch $@

check: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8 packages bench tests platform

format: setup
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

test: check
	$(PY) -m pytest -q -n 6 --dist loadfile $(addprefix --deselect=,$(KNOWN_RED))

fuzz: setup
	FUZZ_SEED=$(SEED) FUZZ_STEPS=$(STEPS) $(PY) -m pytest -q -m fuzz packages tests

demo: setup
	$(PY) -m tests.demo

bench: setup
	$(PY) -m bench

soak: setup
	$(PY) -m tests.adapter.soak --seed $(SEED) --seconds $(SECONDS) --count $(COUNT)

capacity: setup
	$(PY) -m bench.capacity
