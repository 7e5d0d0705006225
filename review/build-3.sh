# Builds the stand-ins of the third review's cases. They are plain Python of the
# standard library, so they are only compiled, as a check.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3
