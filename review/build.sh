#!/usr/bin/env bash
# Builds what the cases start besides the deploy file's build: their stand-ins are Python and only compiled here.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import py_compile
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for source in sorted(pathlib.Path(".").rglob("*.py")):
    py_compile.compile(str(source), doraise=True)
PY
