#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ -d target/deps ]; then
    export PYTHONPATH="$PWD/src:$PWD/target/deps:$PWD/review"
    python=python3
elif [ -x .venv/bin/python ]; then
    export PYTHONPATH="$PWD/src:$PWD/review"
    python="$PWD/.venv/bin/python"
else
    echo "not built: run the build line of deploy/system.toml" >&2
    exit 2
fi
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 "$python" review/entry/case.py
