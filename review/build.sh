#!/bin/sh
# What the cases start beside the node: the control group's replica (case 3). The stand-ins are Python, with the standard
# library alone: nothing to build, it is checked that they can be read.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p stoneshift || cargo build --release --locked --offline -p stoneshift
python3 - <<'PY'
import ast, glob
for path in sorted(glob.glob("review/lib/*.py") + glob.glob("review/[0-9]/*.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
