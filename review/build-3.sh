#!/usr/bin/env bash
# The stand-ins of the third review are scripts; nothing has to be built beside the deploy file's build.
# Checks that they load.
set -euo pipefail
cd "$(dirname "$0")/lib-3"
PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 -c 'import database, harness, platform_store'
