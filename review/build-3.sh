#!/usr/bin/env bash
# Builds the programs of review/11 to review/15: each holds the stand-ins of its script and starts
# the gateways that the deploy file's build has put into target/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-3/$name" "$source" -pthread
done
