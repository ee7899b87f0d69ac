#!/bin/sh
# Exits with 1 if OWNER was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "could not run: build first"; exit 2; }
exec python3 review/2/case.py
