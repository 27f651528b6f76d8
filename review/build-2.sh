#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start. The stand-ins are
# plain Python modules of review/lib2 and need the standard library only, so
# there is nothing to install; compiling them shows that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib2 >/dev/null
echo "review/lib2 is ready"
