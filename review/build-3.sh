#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3. Needs g++ and nlohmann-json, which deploy/system.toml lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-3/review-cases review/standins-3/world.cpp review/standins-3/cases.cpp
