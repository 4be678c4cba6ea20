#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs only g++, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/support/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -pthread -o "target/review/$name" "$source"
done
