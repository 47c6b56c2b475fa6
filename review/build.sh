#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. All are Python programs, those of
# tests/entry_path included, and need no build. tomllib needs Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("found Python %d.%d, expected 3.11 or later" % sys.version_info[:2])
for path in ["standins.py", "../tests/entry_path/platform_standin.py", *glob.glob("*/case.py")]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
