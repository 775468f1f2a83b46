#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python
# modules without dependencies in review/standins_2, so that each only has to compile.
# The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import pathlib

for folder in ("standins_2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PY
