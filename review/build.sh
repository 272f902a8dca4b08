#!/usr/bin/env bash
# Builds the drivers of the review's scripts, with their stand-ins, into
# target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/driver.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/common "$source" \
    -o "target/review/case$number"
done
