#!/usr/bin/env bash
# Makes the committed message code again after proto/geraniumpond.proto changed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=src/wire proto/geraniumpond.proto
mv src/wire/geraniumpond.pb.h include/geraniumpond/impl/
sed -i 's|#include "geraniumpond.pb.h"|#include <geraniumpond/impl/geraniumpond.pb.h>|' src/wire/geraniumpond.pb.cc
