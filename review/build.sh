#!/bin/sh
# Builds what the cases start beside the program of the deploy file. The stand-ins are Python without packages, so there
# is nothing to compile: this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' standins/*.py [0-9]/case.py
