#!/bin/bash
# Builds the stand-ins of the review into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in */driver.cpp; do
  name=$(dirname "$source")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -I standins \
    "$source" -o "build/driver-$name"
done
