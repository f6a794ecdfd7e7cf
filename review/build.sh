#!/bin/sh
# The stand-ins of review/ are Python from its standard library alone: nothing is compiled. This checks that the
# interpreter is there and reads them, and that the program has been built as the deploy file says.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "review: python3 is missing" >&2; exit 1; }
for file in lib/*.py [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
[ -x ../build/cluster_manager ] || { echo "review: build the program first, as deploy/balancer.toml says" >&2; exit 1; }
