#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs with no dependency but its standard library, so
# that there is nothing to compile; this checks that each can be read. The project's programs come from the build of the
# deploy file, and no script starts a stand-in of the project.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
P
