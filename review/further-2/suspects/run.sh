#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. What was sent, answered and run is
# written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
export RECORD="$PWD/record.txt"
exec python3 case.py
