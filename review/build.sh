#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/out.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in tool/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread tool/harness.cpp "$source" -o "out/$name"
done
