#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They are Python files without dependencies (review/rig),
# so this only checks that the interpreter of the deploy file's build can compile them.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m py_compile review/rig/rig.py review/[6-9]/case.py || exit 2
if [ -e review/10/case.py ]; then .venv/bin/python -m py_compile review/10/case.py || exit 2; fi
