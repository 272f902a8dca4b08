#!/usr/bin/env bash
# Builds the drivers of the second review's scripts, with their stand-ins, into
# target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/driver.cc review/7/driver.cc review/8/driver.cc \
  review/9/driver.cc review/10/driver.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/stand-ins "$source" \
    -o "target/review-2/case$number"
done
