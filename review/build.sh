#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs of the standard
# library (python3 is in scripts/install-packages), so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for f in standin/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f"
done
