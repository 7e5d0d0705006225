#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python and need only the standard
# library. The project's programs are built by the deploy file (deploy/build.sh).
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
