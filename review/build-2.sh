#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python files that need the standard library alone, so there is nothing to compile: each file
# is only read and checked. The router itself is built by the build line of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -B - lib-2/*.py {6,7,8,9,10}/*.py <<'CHECK'
import os
import sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        compile(open(path).read(), path, "exec")
CHECK
