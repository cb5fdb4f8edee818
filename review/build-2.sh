#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6, 7, 9 and 10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wno-mismatched-new-delete -c "$source" \
    -o "target/review-2/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do
  wait "$job"
done
g++ target/review-2/*.o -o target/review-2/cases -lboost_json -pthread
