#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They are Python modules, the
# project's own (standins/) and those of the cases, so that it is enough to
# check that they compile, and that their libraries are there after the build
# of the deploy file.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
for file in standins/*.py review/[6-9]/*.py review/10/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file" || exit 1
done
PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import standins.processes'
