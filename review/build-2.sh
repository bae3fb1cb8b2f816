#!/bin/sh
# Checks that the stand-ins and scripts of the cases 4 and up can be read by the interpreter that starts them.
# They need nothing but the standard library; the project's processes need the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
from pathlib import Path

for path in [Path("review/fleet2.py"), *sorted(Path("review").glob("[4-8]/case.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
