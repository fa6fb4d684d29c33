#!/usr/bin/env bash
# The stand-ins are Python scripts of the standard library only, so nothing is compiled. Checks that
# they can run here.
set -euo pipefail
cd "$(dirname "$0")"
python=$(command -v /usr/bin/python3 || command -v python3)
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=lib "$python" -c 'import standins'
echo "review: the stand-ins can run"
