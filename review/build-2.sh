#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. They need a
# C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
