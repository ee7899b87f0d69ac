#!/bin/sh
# Builds what the scripts of the second review start. Stand-ins are Python and need no
# compiler: this checks that each can be loaded with the libraries of the deploy file's
# build, which must have run before.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:."
export PYTHONDONTWRITEBYTECODE=1
test -d target/deps || { echo "run the build of the deploy file first" >&2; exit 1; }
for module in standins.fleet_store standins.fleet_server standins.fleet_site \
    review.harness_2; do
    python3 -S -c "import $module"
done
echo "stand-ins of the second review: ready"
