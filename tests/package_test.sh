#!/usr/bin/env bash
# Installs the library and builds an example against the installed package.
set -euo pipefail
build=$1
source=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$build" --prefix "$work/prefix" >/dev/null
cmake -S "$source/examples/embed_consensus" -B "$work/build" \
  -DCMAKE_PREFIX_PATH="$work/prefix" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed_consensus"
"$work/prefix/bin/geraniumpond" --version
