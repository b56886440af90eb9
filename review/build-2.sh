#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. Needs its packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/standin-2 "$source" -o "target/review-2/case-$number"
done
