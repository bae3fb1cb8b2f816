.PHONY: build test lint lab demo run

build:
	cmp -s requirements.txt .venv/installed && test -x .venv/bin/finchladder || { python3 -m venv .venv && \
		.venv/bin/pip -q install -r requirements.txt && \
		.venv/bin/pip -q install --no-deps --config-settings editable_mode=compat -e . && \
		cp requirements.txt .venv/installed; }

.venv-dev/installed: requirements.txt requirements-dev.txt requirements-lab.txt requirements-system.txt
	test -x .venv-dev/bin/python || python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt -r requirements-lab.txt \
		-r requirements-system.txt
	touch $@

test: .venv-dev/installed
	.venv-dev/bin/python -m pytest -q -n 4

lint: .venv-dev/installed
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy
	.venv-dev/bin/lint-imports --no-cache

.venv-lab/installed: requirements.txt requirements-lab.txt
	test -x .venv-lab/bin/python || python3 -m venv .venv-lab
	.venv-lab/bin/pip -q install -r requirements.txt -r requirements-lab.txt
	touch $@

lab: .venv-lab/installed

demo: .venv-lab/installed
	.venv-lab/bin/python -m finchladder lab run benchmarks/demo.toml

run: .venv-lab/installed
	exec .venv-lab/bin/python -m finchladder lab serve benchmarks/demo.toml
