#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
set -euo pipefail
options=()
[ "${TROUBLE:-1}" != 0 ] || options+=(--without-trouble)
exec python3 "$(dirname "$0")/case.py" "${options[@]}"
