#!/usr/bin/env bash
# clang-tidy over all sources, in parallel; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
# The compiler's precompiled headers are of no use to clang-tidy.
cmake --preset default -B build/lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  >/dev/null
git ls-files 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp' 'platform/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/lint 2>/dev/null
