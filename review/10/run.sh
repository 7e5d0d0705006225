#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:target/review-2
export PYTHONDONTWRITEBYTECODE PYTHONPATH
exec python3 review/10/case.py
