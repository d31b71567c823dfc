#!/bin/sh
# Builds the one-file binary. Usage: scripts/build-binary.sh OUTPUT
set -eu
output=$1
mkdir -p "$(dirname "$output")"
# --sh-boot: the file replaces itself by the interpreter in place, so that
# a running instance stays a single process.
.venv/bin/pex . -r requirements.txt --python .venv/bin/python --sh-boot \
    --entry-point tamarackhatch.cli:main --output-file "$output"
