#!/bin/bash
# Builds what the scripts start: the programs of the deploy file. The stand-ins are Python, of the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release -p platform
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "the stand-ins want Python 3.11" >&2; exit 2; }
for f in review/standin/*.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
