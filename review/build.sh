#!/bin/sh
# Prepares the stand-ins: the project's own and those of the cases are Python
# and need the libraries that the build of the deploy file puts in target/deps.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONPATH=target/deps:. python3 - <<'END'
import pathlib
import sys

from standins import processes, runner, servers, store  # noqa: F401

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    compile(path.read_bytes(), str(path), "exec")
sys.exit(0)
END
