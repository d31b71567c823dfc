#!/bin/sh
# Builds the single-file executable. Usage: scripts/build-binary.sh OUTPUT
set -eu
output=$1
mkdir -p "$(dirname "$output")"
# --sh-boot: the file replaces its own process with the interpreter, so that a
# running instance is a single process.
.venv/bin/pex . -r requirements.txt --python .venv/bin/python --sh-boot \
    --entry-point tamarackhatch.cli:main --output-file "$output"
