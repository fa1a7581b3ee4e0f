#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. All of them are Python programs: this
# checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [0-9]/*.py ../platform/tests/soak/{standins,wire}.py <<'CHECK'
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
print("stand-ins:", len(sys.argv) - 1, "files")
CHECK
