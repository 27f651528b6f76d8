#!/usr/bin/env bash
# Installs the pinned libraries and the workspace's own packages under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
# Libraries of another kind of machine or interpreter are installed anew.
machine=$(python3 -c \
  'import platform; print(platform.machine(), platform.python_version())')
sources=$({ echo "$machine"; cat deploy/requirements.txt packages/{core,node}/pyproject.toml \
  platform/pyproject.toml \
  $(git ls-files -co --exclude-standard 'packages/core/src/*' \
    'packages/node/src/*' 'platform/src/*' | sort); } | sha256sum)
if [ "$(cat target/built 2>/dev/null)" = "$sources" ]; then exit 0; fi
rm -rf target/deps
python3 -m pip install --quiet --target target/deps -r deploy/requirements.txt
for source in packages/core packages/node platform; do
  cp -r "$source"/src/* target/deps/
done
# Unchecked compiled files save each start the comparison with every source.
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps
echo "$sources" > target/built
