#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use only the
# libraries of the deploy file's build, so this checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
for case in review/[1-5]/case.py; do
    name=$(basename "$(dirname "$case")")
    python3 -c "import importlib; importlib.import_module('review.$name.case')"
done
