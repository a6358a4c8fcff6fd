#!/usr/bin/env bash
# Makes the committed message code again after a file of proto/ changed.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in geraniumpond fleet; do
  protoc -I proto --cpp_out=src/wire "proto/$name.proto"
  mv "src/wire/$name.pb.h" include/geraniumpond/impl/
  sed -i -E 's|#include "(geraniumpond\|fleet).pb.h"|#include <geraniumpond/impl/\1.pb.h>|' \
    "src/wire/$name.pb.cc" "include/geraniumpond/impl/$name.pb.h"
done
