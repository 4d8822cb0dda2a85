#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python scripts of the standard library alone, so this checks that python3 is new enough
# (tomllib: 3.11) and compiles them. Nothing is written.
set -eu
cd "$(dirname "$0")"
exec python3 - <<'PYTHON'
import glob, sys, tomllib
for path in sorted(glob.glob("lib-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
PYTHON
