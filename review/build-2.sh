#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/lib-2 -B build/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS_RELEASE=-O2
cmake --build build/review-2 --target review-case-2 -j 6
