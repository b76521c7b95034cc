#!/bin/sh
# Builds what the cases start. The stand-ins are plain Python files that use the standard library only, so
# this only compiles them, with the interpreter of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review > /dev/null
