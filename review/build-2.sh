#!/usr/bin/env bash
# Builds the stand-ins of the second review, which its scripts start. The daemons are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-2/drill review/standins-2/drill.cpp
