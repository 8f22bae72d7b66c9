# A fresh machine needs Python 3.11 and make; the rest comes from the lock.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
UV_VERSION := 0.13.9
# What the binary holds; the other packages are for developers and operators.
SHIPPED := $(addprefix packages/,cli configuration decisions fleet platform \
	proxy published telemetry)
SHIPPED_SOURCES := $(shell find $(SHIPPED) -name '*.py') \
	$(addsuffix /pyproject.toml,$(SHIPPED))
SITE := build/site

.PHONY: install test lint format unit demo binary lock clean

install: $(VENV)/installed

$(VENV)/installed: requirements/develop.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		uv==$(UV_VERSION)
	$(BIN)/uv pip sync --quiet --python $(BIN)/python --require-hashes \
		requirements/develop.lock
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps \
		--no-build-isolation $(foreach p,$(sort $(wildcard packages/*)),-e $(p))
	touch $@

lint: install
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8 packages tests tools
	$(BIN)/lint-imports --no-cache > build-lint.txt 2>&1 || \
		{ cat build-lint.txt; rm build-lint.txt; exit 1; }
	@rm build-lint.txt
	$(BIN)/python -m tools.check_imports packages tests tools

format: install
	$(BIN)/ruff check --quiet --fix --select I .
	$(BIN)/ruff format --quiet .

unit: install
	$(BIN)/python -m tools.run_tests

test: lint binary unit

demo: install
	$(BIN)/python -m primrosemill.measure demo

binary: dist/primrosemill

# Files that name folders of this machine or times of the build are left out,
# so the same sources make the same binary.
# Our own packages are built from nothing each time: what setuptools and the
# cache of uv keep of them does not follow a change of a source file.
dist/primrosemill: requirements/runtime.lock $(SHIPPED_SOURCES) | install
	rm -rf $(SITE) $(addsuffix /build,$(SHIPPED))
	$(BIN)/uv pip install --quiet --python $(BIN)/python --target $(SITE) \
		--require-hashes -r requirements/runtime.lock
	$(BIN)/uv pip install --quiet --python $(BIN)/python --target $(SITE) \
		--no-cache --no-deps --no-build-isolation $(SHIPPED)
	rm -rf $(addsuffix /build,$(SHIPPED))
	find $(SITE) -depth -type d -name tests -exec rm -r {} +
	rm -r $(SITE)/bin
	find $(SITE) \( -name direct_url.json -o -name 'uv_*.json' \
		-o -name RECORD -o -name .lock \) -delete
	mkdir -p dist
	$(BIN)/shiv --site-packages $(SITE) --console-script primrosemill \
		--output-file $@.new --root '~/.cache/primrosemill' \
		--compressed --reproducible --python '/usr/bin/env python3.11'
	mv $@.new $@

# Renews the locks; they name versions and digests, and no registry.
lock: install
	for set in runtime develop; do $(BIN)/uv pip compile --quiet \
		--upgrade --generate-hashes --python-version 3.11 --no-header \
		--no-annotate --no-emit-index-url requirements/$$set.in \
		-o requirements/$$set.lock || exit 1; done

clean:
	rm -rf $(VENV) build dist .stestr .hypothesis
