#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
  source="review/$number/case.cpp"
  if [ -f "$source" ]; then
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/support-2 \
      "$source" review/support-2/harness.cpp -o "target/review-2/case-$number"
  fi
done
