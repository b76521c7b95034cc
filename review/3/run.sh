#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "no build: run the deploy file's build line first"; exit 2; }
exec ../../.venv/bin/python -B case.py
