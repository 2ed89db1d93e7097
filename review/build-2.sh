#!/bin/sh
# The scripts of review/6 to review/10 start the program of the deploy file and stand-ins in Python, which need no build; this
# checks that the interpreter that will run them can read them.
set -e
cd "$(dirname "$0")"
python3 - common-2/standins.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import ast
import sys

if sys.version_info < (3, 10):
    sys.exit("Python 3.10 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
