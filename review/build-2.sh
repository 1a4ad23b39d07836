#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are written in
# Python's standard library, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' standins2.py $(ls 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null)
