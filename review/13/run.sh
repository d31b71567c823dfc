#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.processes' || exit 2
exec python3 "$here/case.py"
