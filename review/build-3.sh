#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python scripts without dependencies, so there is nothing to
# compile: this checks that they can be read. The programs come from the build of the deploy file, in target/.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
for program in plantain-entry plantain-agent; do
  test -x "../target/$program" || { echo "target/$program is missing: build the deploy file first" >&2; exit 1; }
done
echo "stand-ins of cases 11 to 15 are ready"
