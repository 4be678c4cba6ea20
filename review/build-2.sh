#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
