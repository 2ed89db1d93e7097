#!/bin/sh
# The stand-ins are Python and need no build; this checks that they can be read by the interpreter that will run them.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in glob.glob("common/*.py") + glob.glob("*/case.py") + glob.glob("../tests/auto/usersplatform/soak/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
