#!/bin/bash
# The stand-ins of the third review's scripts are Python: the build of the deploy file lays all the
# libraries that they need into target/deps, and this checks that they can be loaded from there.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c 'import sys; sys.path.insert(0, "review"); import harness_3; import foxtrestle.standins.site'
