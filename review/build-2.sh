#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -isystem /usr/include/jsoncpp \
    -o target/review-2/scene review/scene/scene.cc review/scene/main.cc -ljsoncpp -pthread
