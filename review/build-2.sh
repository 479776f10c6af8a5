#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the programs of the deploy file: nothing. Their
# replicas, clients and operator are in review/common-2/, in Python, and run inside the script itself.
set -euo pipefail
command -v python3 >/dev/null || { echo "python3 (tests/packages.txt) is missing" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - "$(dirname "$0")" <<'PY'
import ast, pathlib, sys
for it in sorted(pathlib.Path(sys.argv[1]).glob("[4-8]/case.py")) + [pathlib.Path(sys.argv[1]) / "common-2/deployment.py"]:
    ast.parse(it.read_text(), str(it))
PY
