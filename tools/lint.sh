#!/usr/bin/env bash
# clang-tidy over all sources, in parallel; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build \
    --extra-arg=-Wno-unknown-warning-option
