#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -o target/review/world review/standins/*.cpp -levent
