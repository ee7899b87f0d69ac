#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run is written to
# record.txt in this folder.
folder=review/5
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
PYTHONPATH="target/deps:src:."
PYTHONDONTWRITEBYTECODE=1
export TROUBLE PYTHONPATH PYTHONDONTWRITEBYTECODE
rm -f "$folder/record.txt"
[ -d target/deps ] || { echo "could not run: build first"; exit 2; }
python3 -S "$folder/case.py" "$folder/record.txt" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
code=$?
# A signal ends the wait early: the case still has to end what it started.
[ "$code" -gt 128 ] && wait "$case_pid"
# An error of Python itself ends with 1, so a broken rule has a code of its own.
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
