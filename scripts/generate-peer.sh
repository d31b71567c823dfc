#!/bin/sh
# Regenerates the peer messages; needs grpcio-tools and grpclib on the path.
set -eu
cd "$(dirname "$0")/.."
python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
    --grpclib_python_out=. tamarackhatch/peer/peer.proto
