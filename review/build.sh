#!/bin/sh
# Builds what the cases start besides the product: nothing. The stand-ins are
# written for Python's standard library; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins/*.py ?/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
