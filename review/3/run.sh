#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
timeout -k 3 115 python3 -B case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
