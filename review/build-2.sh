#!/bin/bash
# Checks that the stand-ins of cases 4 to 8 can be started; Python needs no other build of them. The
# libraries are those that the build line of deploy/system.toml has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps:src:review/kit-2 PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import deployment, traffic, foxtrestle.standins.site"
