#!/bin/sh
# Builds the stand-ins of the scripts of the third review: they are Python, and
# use the packages that the build of the deploy file has put under target/.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q standins review/stand_ins_3 || exit 1
PYTHONPATH=.:target/deps python3 -c "
from review.stand_ins_3 import deployment, runner
"
