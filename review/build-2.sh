#!/usr/bin/env bash
# Prepares the stand-ins of review/6, review/7 and review/9, the project's own ones too.
# They are Python 3.11 and are only checked and compiled to byte code.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, tomllib; asyncio.timeout'
python3 -m py_compile platform/tests/soak/{wire,standins}.py \
  review/harness-2/harness.py review/{6,7,9}/case.py
