#!/bin/sh
# The stand-ins of review/6 to review/10 are Python and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common-2/standins.py [6-9]/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
