#!/bin/sh
# Checks that the stand-ins compile. They are plain Python without dependencies, so
# nothing is built; the node programs need the build of the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
EOF
