#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of this
# folder: there is nothing to compile, so this only checks that they parse and
# that the interpreter has what they import.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
import tomllib  # noqa: F401
for path in [pathlib.Path("harness_2.py"), *pathlib.Path().glob("[6-9]/*.py"), *pathlib.Path().glob("10/*.py")]:
    ast.parse(path.read_text(), str(path))
PY
