# Everything sets itself up: the first target that needs it makes the environment.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

.PHONY: run test lint generate check-generated mutants ablation clean \
	bench bench-path bench-relay bench-capacity bench-clients bench-idle bench-control bench-start soak

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

run: $(STAMP)
	@$(BIN)/python -m extras.demo --shape $(or $(SHAPE),haneul)

test: $(STAMP) lint check-generated
	$(BIN)/python -m tests

lint: $(STAMP)
	$(BIN)/python extras/check_wire.py
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

generate: $(STAMP)
	$(BIN)/python extras/generate.py
	$(BIN)/python -m extras.write_docs

check-generated: $(STAMP)
	$(BIN)/python extras/generate.py --check
	$(BIN)/python -m extras.write_docs --check

bench: $(STAMP)
	$(BIN)/python -m extras.bench $(ARGS)

bench-path: $(STAMP)
	$(BIN)/python -m extras.bench_path $(ARGS)

bench-relay: $(STAMP)
	$(BIN)/python -m extras.bench_relay $(ARGS)

bench-capacity: $(STAMP)
	$(BIN)/python -m extras.bench_capacity $(ARGS)

clean:
	rm -rf $(VENV) build *.egg-info .hypothesis

mutants: $(STAMP)
	$(BIN)/python -m extras.mutants $(ARGS)

ablation: $(STAMP)
	$(BIN)/python -m extras.ablation $(ARGS)

bench-clients: $(STAMP)
	$(BIN)/python -m extras.bench_clients

soak: $(STAMP)
	$(BIN)/python -m extras.soak $(ARGS)

bench-idle: $(STAMP)
	$(BIN)/python -m extras.bench_idle $(ARGS)

bench-control: $(STAMP)
	$(BIN)/python -m extras.bench_control $(ARGS)

bench-start: $(STAMP)
	$(BIN)/python -m extras.bench_start $(ARGS)
