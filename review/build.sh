#!/bin/sh
# The stand-ins of the scripts are Python programs and need no build; this checks them.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib
for name in ["testing/line_standins.py", *map(str, pathlib.Path("review").rglob("*.py"))]:
    ast.parse(pathlib.Path(name).read_text(), name)
CHECK
