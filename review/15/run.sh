#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../../target/packages/edge/gypsumstep-edge" ] || exit 2
PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 "$here/case.py" 2>/dev/null
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
