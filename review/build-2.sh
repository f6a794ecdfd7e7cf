#!/bin/sh
# Builds what the cases 6 to 10 start beside the program. Their stand-ins are Python files, so this only checks that
# they compile and that the program of the deploy file is there. The project's own stand-ins are not started.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "build-2.sh: python3 is missing" >&2; exit 2; }
for file in site2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x ../build/cluster_manager ] || { echo "build-2.sh: run the build of the deploy file first" >&2; exit 2; }
