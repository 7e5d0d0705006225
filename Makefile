PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEEDS ?= 1 50
PROJECTS := packages/geraniumshore-scheduler packages/geraniumshore packages/geraniumshored packages/geraniumshore-cli packages/geraniumshore-standins

.PHONY: setup test nocover quality soak demo bench format check proto schema

setup: $(STAMP)

$(STAMP): requirements.lock $(PROJECTS:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(PROJECTS:%=-e %)
	touch $@

test: setup
	$(BIN)/python -m pytest tests/cover

nocover: setup
	$(BIN)/python -m pytest tests/nocover

quality: setup
	$(BIN)/python -m pytest tests/quality

soak: setup
	$(BIN)/python -m geraniumshore_standins.platform_soak $(SEEDS)

demo: setup
	$(BIN)/python -m geraniumshore_standins.platform_demo
	$(BIN)/python -m geraniumshore_standins.demo

bench: setup
	$(BIN)/python -m geraniumshore_standins.experiment all

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages tests

proto: setup
	$(BIN)/python -m grpc_tools.protoc -Iproto --python_out=packages/geraniumshored/src/geraniumshored/internal --pyi_out=packages/geraniumshored/src/geraniumshored/internal --grpc_python_out=packages/geraniumshored/src/geraniumshored/internal proto/peer.proto
	sed -i 's/^import peer_pb2/from geraniumshored.internal import peer_pb2/' packages/geraniumshored/src/geraniumshored/internal/peer_pb2_grpc.py

schema: setup
	$(BIN)/python -m geraniumshore > schemas/release-note.json
