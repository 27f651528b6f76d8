#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be compiled; they use only the
# standard library of Python 3.11, and nothing else has to be built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
