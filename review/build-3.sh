#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15: Python without
# any library, so there is nothing to fetch. Run after deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path(".").glob("lib3/*.py")) + sorted(
    path for n in range(11, 16) for path in pathlib.Path(str(n)).glob("*.py")
):
    compile(path.read_text(), str(path), "exec")
P
test -d ../target/deps/tamarack_platform
